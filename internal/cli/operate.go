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
	// commandTimeout bounds what a command does with the store.
	commandTimeout = 15 * time.Second
	// pollPause separates the questions to a host that is behind.
	pollPause = 100 * time.Millisecond
)

// operation is what the commands on records have in common.
type operation struct {
	env      environment
	platform string
	operator string
	output   string
	hosts    []string
	wait     time.Duration
}

// flags adds the common flags; changing adds those of commands that change
// records.
func (o *operation) flags(cmd *cobra.Command, changing bool) {
	cmd.Flags().StringVar(&o.platform, "platform", "127.0.0.1:2379", "HOST:PORT of the platform store, several separated by commas")
	cmd.Flags().StringVar(&o.output, "output", outputText, "output format, text or json")
	if !changing {
		return
	}
	cmd.Flags().StringVar(&o.operator, "operator", os.Getenv("USER"), "name that signs the change")
	cmd.Flags().StringSliceVar(&o.hosts, "hosts", nil, "peer addresses of proxies that must have the change in force before the command ends")
	cmd.Flags().DurationVar(&o.wait, "wait", 12*time.Second, "how long to wait for --hosts")
}

func usage(format string, args ...any) error {
	return &ExitError{Code: ExitUsage, Err: fmt.Errorf(format, args...)}
}

// withClient runs a command against the store.
func (o *operation) withClient(ctx context.Context, run func(context.Context, *records.Client) error) error {
	if o.output != outputText && o.output != outputJSON {
		return usage("--output %q is neither text nor json", o.output)
	}
	store, err := platform.Dial(ctx, platform.Options{Endpoints: strings.Split(o.platform, ",")})
	if err != nil {
		return usage("--platform: %w", err)
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

// print writes v as JSON, or calls text.
func (o *operation) print(v any, text func()) error {
	if o.output == outputText {
		text()
		return nil
	}
	encoder := json.NewEncoder(o.env.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// changeReport is the JSON output of a change.
type changeReport struct {
	Revision int64    `json:"revision"`
	Changed  []string `json:"changed"`
	// Unconfirmed are the hosts that did not have the change in force in time.
	Unconfirmed []string `json:"unconfirmed,omitempty"`
	// KeyID and Secret are set by key grant.
	KeyID  string `json:"key_id,omitempty"`
	Secret string `json:"secret,omitempty"`
}

// change applies records and reports what was done.
func (o *operation) change(ctx context.Context, list func(context.Context, *records.Client) ([]records.Record, error), report changeReport) error {
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
		// After an unknown outcome the operator needs the id to withdraw it.
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
			"revision %d is accepted, but not yet in force on %s", report.Revision, strings.Join(report.Unconfirmed, ", "))}
	}
	return nil
}

func (o *operation) printChange(report changeReport) {
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

// unconfirmed asks the hosts until the revision is in force on them, and
// returns those that did not report it in time.
func (o *operation) unconfirmed(ctx context.Context, revision int64) []string {
	ctx, cancel := context.WithTimeout(ctx, o.wait)
	defer cancel()
	pool := peer.NewPool()
	defer func() { _ = pool.Close() }()
	late := make(chan string, len(o.hosts))
	for _, address := range o.hosts {
		go func() {
			if hasInForce(ctx, pool, address, revision) {
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

func hasInForce(ctx context.Context, pool *peer.Pool, address string, revision int64) bool {
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
		case <-time.After(pollPause):
		}
	}
}
