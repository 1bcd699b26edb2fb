package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/settings"
)

// maxFileBytes limits the size of a settings or record file.
const maxFileBytes = 16 << 20

func newConfig(env environment) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, change and show configuration records",
		Long: `Check, change and show configuration records.

Record files are JSON: {"records": [{"kind", "name", "schema_version", "body"}]}.
"deleted": true deletes a record. "mod_revision" applies a change only if the
record still has that revision; config get prints it.`,
	}
	cmd.AddCommand(newConfigValidate(env), newConfigApply(env), newConfigGet(env),
		newConfigHistory(env), newConfigDiff(env), newConfigCheck(env))
	return cmd
}

func (env environment) readFile(path string) ([]byte, error) {
	in := env.in
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, usageError("%w", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	raw, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, usageError("%s: %w", path, err)
	}
	if len(raw) > maxFileBytes {
		return nil, usageError("%s: larger than %d bytes", path, maxFileBytes)
	}
	return raw, nil
}

func (env environment) readRecords(path string) ([]records.Record, error) {
	raw, err := env.readFile(path)
	if err != nil {
		return nil, err
	}
	list, err := records.ParseFile(raw)
	if err != nil {
		return nil, usageError("%s: %w", path, err)
	}
	return list, nil
}

func newConfigValidate(env environment) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE...",
		Short: "Check settings and record files",
		Long: `Check settings and record files without changing anything. A file with the
field "records" is a record file and must be valid by itself; any other is a
settings file. "-" reads standard input.`,
		Example: `  bramleylever config validate examples/cooperative/records.json
  bramleylever config validate settings.json records.json`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			var errs []error
			for _, path := range paths {
				if err := env.validateFile(path); err != nil {
					errs = append(errs, err)
					continue
				}
				fmt.Fprintf(env.out, "%s: valid\n", path)
			}
			if len(errs) > 0 {
				return &ExitError{Code: ExitUsage, Err: errors.Join(errs...)}
			}
			return nil
		},
	}
}

func (env environment) validateFile(path string) error {
	raw, err := env.readFile(path)
	if err != nil {
		return err
	}
	var file map[string]json.RawMessage
	if err := json.Unmarshal(raw, &file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if _, ok := file["records"]; !ok {
		if _, err := settings.Parse(raw); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		return nil
	}
	list, err := records.ParseFile(raw)
	if err == nil {
		_, err = records.NewSet(list).Snapshot(0)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func newConfigApply(env environment) *cobra.Command {
	o := &recordCommand{env: env}
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Change records in one transaction",
		Long: `Change records in one transaction. All of them take effect or none. The exit
code is 4 if the change conflicts with another operator's, and 3 if it was
accepted but not confirmed by all --hosts in time.`,
		Example: `  bramleylever config apply examples/cooperative/records.json --platform 127.0.0.1:2379
  bramleylever config get account growers-north --output json > growers.json
  bramleylever config apply growers.json --operator ann --output json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := env.readRecords(args[0])
			if err != nil {
				return err
			}
			return o.change(cmd.Context(), func(context.Context, *records.Client) ([]records.Record, error) {
				return list, nil
			}, changeReport{})
		},
	}
	o.addFlags(cmd, true)
	return cmd
}

// recordFile is the JSON output of config get, which config apply accepts.
type recordFile struct {
	Records []records.Record `json:"records"`
}

func newConfigGet(env environment) *cobra.Command {
	o := &recordCommand{env: env}
	cmd := &cobra.Command{
		Use:   "get [KIND [NAME]]",
		Short: "Show records",
		Long: `Show records. The JSON output is a record file for config apply. It contains the
revisions of the records, so that apply fails if a record has changed since.`,
		Example: `  bramleylever config get
  bramleylever config get account
  bramleylever config get account growers-north --output json`,
		Args: cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.withClient(cmd.Context(), func(ctx context.Context, client *records.Client) error {
				set, revision, err := client.List(ctx)
				if err != nil {
					return err
				}
				file := recordFile{Records: []records.Record{}}
				for _, r := range set.Records() {
					if (len(args) < 1 || string(r.Kind) == args[0]) && (len(args) < 2 || r.Name == args[1]) {
						file.Records = append(file.Records, r)
					}
				}
				if len(args) == 2 && len(file.Records) == 0 {
					return fmt.Errorf("record %s/%s does not exist at revision %d", args[0], args[1], revision)
				}
				return o.print(file, func() { o.printRecords(file.Records) })
			})
		},
	}
	o.addFlags(cmd, false)
	return cmd
}

func (o *recordCommand) printRecords(list []records.Record) {
	for _, r := range list {
		fmt.Fprintf(o.env.out, "%s\tversion %d\trevision %d\t%s\n", r.ID(), r.SchemaVersion, r.ModRevision, compactJSON(r.Body))
	}
}

func compactJSON(raw json.RawMessage) string {
	var out bytes.Buffer
	if json.Compact(&out, raw) != nil {
		return string(raw)
	}
	return out.String()
}

func newConfigHistory(env environment) *cobra.Command {
	o := &recordCommand{env: env}
	var from int64
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Show which operator changed which records, as far back as the store keeps revisions",
		Example: `  bramleylever config history
  bramleylever config history --from 1200 --output json`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return o.withClient(cmd.Context(), func(ctx context.Context, client *records.Client) error {
				history, err := client.History(ctx, from)
				if err != nil {
					return err
				}
				return o.print(history, func() {
					for _, h := range history {
						fmt.Fprintf(env.out, "%d\t%s\t%s\t%s\n", h.Revision, h.Time, h.Operator, strings.Join(h.Records, " "))
					}
				})
			})
		},
	}
	o.addFlags(cmd, false)
	cmd.Flags().Int64Var(&from, "from", 1, "first revision to show")
	return cmd
}

// difference is one record that config apply would change.
type difference struct {
	Record string          `json:"record"`
	Change string          `json:"change"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func newConfigDiff(env environment) *cobra.Command {
	o := &recordCommand{env: env}
	cmd := &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what config apply would change",
		Example: `  bramleylever config diff examples/cooperative/records.json`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			list, err := env.readRecords(args[0])
			if err != nil {
				return err
			}
			return o.withClient(cmd.Context(), func(ctx context.Context, client *records.Client) error {
				set, _, err := client.List(ctx)
				if err != nil {
					return err
				}
				out := differences(set, list)
				return o.print(out, func() {
					for _, d := range out {
						fmt.Fprintf(env.out, "%s %s\n", d.Change, d.Record)
						if d.Before != nil {
							fmt.Fprintf(env.out, "  - %s\n", compactJSON(d.Before))
						}
						if d.After != nil {
							fmt.Fprintf(env.out, "  + %s\n", compactJSON(d.After))
						}
					}
				})
			})
		},
	}
	o.addFlags(cmd, false)
	return cmd
}

func differences(set *records.Set, list []records.Record) []difference {
	out := []difference{}
	for _, r := range list {
		now, exists := set.Get(r.Kind, r.Name)
		switch {
		case records.Unchanged(now, r):
			continue
		case r.Deleted:
			out = append(out, difference{Record: r.ID(), Change: "delete", Before: now.Body})
		case !exists:
			out = append(out, difference{Record: r.ID(), Change: "create", After: r.Body})
		default:
			out = append(out, difference{Record: r.ID(), Change: "change", Before: now.Body, After: r.Body})
		}
	}
	return out
}
