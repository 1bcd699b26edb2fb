package cli

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/bench"
	"github.com/bramleylever/bramleylever/internal/deployment"
	"github.com/bramleylever/bramleylever/internal/logging"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/internal/settings"
)

// benchOptions holds the flags of bench run.
type benchOptions struct {
	workload, faults, output, logFile, policy string
	duration, lag                             time.Duration
	scale                                     float64
	proxies                                   int
	seed                                      uint64
	constant                                  bool
}

func newBench(env environment) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Run load tests against a deployment",
	}
	cmd.AddCommand(newBenchRun(env))
	return cmd
}

func newBenchRun(env environment) *cobra.Command {
	var o benchOptions
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run an open-loop load with faults and check consistency",
		Long: `Run an example deployment in this process, send it an open-loop load, inject
the faults of a schedule, and check the results that callers received against
the rows that the databases store. The exit code is 0 only if no consistency
guarantee was violated.`,
		Example: `  bramleylever bench run --workload cooperative --duration 30s --faults examples/faults/primary-loss.json
  bramleylever bench run --workload snow --faults examples/faults/domain-move.json --output json`,
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runBench(env, o) },
	}
	f := cmd.Flags()
	f.StringVar(&o.workload, "workload", "cooperative", "workload and example deployment, cooperative or snow")
	f.StringVar(&o.faults, "faults", "", "file with the fault schedule (JSON); empty for no faults")
	f.StringVar(&o.output, "output", outputText, "output format, text or json")
	f.StringVar(&o.logFile, "log-file", "", "log file; empty discards the log")
	f.StringVar(&o.policy, "policy", "power_of_two", "replica selection policy")
	f.DurationVar(&o.duration, "duration", 30*time.Second, "duration of the load, at least 1s")
	f.DurationVar(&o.lag, "lag", 100*time.Millisecond, "replication lag")
	f.Float64Var(&o.scale, "scale", 1, "multiplier of the offered load")
	f.IntVar(&o.proxies, "proxies", 2, "proxies in each failure domain")
	f.Uint64Var(&o.seed, "seed", 1, "random seed of arrival times and requests")
	f.BoolVar(&o.constant, "constant", false, "send requests at constant intervals instead of Poisson arrivals")
	return cmd
}

func runBench(env environment, o benchOptions) error {
	if o.output != outputText && o.output != outputJSON {
		return usageError("--output %q is neither text nor json", o.output)
	}
	if o.duration < time.Second || o.scale <= 0 || o.proxies < 1 {
		return usageError("--duration must be at least 1s, --scale above 0 and --proxies at least 1")
	}
	workload, err := bench.ExampleWorkload(o.workload, o.scale)
	if err != nil {
		return usageError("--workload: %w", err)
	}
	if _, err := routing.NewPolicy(o.policy, o.seed); err != nil {
		return usageError("--policy: %w", err)
	}
	faults, err := readFaults(o.faults)
	if err != nil {
		return err
	}
	d, stop, err := startBenchDeployment(o)
	if err != nil {
		return err
	}
	defer stop()
	result, err := bench.Run(bench.NewInProcess(d), bench.Options{
		Workload:   workload,
		Duration:   o.duration,
		SettleTime: time.Second,
		Poisson:    !o.constant,
		Seed:       o.seed,
		Faults:     faults,
		Progress:   env.err,
	})
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		err = printJSON(env, result)
	} else {
		err = result.WriteTable(env.out)
	}
	if err == nil && len(result.Violations) > 0 {
		err = errors.New("consistency guarantees were violated")
	}
	return err
}

func readFaults(path string) ([]bench.Fault, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("--faults: %w", err)
	}
	faults, err := bench.ParseFaults(raw)
	if err != nil {
		return nil, usageError("--faults %s: %w", path, err)
	}
	return faults, nil
}

func startBenchDeployment(o benchOptions) (*deployment.Deployment, func(), error) {
	out, err := openLog(o.logFile)
	if err != nil {
		return nil, nil, err
	}
	log, err := logging.New("info", out)
	if err != nil {
		return nil, nil, err
	}
	logging.AttachGoZero(log)
	instance := deployment.InstanceSettings(o.workload)
	instance.Lag = standin.Duration(o.lag)
	d, err := deployment.Start(deployment.Options{
		Example:          o.workload,
		ProxiesPerDomain: o.proxies,
		Instance:         instance,
		Log:              log,
		Adjust: func(s *settings.Settings) {
			s.Routing.Policy = o.policy
			s.Drain.ReadinessDelay = time.Second
		},
	})
	if err != nil {
		return nil, nil, fmt.Errorf("start the deployment: %w", err)
	}
	return d, func() {
		d.Close()
		_ = out.Close()
	}, nil
}
