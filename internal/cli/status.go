//go:build wip

package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/proxy"
)

func newStatus(env environment) *cobra.Command {
	var address, output string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print what a proxy knows of the fleet",
		Example: `  bramleylever status --admin 127.0.0.1:8432
  bramleylever status --admin 127.0.0.1:8432 --output json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if output != "table" && output != "json" {
				return usageError("--output %q is neither table nor json", output)
			}
			ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
			defer cancel()
			status, err := fetchStatus(ctx, address)
			if err != nil {
				return err
			}
			if output == "json" {
				return printJSON(env.out, status)
			}
			return printStatus(env, status)
		},
	}
	cmd.Flags().StringVar(&address, "admin", "127.0.0.1:8432", "admin address of a proxy")
	cmd.Flags().StringVar(&output, "output", "table", "table or json")
	return cmd
}

// fetchTimeout bounds the reading of a proxy's status.
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
	if err := printTable(env.out, []any{"HOST", "DOMAIN", "STATE", "RELAY", "DRAINING", "BUCKETS", "REVISION"}, rows); err != nil {
		return err
	}
	fmt.Fprintln(env.out)
	rows = nil
	for _, g := range s.Groups {
		rows = append(rows, []any{g.Database, g.Term, g.Primary})
	}
	return printTable(env.out, []any{"DATABASE", "TERM", "PRIMARY"}, rows)
}

// waitFlags let a command wait until a change is in force everywhere.
type waitFlags struct{ admin string }

func (w *waitFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&w.admin, "admin", "",
		"admin address of a proxy; the command then waits until every live host has the change in force")
}

// waitPause separates two looks at the status.
const waitPause = 100 * time.Millisecond

// untilInForce waits until the proxy's members have a revision in force. It
// fails with ExitUnconfirmed at the deadline of ctx.
func (w *waitFlags) untilInForce(ctx context.Context, env environment, revision int64) error {
	if w.admin == "" {
		return nil
	}
	var behind []string
	for {
		status, err := fetchStatus(ctx, w.admin)
		if err == nil {
			if behind = hostsBehind(status, revision); len(behind) == 0 {
				fmt.Fprintf(env.out, "in force on %d hosts\n", len(status.Members))
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return &ExitError{Code: ExitUnconfirmed, Err: fmt.Errorf(
				"revision %d is accepted but not confirmed by: %s", revision, unconfirmed(behind, err))}
		case <-time.After(waitPause):
		}
	}
}

func unconfirmed(behind []string, err error) string {
	if len(behind) == 0 && err != nil {
		return err.Error()
	}
	return strings.Join(behind, ", ")
}

// hostsBehind lists the hosts that may still serve an older revision. Dead
// hosts are included, because a host that is cut off looks dead.
func hostsBehind(s proxy.Status, revision int64) []string {
	var behind []string
	for _, m := range s.Members {
		if m.State != "left" && m.Revision < revision {
			behind = append(behind, m.Host)
		}
	}
	return behind
}
