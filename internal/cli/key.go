package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/keys"
	"github.com/bramleylever/bramleylever/internal/records"
)

func newKey(env environment) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Grant, withdraw and list callers' keys",
	}
	cmd.AddCommand(newKeyGrant(env), newKeyWithdraw(env), newKeyList(env))
	return cmd
}

func newKeyGrant(env environment) *cobra.Command {
	o := &operation{env: env}
	cmd := &cobra.Command{
		Use:   "grant ACCOUNT",
		Short: "Create a key of a client account",
		Long: `Create a key of a client account and print its id and secret. The secret is
shown only here; records keep a SCRAM-SHA-256 verifier. Callers use the id as
the user and the secret as the password.`,
		Example: `  bramleylever key grant growers-north --operator ann
  bramleylever key grant lodges --output json`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			generated, err := keys.Generate(args[0])
			if err != nil {
				return err
			}
			record, err := records.KeyRecord(generated.Key)
			if err != nil {
				return err
			}
			return o.change(cmd.Context(), func(context.Context, *records.Client) ([]records.Record, error) {
				return []records.Record{record}, nil
			}, changeReport{KeyID: generated.Key.ID, Secret: generated.Secret})
		},
	}
	o.flags(cmd, true)
	return cmd
}

func newKeyWithdraw(env environment) *cobra.Command {
	o := &operation{env: env}
	cmd := &cobra.Command{
		Use:   "withdraw KEY-ID",
		Short: "Withdraw a key, also on live connections",
		Long: `Withdraw a key. Hosts close its connections within seconds. The exit code is 3
if one of --hosts did not confirm the withdrawal in time.`,
		Example: `  bramleylever key withdraw k4f2a --hosts 127.0.0.1:7432,127.0.0.1:7433`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.change(cmd.Context(), func(ctx context.Context, client *records.Client) ([]records.Record, error) {
				return withdrawal(ctx, client, args[0])
			}, changeReport{})
		},
	}
	o.flags(cmd, true)
	return cmd
}

// withdrawal returns the change that withdraws a key.
func withdrawal(ctx context.Context, client *records.Client, id string) ([]records.Record, error) {
	set, revision, err := client.List(ctx)
	if err != nil {
		return nil, err
	}
	snapshot, invalid := set.Snapshot(revision)
	key, ok := snapshot.Keys[id]
	if !ok {
		if _, exists := set.Get(records.KindKey, id); exists {
			return nil, fmt.Errorf("key %s: record is not valid: %w", id, invalid)
		}
		return nil, fmt.Errorf("key %s does not exist at revision %d", id, revision)
	}
	current, _ := set.Get(records.KindKey, id)
	key.Withdrawn = true
	record, err := records.KeyRecord(key)
	record.ModRevision = current.ModRevision
	return []records.Record{record}, err
}

// listedKey is one line of key list.
type listedKey struct {
	ID       string `json:"id"`
	Account  string `json:"account"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
}

func newKeyList(env environment) *cobra.Command {
	o := &operation{env: env}
	cmd := &cobra.Command{
		Use:   "list [ACCOUNT]",
		Short: "List keys",
		Example: `  bramleylever key list
  bramleylever key list lodges --output json`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.withClient(cmd.Context(), func(ctx context.Context, client *records.Client) error {
				set, _, err := client.List(ctx)
				if err != nil {
					return err
				}
				out := listKeys(set, args)
				return o.print(out, func() {
					for _, k := range out {
						fmt.Fprintf(env.out, "%s\t%s\t%s\trevision %d\n", k.ID, k.Account, k.State, k.Revision)
					}
				})
			})
		},
	}
	o.flags(cmd, false)
	return cmd
}

func listKeys(set *records.Set, accounts []string) []listedKey {
	out := []listedKey{}
	for _, r := range set.Records() {
		if r.Kind != records.KindKey {
			continue
		}
		var body struct {
			Account   string `json:"account"`
			Withdrawn bool   `json:"withdrawn"`
		}
		state := "granted"
		if json.Unmarshal(r.Body, &body) != nil {
			state = "invalid"
		} else if body.Withdrawn {
			state = "withdrawn"
		}
		if len(accounts) == 0 || body.Account == accounts[0] {
			out = append(out, listedKey{ID: r.Name, Account: body.Account, State: state, Revision: r.ModRevision})
		}
	}
	return out
}

// newState returns a command that takes something of a kind out of service and
// one that brings it back; an empty name leaves one out.
func newState(env environment, kind records.Kind, short, leave, comeBack string) *cobra.Command {
	cmd := &cobra.Command{Use: string(kind), Short: short}
	if leave != "" {
		cmd.AddCommand(newStateChange(env, kind, leave, "Take out of service: no new work after a few seconds", records.StateLeaving))
	}
	if comeBack != "" {
		cmd.AddCommand(newStateChange(env, kind, comeBack, "Bring back into service", records.StateActive))
	}
	return cmd
}

func newStateChange(env environment, kind records.Kind, use, short string, state records.ServiceState) *cobra.Command {
	o := &operation{env: env}
	cmd := &cobra.Command{
		Use:     use + " NAME",
		Short:   short,
		Example: fmt.Sprintf("  bramleylever %s %s NAME --operator ann", kind, use),
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.change(cmd.Context(), func(context.Context, *records.Client) ([]records.Record, error) {
				return []records.Record{records.StateRecord(kind, args[0], state)}, nil
			}, changeReport{})
		},
	}
	o.flags(cmd, true)
	return cmd
}

// newStates returns the commands for failure domains, hosts and backends.
func newStates(env environment) []*cobra.Command {
	return []*cobra.Command{
		newState(env, records.KindDomain, "Take a failure domain out of service and bring it back", "leave", "return"),
		newState(env, records.KindHost, "Drain a proxy host", "drain", ""),
		newState(env, records.KindBackend, "Drain a backend server and bring it back", "drain", "return"),
	}
}
