//go:build wip

package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/records"
)

// serviceCommand describes the commands that take something out of service.
type serviceCommand struct {
	kind                records.Kind
	noun                string
	leave, comeBack     string
	leaveHelp, backHelp string
}

var serviceCommands = []serviceCommand{
	{records.KindDomain, "domain", "leave", "return",
		"Take a failure domain out of service", "Bring a failure domain back"},
	{records.KindHost, "host", "drain", "return",
		"Drain a host", "Let a drained host take work again"},
	{records.KindBackend, "backend", "drain", "return",
		"Drain a backend server", "Let a drained backend server take work again"},
}

func newServiceCommands(env environment) []*cobra.Command {
	var all []*cobra.Command
	for _, c := range serviceCommands {
		flags := &storeFlags{}
		cmd := &cobra.Command{
			Use:   c.noun,
			Short: c.leaveHelp + " or bring it back",
		}
		flags.add(cmd)
		cmd.AddCommand(
			newSetState(env, flags, c, c.leave, c.leaveHelp, records.StateLeaving),
			newSetState(env, flags, c, c.comeBack, c.backHelp, records.StateActive),
		)
		all = append(all, cmd)
	}
	return all
}

func newSetState(env environment, flags *storeFlags, c serviceCommand, verb, help string, state records.ServiceState) *cobra.Command {
	var wait waitFlags
	cmd := &cobra.Command{
		Use:   verb + " NAME",
		Short: help,
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			body, err := json.Marshal(map[string]records.ServiceState{"state": state})
			if err != nil {
				return err
			}
			return flags.run(func(ctx context.Context, client *records.Client) error {
				result, err := client.Apply(ctx, []records.Record{{
					Kind: c.kind, Name: args[0], SchemaVersion: 1, Body: body}})
				if err != nil {
					return err
				}
				fmt.Fprintf(env.out, "%s %s is %s at revision %d\n", c.noun, args[0], state, result.Revision)
				return wait.untilInForce(ctx, env, result.Revision)
			})
		},
	}
	wait.add(cmd)
	return cmd
}
