package cli

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	databasestandin "github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/logging"
	platformstandin "github.com/bramleylever/bramleylever/internal/platform/standin"
)

func newStandin(env environment) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for an external system",
		Long: `Run a stand-in for the platform store or for a database instance, for
development and tests. Stand-ins keep all data in memory.`,
	}
	cmd.AddCommand(newStandinPlatform(env), newStandinDatabase(env))
	return cmd
}

// runUntilSignal calls run with a context that is canceled on SIGINT or SIGTERM.
// The log lines of go-zero, which also handles signals, are discarded until the
// command attaches its own logger.
func runUntilSignal(run func(ctx context.Context) error) error {
	logging.AttachGoZero(zap.NewNop())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return run(ctx)
}

func newStandinPlatform(env environment) *cobra.Command {
	var listen, faults string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform store",
		Example: `  bramleylever standin platform --listen 127.0.0.1:2379 --faults 127.0.0.1:2378
  curl -d '{"down": true}' http://127.0.0.1:2378/faults
  curl -d lost_ms=9000 http://127.0.0.1:2378/restore`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runUntilSignal(func(ctx context.Context) error {
				return runStandinPlatform(ctx, env, listen, faults)
			})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:2379", "address of the key-value API")
	cmd.Flags().StringVar(&faults, "faults", "", "address of the HTTP endpoint that injects faults; empty disables it")
	return cmd
}

func runStandinPlatform(ctx context.Context, env environment, listen, faults string) error {
	server, err := platformstandin.Start(listen, platformstandin.Options{})
	if err != nil {
		return err
	}
	defer func() { _ = server.Close() }()
	fmt.Fprintf(env.out, "platform %s\n", server.Address())
	if faults != "" {
		endpoint, err := server.ServeAdmin(faults)
		if err != nil {
			return err
		}
		defer func() { _ = endpoint.Close() }()
		fmt.Fprintf(env.out, "faults %s\n", endpoint.Address())
	}
	<-ctx.Done()
	return nil
}

type databaseOptions struct {
	listen, faults, name, user, password string
	groupSize, slots, connectionLimit    int
	connectionCost, serviceTime          time.Duration
	lag, receiveDelay                    time.Duration
	logLevel                             string
}

func newStandinDatabase(env environment) *cobra.Command {
	var o databaseOptions
	cmd := &cobra.Command{
		Use:   "database",
		Short: "Run a stand-in for one database instance",
		Long: `Run a stand-in for one database instance. It starts fenced in term 0.0 with an
empty log; the proxy that manages failover of the database promotes one instance
of the group.`,
		Example: `  bramleylever standin database --name ledger1-a --listen 127.0.0.1:15431 \
      --group-size 3 --slots 3 --connection-limit 20 --connection-cost 10ms`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return runUntilSignal(func(ctx context.Context) error {
				return runStandinDatabase(ctx, env, o)
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&o.listen, "listen", "127.0.0.1:0", "address for PostgreSQL connections")
	f.StringVar(&o.faults, "faults", "", "address of the HTTP endpoint that injects faults; empty disables it")
	f.StringVar(&o.name, "name", "", "name of the instance; empty uses the address")
	f.StringVar(&o.user, "user", databasestandin.DefaultUser, "user of data connections")
	f.StringVar(&o.password, "password", databasestandin.DefaultUser, "password of all roles; empty accepts any password")
	f.IntVar(&o.groupSize, "group-size", 3, "number of instances in the group; a majority must confirm each commit")
	f.IntVar(&o.slots, "slots", 0, "number of statements that run concurrently; 0 for no limit")
	f.IntVar(&o.connectionLimit, "connection-limit", 0, "maximum number of data connections; 0 for no limit")
	f.DurationVar(&o.connectionCost, "connection-cost", 0, "time to open a connection")
	f.DurationVar(&o.serviceTime, "service-time", 0, "time that a statement occupies its slot")
	f.DurationVar(&o.lag, "lag", 0, "time from receiving to applying a log entry on a replica")
	f.DurationVar(&o.receiveDelay, "receive-delay", 0, "one-way network delay from the primary")
	f.StringVar(&o.logLevel, "log-level", "info", "debug, info, warn or error")
	return cmd
}

func (o databaseOptions) config(logger *zap.Logger) databasestandin.Config {
	return databasestandin.Config{
		Name:         o.name,
		GroupSize:    o.groupSize,
		User:         o.user,
		Password:     o.password,
		FaultAddress: o.faults,
		Logger:       logger,
		Settings: databasestandin.Settings{
			Slots:           o.slots,
			ConnectionLimit: o.connectionLimit,
			ConnectionCost:  databasestandin.Duration(o.connectionCost),
			ServiceTime:     databasestandin.Duration(o.serviceTime),
			Lag:             databasestandin.Duration(o.lag),
			ReceiveDelay:    databasestandin.Duration(o.receiveDelay),
		},
	}
}

func runStandinDatabase(ctx context.Context, env environment, o databaseOptions) error {
	logger, err := logging.New(o.logLevel, env.err)
	if err != nil {
		return &ExitError{Code: ExitUsage, Err: err}
	}
	instance := databasestandin.New(o.config(logger))
	if err := instance.Start(o.listen); err != nil {
		return err
	}
	defer func() { _ = instance.Close() }()
	defer instance.Discard()
	fmt.Fprintf(env.out, "database %s %s\n", instance.Name(), instance.Address())
	if o.faults != "" {
		fmt.Fprintf(env.out, "faults %s\n", instance.FaultAddress())
	}
	<-ctx.Done()
	return nil
}
