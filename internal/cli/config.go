//go:build wip

package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/settings"
)

func newConfig(env environment) *cobra.Command {
	flags := &storeFlags{}
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, change and read configuration records",
	}
	flags.add(cmd)
	cmd.AddCommand(
		newConfigValidate(env),
		newConfigApply(env, flags),
		newConfigGet(env, flags),
		newConfigHistory(env, flags),
		newConfigDiff(env, flags),
	)
	return cmd
}

func newConfigValidate(env environment) *cobra.Command {
	return &cobra.Command{
		Use:     "validate FILE...",
		Short:   "Check settings and record files without a store",
		Example: "  bramleylever config validate examples/cooperative/*.json",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			var errs []error
			for _, file := range files {
				what, err := validateFile(file)
				if err != nil {
					errs = append(errs, fmt.Errorf("%s: %w", file, err))
					continue
				}
				fmt.Fprintf(env.out, "%s: valid %s\n", file, what)
			}
			if len(errs) > 0 {
				return &ExitError{Code: ExitUsage, Err: errors.Join(errs...)}
			}
			return nil
		},
	}
}

// validateFile checks a file of records, which has the field "records", or of
// settings.
func validateFile(path string) (what string, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		return "", fmt.Errorf("not a JSON object: %w", err)
	}
	if _, ok := fields["records"]; !ok {
		_, err := settings.Parse(raw)
		return "settings", err
	}
	list, err := records.ParseFile(raw)
	if err != nil {
		return "", err
	}
	_, err = records.NewSet(list).Snapshot(0)
	return fmt.Sprintf("records (%d)", len(list)), err
}

func newConfigApply(env environment, flags *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "apply FILE",
		Short:   "Change records in one transaction",
		Example: "  bramleylever config apply examples/cooperative/records.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			list, err := readRecordFile(args[0])
			if err != nil {
				return err
			}
			return flags.run(func(ctx context.Context, client *records.Client) error {
				return applyRecords(ctx, env, flags, client, list)
			})
		},
	}
}

func applyRecords(ctx context.Context, env environment, flags *storeFlags, client *records.Client, list []records.Record) error {
	result, err := client.Apply(ctx, list)
	if err != nil {
		return err
	}
	if flags.output == "json" {
		return printJSON(env.out, result)
	}
	if len(result.Changed) == 0 {
		fmt.Fprintf(env.out, "unchanged at revision %d\n", result.Revision)
		return nil
	}
	fmt.Fprintf(env.out, "accepted at revision %d: %s\n", result.Revision, strings.Join(result.Changed, ", "))
	return nil
}

func newConfigGet(env environment, flags *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "get [KIND [NAME]]",
		Short: "Print records",
		Example: `  bramleylever config get
  bramleylever config get account clerks --output json`,
		Args: cobra.MaximumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return flags.run(func(ctx context.Context, client *records.Client) error {
				set, revision, err := client.List(ctx)
				if err != nil {
					return err
				}
				return printRecords(env, flags, selectRecords(set.Records(), args), revision)
			})
		},
	}
}

func selectRecords(all []records.Record, args []string) []records.Record {
	var selected []records.Record
	for _, r := range all {
		if len(args) > 0 && string(r.Kind) != args[0] || len(args) > 1 && r.Name != args[1] {
			continue
		}
		selected = append(selected, r)
	}
	return selected
}

func printRecords(env environment, flags *storeFlags, list []records.Record, revision int64) error {
	if flags.output == "json" {
		return printJSON(env.out, struct {
			Revision int64            `json:"revision"`
			Records  []records.Record `json:"records"`
		}{revision, list})
	}
	var rows [][]any
	for _, r := range list {
		rows = append(rows, []any{r.Kind, r.Name, r.SchemaVersion, r.ModRevision, r.Operator})
	}
	return printTable(env.out, []any{"KIND", "NAME", "SCHEMA", "REVISION", "OPERATOR"}, rows)
}

func newConfigHistory(env environment, flags *storeFlags) *cobra.Command {
	var from int64
	cmd := &cobra.Command{
		Use:   "history",
		Short: "Print the changes that the store still keeps",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return flags.run(func(ctx context.Context, client *records.Client) error {
				entries, err := client.History(ctx, from)
				if err != nil {
					return err
				}
				if flags.output == "json" {
					return printJSON(env.out, entries)
				}
				var rows [][]any
				for _, e := range entries {
					rows = append(rows, []any{e.Revision, e.Time, e.Operator, strings.Join(e.Records, ", ")})
				}
				return printTable(env.out, []any{"REVISION", "TIME", "OPERATOR", "RECORDS"}, rows)
			})
		},
	}
	cmd.Flags().Int64Var(&from, "from", 1, "first revision")
	return cmd
}

func newConfigDiff(env environment, flags *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Print what applying a file would change",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			list, err := readRecordFile(args[0])
			if err != nil {
				return err
			}
			return flags.run(func(ctx context.Context, client *records.Client) error {
				set, _, err := client.List(ctx)
				if err != nil {
					return err
				}
				for _, next := range list {
					now, exists := set.Get(next.Kind, next.Name)
					printDiff(env, now, exists, next)
				}
				return nil
			})
		},
	}
}

func printDiff(env environment, now records.Record, exists bool, next records.Record) {
	before, after := describe(now), describe(next)
	switch {
	case next.Deleted && exists:
		fmt.Fprintf(env.out, "- %s %s\n", next.ID(), before)
	case next.Deleted:
	case !exists:
		fmt.Fprintf(env.out, "+ %s %s\n", next.ID(), after)
	case before != after:
		fmt.Fprintf(env.out, "- %s %s\n+ %s %s\n", next.ID(), before, next.ID(), after)
	}
}

// describe renders schema version and body so that equal records are equal
// text.
func describe(r records.Record) string {
	var body any
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return string(r.Body)
	}
	var out bytes.Buffer
	_ = json.NewEncoder(&out).Encode(body)
	return fmt.Sprintf("v%d %s", r.SchemaVersion, bytes.TrimSpace(out.Bytes()))
}
