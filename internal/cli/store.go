//go:build wip

package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/records"
)

// storeFlags are those of commands that reach the platform store.
type storeFlags struct {
	endpoints []string
	timeout   time.Duration
	operator  string
	output    string
}

func (f *storeFlags) add(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringSliceVar(&f.endpoints, "platform", []string{"127.0.0.1:2379"}, "addresses of the platform store")
	flags.DurationVar(&f.timeout, "timeout", 10*time.Second, "time limit of the command")
	flags.StringVar(&f.operator, "operator", defaultOperator(), "name that signs changes")
	flags.StringVar(&f.output, "output", "table", "table or json")
}

func defaultOperator() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// run calls work with a client of the store.
func (f *storeFlags) run(work func(ctx context.Context, client *records.Client) error) error {
	if f.output != "table" && f.output != "json" {
		return usageError("--output %q is neither table nor json", f.output)
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.timeout)
	defer cancel()
	store, err := platform.Dial(ctx, platform.Options{Endpoints: f.endpoints})
	if err != nil {
		return err
	}
	defer func() { _ = store.Close() }()
	return explain(work(ctx, records.NewClient(store, f.operator)))
}

// explain adds the exit code and what the operator can do.
func explain(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, outcome.ErrConflict), errors.Is(err, platform.ErrConflict):
		return &ExitError{Code: ExitConflict,
			Err: fmt.Errorf("%w; nothing was changed: read the record again and repeat the change", err)}
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return fmt.Errorf("%w; check with \"config get\" whether the change was accepted", err)
	case errors.Is(err, platform.ErrUnavailable):
		return fmt.Errorf("%w; nothing was changed: repeat the command when the store answers", err)
	default:
		return err
	}
}

func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable writes a header and rows in aligned columns.
func printTable(w io.Writer, header []any, rows [][]any) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]any{header}, rows...) {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(table, "\t")
			}
			fmt.Fprint(table, cell)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func readRecordFile(path string) ([]records.Record, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("read records: %w", err)
	}
	list, err := records.ParseFile(raw)
	if err != nil {
		return nil, usageError("records %s: %w", path, err)
	}
	return list, nil
}
