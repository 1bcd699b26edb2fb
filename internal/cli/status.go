package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/proxy"
)

func newStatus(env environment) *cobra.Command {
	var address, output string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print a proxy's view of members, databases and primaries",
		Example: `  bramleylever status --admin 127.0.0.1:8432
  bramleylever status --admin 127.0.0.1:8432 --output json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if output != outputText && output != outputJSON {
				return usageError("--output %q is neither text nor json", output)
			}
			ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
			defer cancel()
			status, err := fetchStatus(ctx, address)
			if err != nil {
				return err
			}
			if output == outputJSON {
				return printJSON(env, status)
			}
			return printStatus(env, status)
		},
	}
	cmd.Flags().StringVar(&address, "admin", "127.0.0.1:8432", "admin address of a proxy")
	cmd.Flags().StringVar(&output, "output", outputText, "output format, text or json")
	return cmd
}

// fetchTimeout bounds the request for a proxy's status.
const fetchTimeout = 5 * time.Second

func fetchStatus(ctx context.Context, address string) (proxy.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return proxy.Status{}, usageError("--admin %q: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return proxy.Status{}, fmt.Errorf("read status: peer %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return proxy.Status{}, fmt.Errorf("read status: peer %s: %s", address, response.Status)
	}
	var status proxy.Status
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
		return proxy.Status{}, fmt.Errorf("read status: peer %s: %w", address, err)
	}
	return status, nil
}

func printStatus(env environment, s proxy.Status) error {
	fmt.Fprintf(env.out, "host %s in %s, ready %t, revision %d, confirmed %t, sessions %d\n\n",
		s.Host, s.Domain, s.Ready, s.Revision, s.Confirmed, s.Sessions)
	var rows [][]any
	for _, m := range s.Members {
		rows = append(rows, []any{m.Host, m.Domain, m.State, m.Relay, m.Draining, len(m.Buckets), m.Revision})
	}
	if err := printTable(env, []any{"HOST", "DOMAIN", "STATE", "RELAY", "DRAINING", "BUCKETS", "REVISION"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(env.out)
	rows = nil
	for _, g := range s.Groups {
		rows = append(rows, []any{g.Database, g.Term, g.Primary})
	}
	return printTable(env, []any{"DATABASE", "TERM", "PRIMARY"}, rows)
}

func printJSON(env environment, value any) error {
	encoder := json.NewEncoder(env.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints a header and rows in aligned columns.
func printTable(env environment, header []any, rows [][]any) error {
	table := tabwriter.NewWriter(env.out, 0, 0, 2, ' ', 0)
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
