package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/bramleylever/bramleylever/internal/usage"
	"github.com/bramleylever/bramleylever/platform"
)

const usageReadTimeout = 5 * time.Second

func newUsage(env environment) *cobra.Command {
	var store, account string
	var last int
	cmd := &cobra.Command{
		Use:   "usage",
		Short: "Show the last windows of usage and who reported them",
		Long: `Show the last windows of usage as they stand in the platform's key-value service:
the holder that sealed each, the operations counted, and the hosts whose counts
are missing or cover only a part of the window.`,
		Example: "  bramleylever usage --store 127.0.0.1:2379 --account billing",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(cmd.Context(), usageReadTimeout)
			defer cancel()
			client := platform.NewStore(store, metrics.NewRegistry(), zap.NewNop(), func() time.Duration { return 0 })
			defer func() { _ = client.Close() }()
			records, err := usage.ListRecords(ctx, client)
			if writeErr := writeUsage(env.out, records[max(0, len(records)-last):], account); writeErr != nil {
				return writeErr
			}
			return err
		},
	}
	cmd.Flags().StringVar(&store, "store", "", "address of the key-value service, host:port")
	cmd.Flags().StringVar(&account, "account", "", "show the operations of this client account only")
	cmd.Flags().IntVar(&last, "last", 12, "number of windows")
	_ = cmd.MarkFlagRequired("store")
	return cmd
}

// writeUsage writes one line for each record.
func writeUsage(out io.Writer, records []*usage.Record, account string) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "WINDOW\tENDS\tOPERATIONS\tHOLDER\tTOKEN\tSEALED AFTER\tHOSTS\tMISSING\tRESTARTED")
	for _, r := range records {
		operations := r.Counts[account]
		if account == "" {
			operations = r.Counts.Total()
		}
		fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%d\t%s\t%d\t%v\t%v\n", r.Window, r.Ends.UTC().Format(time.RFC3339), operations,
			r.Holder, r.Token, r.SealedAt.Sub(r.Ends).Round(time.Millisecond), r.Hosts, r.Missing, r.Restarted)
	}
	return table.Flush()
}
