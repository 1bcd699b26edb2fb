package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/records"
)

const (
	outputText = "text"
	outputJSON = "json"
	// commandTimeout bounds the time that a command spends on the store.
	commandTimeout = 15 * time.Second
	// pollInterval is the delay between two polls of a host that has an older revision.
	pollInterval = 100 * time.Millisecond
)

// recordCommand holds the flags that commands on records share.
type recordCommand struct {
	env      environment
	platform string
	operator string
	output   string
	hosts    []string
	wait     time.Duration
}

// addFlags adds the common flags and, if mutating is set, those of commands that
// change records.
func (o *recordCommand) addFlags(cmd *cobra.Command, mutating bool) {
	cmd.Flags().StringVar(&o.platform, "platform", "127.0.0.1:2379", "HOST:PORT of the platform store; separate several with commas")
	cmd.Flags().StringVar(&o.output, "output", outputText, "output format, text or json")
	if !mutating {
		return
	}
	cmd.Flags().StringVar(&o.operator, "operator", os.Getenv("USER"), "operator name that is recorded with the change")
	cmd.Flags().StringSliceVar(&o.hosts, "hosts", nil, "peer addresses of proxies that must confirm the change before the command ends")
	cmd.Flags().DurationVar(&o.wait, "wait", 12*time.Second, "how long to wait for confirmation by --hosts")
}

func usageError(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// withClient connects to the platform store and calls run with a client of the
// records.
func (o *recordCommand) withClient(ctx context.Context, run func(context.Context, *records.Client) error) error {
	if o.output != outputText && o.output != outputJSON {
		return usageError("--output %q is neither text nor json", o.output)
	}
	store, err := platform.Dial(ctx, platform.Options{Endpoints: strings.Split(o.platform, ",")})
	if err != nil {
		return usageError("--platform: %w", err)
	}
	defer func() { _ = store.Close() }()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err = run(ctx, records.NewClient(store, o.operator))
	if errors.Is(err, outcome.ErrConflict) {
		return &ExitError{Code: ExitConflict, Err: err}
	}
	return err
}

// print writes v if the output format is JSON, and calls text otherwise.
func (o *recordCommand) print(v any, text func()) error {
	if o.output == outputText {
		text()
		return nil
	}
	encoder := json.NewEncoder(o.env.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// changeReport is the JSON output of a command that changes records.
type changeReport struct {
	Revision int64    `json:"revision"`
	Changed  []string `json:"changed"`
	// Unconfirmed lists the hosts that did not confirm the change in time.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	// KeyID and Secret are set by key grant.
	KeyID  string `json:"key_id,omitempty"`
	Secret string `json:"secret,omitempty"`
}

// change applies the records that list returns and prints a report.
func (o *recordCommand) change(ctx context.Context, list func(context.Context, *records.Client) ([]records.Record, error), report changeReport) error {
	err := o.withClient(ctx, func(ctx context.Context, client *records.Client) error {
		changes, err := list(ctx, client)
		if err != nil {
			return err
		}
		result, err := client.Apply(ctx, changes)
		report.Revision, report.Changed = result.Revision, result.Changed
		return err
	})
	if err != nil && report.KeyID != "" {
		// If the outcome is unknown, the operator needs the id to withdraw the key.
		return fmt.Errorf("key %s: %w", report.KeyID, err)
	}
	if err != nil {
		return err
	}
	report.Unconfirmed = o.unconfirmed(ctx, report.Revision)
	if err := o.print(report, func() { o.printChange(report) }); err != nil {
		return err
	}
	if len(report.Unconfirmed) > 0 {
		return &ExitError{Code: ExitUnconfirmed, Err: fmt.Errorf(
			"revision %d is accepted, but not confirmed by %s", report.Revision, strings.Join(report.Unconfirmed, ", "))}
	}
	return nil
}

func (o *recordCommand) printChange(report changeReport) {
	if len(report.Changed) == 0 {
		fmt.Fprintf(o.env.out, "revision %d: nothing to change\n", report.Revision)
	}
	for _, id := range report.Changed {
		fmt.Fprintf(o.env.out, "revision %d: %s\n", report.Revision, id)
	}
	if report.KeyID != "" {
		fmt.Fprintf(o.env.out, "key id: %s\nsecret: %s\n", report.KeyID, report.Secret)
	}
}

// unconfirmed polls the hosts until each has the revision in force, and returns
// those that did not report it in time.
func (o *recordCommand) unconfirmed(ctx context.Context, revision int64) []string {
	ctx, cancel := context.WithTimeout(ctx, o.wait)
	defer cancel()
	pool := peer.NewPool()
	defer func() { _ = pool.Close() }()
	late := make(chan string, len(o.hosts))
	for _, address := range o.hosts {
		go func() {
			if confirmRevision(ctx, pool, address, revision) {
				address = ""
			}
			late <- address
		}()
	}
	var out []string
	for range o.hosts {
		if address := <-late; address != "" {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// confirmRevision polls a host until it reports the revision or ctx ends.
func confirmRevision(ctx context.Context, pool *peer.Pool, address string, revision int64) bool {
	conn, err := pool.Conn(address)
	if err != nil {
		return false
	}
	client := peerv1.NewRecordsClient(conn)
	for {
		reply, err := peer.Call(ctx, func(ctx context.Context) (*peerv1.FetchReply, error) {
			return client.Fetch(ctx, &peerv1.FetchRequest{AfterRevision: revision})
		})
		if err == nil && reply.GetRevision() >= revision {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
}
