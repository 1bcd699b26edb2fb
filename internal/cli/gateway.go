package cli

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/platform"
)

func newGateway(env environment) *cobra.Command {
	var level string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Run the gateway daemon on the users' platform",
		Long: `Run the gateway daemon on the users' platform, which sets the path of the
settings file in the environment. On SIGTERM or SIGINT the gateway drains: it
reports not ready, ends sessions between transactions and exits.`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			reloads := platform.CatchReloads()
			s, err := platform.LoadSettings()
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			output := logging.NewNonBlockingWriter(env.out)
			defer output.Close()
			log, err := logging.New(level, output)
			if err != nil {
				return &ExitError{Code: ExitUsage, Err: err}
			}
			logging.AttachGoZero(log)
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			return platform.Run(ctx, s, reloads, log, output.Dropped)
		},
	}
	cmd.Flags().StringVar(&level, "log-level", "info", "least level that is logged: debug, info, warn or error")
	return cmd
}
