//go:build wip

package cli

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/keys"
	"github.com/bramleylever/bramleylever/internal/records"
)

func newKey(env environment) *cobra.Command {
	flags := &storeFlags{}
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Grant, withdraw and list callers' keys",
	}
	flags.add(cmd)
	cmd.AddCommand(newKeyGrant(env, flags), newKeyWithdraw(env, flags), newKeyList(env, flags))
	return cmd
}

func newKeyGrant(env environment, flags *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "grant ACCOUNT",
		Short: "Create a key of a client account and print its secret once",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			generated, err := keys.Generate(args[0])
			if err != nil {
				return err
			}
			record, err := records.KeyRecord(generated.Key)
			if err != nil {
				return err
			}
			return flags.run(func(ctx context.Context, client *records.Client) error {
				result, err := client.Apply(ctx, []records.Record{record})
				if err != nil {
					return err
				}
				if flags.output == "json" {
					return printJSON(env.out, map[string]any{"id": generated.Key.ID,
						"secret": generated.Secret, "revision": result.Revision})
				}
				fmt.Fprintf(env.out, "key %s of account %s granted at revision %d\nsecret %s\n",
					generated.Key.ID, args[0], result.Revision, generated.Secret)
				return nil
			})
		},
	}
}

func newKeyWithdraw(env environment, flags *storeFlags) *cobra.Command {
	var wait waitFlags
	cmd := &cobra.Command{
		Use:   "withdraw ID",
		Short: "Withdraw a key, also on connections that use it",
		Long: `Withdraw a key. With --admin, the command waits until every live host has the
change in force; it exits with 3 and names the hosts that have not confirmed it.`,
		Example: "  bramleylever key withdraw kabc --admin 127.0.0.1:8432",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return flags.run(func(ctx context.Context, client *records.Client) error {
				set, _, err := client.List(ctx)
				if err != nil {
					return err
				}
				snapshot, err := set.Snapshot(0)
				if err != nil {
					return err
				}
				key, ok := snapshot.Keys[args[0]]
				if !ok {
					return fmt.Errorf("key %q does not exist", args[0])
				}
				key.Withdrawn = true
				record, err := records.KeyRecord(key)
				if err != nil {
					return err
				}
				result, err := client.Apply(ctx, []records.Record{record})
				if err != nil {
					return err
				}
				fmt.Fprintf(env.out, "key %s withdrawn at revision %d\n", args[0], result.Revision)
				return wait.untilInForce(ctx, env, result.Revision)
			})
		},
	}
	wait.add(cmd)
	return cmd
}

func newKeyList(env environment, flags *storeFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List keys, without secrets or verifiers",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return flags.run(func(ctx context.Context, client *records.Client) error {
				set, _, err := client.List(ctx)
				if err != nil {
					return err
				}
				return listKeys(env, flags, set)
			})
		},
	}
}

// keyEntry is what list shows of a key.
type keyEntry struct {
	ID        string `json:"id"`
	Account   string `json:"account"`
	Withdrawn bool   `json:"withdrawn"`
	Revision  int64  `json:"revision"`
}

func listKeys(env environment, flags *storeFlags, set *records.Set) error {
	snapshot, err := set.Snapshot(0)
	if err != nil {
		return err
	}
	entries := []keyEntry{}
	for _, r := range set.Records() {
		if r.Kind != records.KindKey {
			continue
		}
		key := snapshot.Keys[r.Name]
		entries = append(entries, keyEntry{key.ID, key.Account, key.Withdrawn, r.ModRevision})
	}
	if flags.output == "json" {
		return printJSON(env.out, entries)
	}
	var rows [][]any
	for _, e := range entries {
		rows = append(rows, []any{e.ID, e.Account, e.Withdrawn, e.Revision})
	}
	return printTable(env.out, []any{"ID", "ACCOUNT", "WITHDRAWN", "REVISION"}, rows)
}
