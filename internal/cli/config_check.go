package cli

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/configcheck"
	"github.com/bramleylever/bramleylever/platform"
)

// configReport is the result of a check.
type configReport struct {
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences,omitempty"`
}

func newConfigCheck(env environment) *cobra.Command {
	var against string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration of the gateway before it is sent",
		Long: `Check a configuration of the gateway before it is sent: errors, entries that can
never match, and limits that contradict each other. With --against it also shows
what the configuration changes for callers. "-" reads standard input. The exit
code is 2 if there are errors; warnings do not change it.`,
		Example: "  bramleylever config check new.json --against in-force.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			doc, err := env.readConfigDocument(args[0])
			if err != nil {
				return err
			}
			report := configReport{Findings: configcheck.Check(doc)}
			if against != "" {
				inForce, err := env.readConfigDocument(against)
				if err != nil {
					return err
				}
				report.Differences = configcheck.Diff(inForce, doc)
			}
			return env.writeConfigReport(report, asJSON)
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file with the configuration in force")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the result as JSON")
	return cmd
}

func (env environment) readConfigDocument(path string) (*configcheck.Document, error) {
	raw, err := env.readFile(path)
	if err != nil {
		return nil, err
	}
	doc, err := platform.ReadConfigDocument(raw)
	if err != nil {
		return nil, usageError("%s: %w", path, err)
	}
	return doc, nil
}

func (env environment) writeConfigReport(report configReport, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(env.out)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return err
		}
	} else {
		for _, f := range report.Findings {
			fmt.Fprintln(env.out, f)
		}
		for _, d := range report.Differences {
			fmt.Fprintln(env.out, d)
		}
	}
	errorCount := 0
	for _, f := range report.Findings {
		if f.Severity == configcheck.Error {
			errorCount++
		}
	}
	if errorCount > 0 {
		return usageError("the configuration has %d errors", errorCount)
	}
	return nil
}
