package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/proxy"
	"github.com/bramleylever/bramleylever/internal/settings"
)

func newProxy(env environment) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "proxy",
		Short: "Run the proxy daemon",
		Long: `Run the proxy daemon. On SIGTERM or SIGINT the proxy drains: it reports not
ready, ends sessions at transaction boundaries, releases its elected duties and
exits.`,
		Example: "  bramleylever proxy --settings examples/cooperative/settings.json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			return runProxy(env, s)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file (JSON)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runProxy(env environment, s settings.Settings) error {
	log, err := logging.New(s.Log.Level, env.err)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	logging.AttachGoZero(log)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	p, err := proxy.Start(proxy.Options{Settings: s, Log: log})
	if err != nil {
		return err
	}
	fmt.Fprintf(env.out, "callers %s\npeers %s\nadmin %s\n", p.CallerAddress(), p.PeerAddress(), p.AdminAddress())
	<-ctx.Done()
	return p.Drain()
}
