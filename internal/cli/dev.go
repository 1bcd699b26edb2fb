package cli

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/deployment"
	"github.com/bramleylever/bramleylever/internal/logging"
)

func newDev(env environment) *cobra.Command {
	var o deployment.Options
	var logFile, logLevel string
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a complete deployment in this process for development",
		Long: `Run a stand-in of the platform store, the databases with three instances each
and proxies in each failure domain, all in this process and in memory. The
command prints addresses and keys and runs until it is interrupted (Ctrl-C).`,
		Example: `  bramleylever dev
  bramleylever dev --example snow --port 6532`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runUntilSignal(func(ctx context.Context) error {
				return runDev(ctx, env, o, logFile, logLevel)
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.Example, "example", "cooperative", "example deployment, cooperative or snow")
	f.IntVar(&o.ProxiesPerDomain, "proxies", 1, "proxies in each failure domain")
	f.IntVar(&o.CallerPort, "port", 6432, "port of the first proxy; the others use the ports after it; 0 chooses free ports")
	f.StringVar(&logFile, "log-file", "", "log file; empty discards the log")
	f.StringVar(&logLevel, "log-level", "info", "debug, info, warn or error")
	return cmd
}

func runDev(ctx context.Context, env environment, o deployment.Options, logFile, logLevel string) error {
	out, err := openLog(logFile)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	log, err := logging.New(logLevel, out)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	logging.AttachGoZero(log)
	o.Log = log
	o.Instance = deployment.InstanceSettings(o.Example)
	d, err := deployment.Start(o)
	if err != nil {
		return err
	}
	defer d.Close()
	printDeployment(env, d)
	<-ctx.Done()
	return nil
}

// nopCloser adds a Close method that does nothing to a writer.
type nopCloser struct{ io.Writer }

func (nopCloser) Close() error { return nil }

// openLog creates a log file; with an empty path it returns a writer that
// discards the log.
func openLog(path string) (io.WriteCloser, error) {
	if path == "" {
		return nopCloser{io.Discard}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, usageError("--log-file: %w", err)
	}
	return file, nil
}

func printDeployment(env environment, d *deployment.Deployment) {
	fmt.Fprintf(env.out, "platform %s\n\n", d.Platform.Address())
	var rows [][]any
	for _, host := range d.Hosts {
		rows = append(rows, []any{host.Name, host.Domain, host.CallerAddress, host.Proxy.AdminAddress()})
	}
	_ = printTable(env, []any{"HOST", "DOMAIN", "CALLERS", "ADMIN"}, rows)
	fmt.Fprintln(env.out)
	rows = nil
	for _, account := range slices.Sorted(maps.Keys(d.Keys)) {
		rows = append(rows, []any{account, d.Keys[account].ID, d.Keys[account].Secret})
	}
	_ = printTable(env, []any{"ACCOUNT", "KEY", "SECRET"}, rows)
	first := slices.Sorted(maps.Keys(d.Keys))[0]
	fmt.Fprintf(env.out, "\npsql '%s'\n", d.CallerURL(d.Hosts[0], first, d.FirstRoute()))
}
