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
		Short: "Grant, withdraw and list the keys of client accounts",
	}
	cmd.AddCommand(newKeyGrant(env), newKeyWithdraw(env), newKeyList(env))
	return cmd
}

func newKeyGrant(env environment) *cobra.Command {
	o := &recordCommand{env: env}
	cmd := &cobra.Command{
		Use:   "grant ACCOUNT",
		Short: "Create a key for a client account",
		Long: `Create a key for a client account and print its id and secret. The secret cannot
be shown again: the records store only a SCRAM-SHA-256 verifier. Callers use the
id as the user name and the secret as the password.`,
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
	o.addFlags(cmd, true)
	return cmd
}

func newKeyWithdraw(env environment) *cobra.Command {
	o := &recordCommand{env: env}
	cmd := &cobra.Command{
		Use:   "withdraw KEY-ID",
		Short: "Withdraw a key and close its connections",
		Long: `Withdraw a key. Hosts close its connections within seconds. The exit code is 3
if one of --hosts does not confirm the withdrawal in time.`,
		Example: `  bramleylever key withdraw k4f2a --hosts 127.0.0.1:7432,127.0.0.1:7433`,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.change(cmd.Context(), func(ctx context.Context, client *records.Client) ([]records.Record, error) {
				return withdrawalRecords(ctx, client, args[0])
			}, changeReport{})
		},
	}
	o.addFlags(cmd, true)
	return cmd
}

// withdrawalRecords returns the record that withdraws a key. The change is
// conditional on the key's current revision.
func withdrawalRecords(ctx context.Context, client *records.Client, id string) ([]records.Record, error) {
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

// listedKey is one entry in the output of key list.
type listedKey struct {
	ID       string `json:"id"`
	Account  string `json:"account"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
}

func newKeyList(env environment) *cobra.Command {
	o := &recordCommand{env: env}
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
	o.addFlags(cmd, false)
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

// newServiceState returns the command for a kind of record, with a subcommand that
// takes the named object out of service and one that returns it to service. A
// subcommand with an empty name is omitted.
func newServiceState(env environment, kind records.Kind, short, leaveCommand, returnCommand string) *cobra.Command {
	cmd := &cobra.Command{Use: string(kind), Short: short}
	if leaveCommand != "" {
		cmd.AddCommand(newStateChange(env, kind, leaveCommand, "Take out of service; new work stops within seconds", records.StateLeaving))
	}
	if returnCommand != "" {
		cmd.AddCommand(newStateChange(env, kind, returnCommand, "Return to service", records.StateActive))
	}
	return cmd
}

func newStateChange(env environment, kind records.Kind, use, short string, state records.ServiceState) *cobra.Command {
	o := &recordCommand{env: env}
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
	o.addFlags(cmd, true)
	return cmd
}

// newServiceStates returns the commands for failure domains, hosts and backend
// servers.
func newServiceStates(env environment) []*cobra.Command {
	return []*cobra.Command{
		newServiceState(env, records.KindDomain, "Take a failure domain out of service or return it to service", "leave", "return"),
		newServiceState(env, records.KindHost, "Drain a proxy host", "drain", ""),
		newServiceState(env, records.KindBackend, "Drain a backend server or return it to service", "drain", "return"),
	}
}
