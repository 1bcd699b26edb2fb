package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/explain"
)

// defaultLookback is the default of --before.
const defaultLookback = 5 * time.Second

func newExplain(env environment) *cobra.Command {
	var before time.Duration
	cmd := &cobra.Command{
		Use:   "explain REQUEST [FILE...]",
		Short: "Show the log lines that explain why a request was not served",
		Long: `Show the log lines of a request and of decisions shortly before it that concern
its service, instances or hosts, in order of time. The logs are read from
standard input if no file is given. A line may begin with the name of its host.`,
		Example: "  bramleylever explain 5c0e7a21d94b36f8 host-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(env.in, args[1:])
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			found := explain.Find(lines, explain.Options{Request: args[0], Before: before})
			if len(found) == 0 {
				return fmt.Errorf("explain: no log line names request %q; log lines of served requests are sampled", args[0])
			}
			return explain.Write(env.out, found)
		},
	}
	cmd.Flags().DurationVar(&before, "before", defaultLookback, "how long before the request to look for decisions")
	return cmd
}

func readLogs(in io.Reader, paths []string) ([]explain.Line, error) {
	if len(paths) == 0 {
		lines, _, err := explain.Read(in, "standard input")
		return lines, err
	}
	var all []explain.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, _, err := explain.Read(file, path)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}
