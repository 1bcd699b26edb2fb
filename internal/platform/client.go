package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
	"github.com/bramleylever/bramleylever/api/etcd/mvccpb"
)

// client implements Store over the etcd v3 protocol.
type client struct {
	conn             *grpc.ClientConn
	kv               pb.KVClient
	lease            pb.LeaseClient
	watch            pb.WatchClient
	timeout          time.Duration
	progressInterval time.Duration
	generations      *GenerationTracker
}

// callContext returns a context with the call timeout and a flag that is set once
// the request may have left the process.
func (c *client) callContext(ctx context.Context) (context.Context, *atomic.Bool, context.CancelFunc) {
	sent := &atomic.Bool{}
	ctx, cancel := context.WithTimeout(context.WithValue(ctx, sentKey{}, sent), c.timeout)
	return ctx, sent, cancel
}

// readError classifies the error of a read, a watch or a lease renewal, which can all
// be retried safely.
func readError(step string, err error) error {
	switch status.Code(err) {
	case codes.OutOfRange:
		if strings.Contains(status.Convert(err).Message(), "compacted") {
			return fmt.Errorf("%s: %w", step, ErrCompacted)
		}
		return fmt.Errorf("%s: %w", step, err)
	case codes.InvalidArgument, codes.Unimplemented:
		return fmt.Errorf("%s: %w", step, err)
	default:
		return fmt.Errorf("%s: %w: %w", step, ErrUnavailable, err)
	}
}

// writeError classifies the error of a write. A write is known not to have run
// only if the store itself rejected it or it was never handed to a connection.
func writeError(step string, sent bool, err error) error {
	message := status.Convert(err).Message()
	switch code := status.Code(err); {
	case code == codes.NotFound:
		return fmt.Errorf("%s: %w", step, ErrLeaseNotFound)
	case code == codes.InvalidArgument && strings.Contains(message, "too large"):
		return fmt.Errorf("%s: %w", step, ErrTooLarge)
	case code == codes.InvalidArgument, code == codes.FailedPrecondition, code == codes.Unimplemented:
		return fmt.Errorf("%s: %w", step, err)
	case !sent:
		return fmt.Errorf("%s: %w: %w", step, ErrUnavailable, err)
	default:
		return fmt.Errorf("%s: %w: %w", step, ErrOutcomeUnknown, err)
	}
}

// Generation implements Store. The protocol does not tell whether a cluster was restored.
// Therefore a restore has to raise the revisions by 2^40 (etcdutl snapshot restore
// --bump-revision 1099511627776 --mark-compacted), which makes them those of the next
// generation.
func (c *client) Generation() Generation { return c.generations.Newest() }

// observe records the generation that an answer shows and returns its revision.
func (c *client) observe(h *pb.ResponseHeader) int64 {
	generation, _ := SplitRevision(h.GetRevision())
	c.generations.Observe(generation)
	return h.GetRevision()
}

func (c *client) Get(ctx context.Context, key string) (KeyValue, int64, error) {
	ctx, _, cancel := c.callContext(ctx)
	defer cancel()
	r, err := c.kv.Range(ctx, &pb.RangeRequest{Key: []byte(key)})
	if err != nil {
		return KeyValue{}, 0, readError("get "+key, err)
	}
	if len(r.Kvs) == 0 {
		return KeyValue{Key: key}, c.observe(r.GetHeader()), nil
	}
	return keyValue(r.Kvs[0]), c.observe(r.GetHeader()), nil
}

func (c *client) List(ctx context.Context, prefix string) ([]KeyValue, int64, error) {
	return c.list(ctx, prefix, false)
}

func (c *client) ListStale(ctx context.Context, prefix string) ([]KeyValue, int64, error) {
	return c.list(ctx, prefix, true)
}

func (c *client) list(ctx context.Context, prefix string, serializable bool) ([]KeyValue, int64, error) {
	ctx, _, cancel := c.callContext(ctx)
	defer cancel()
	request := &pb.RangeRequest{Key: rangeStart(prefix), RangeEnd: rangeEnd(prefix), Serializable: serializable}
	r, err := c.kv.Range(ctx, request)
	if err != nil {
		return nil, 0, readError("list "+prefix, err)
	}
	out := make([]KeyValue, 0, len(r.Kvs))
	for _, kv := range r.Kvs {
		out = append(out, keyValue(kv))
	}
	return out, c.observe(r.GetHeader()), nil
}

func (c *client) Txn(ctx context.Context, txn Txn) (int64, error) {
	request := &pb.TxnRequest{}
	for _, compare := range txn.Compares {
		request.Compare = append(request.Compare, &pb.Compare{
			Result:      pb.Compare_EQUAL,
			Target:      pb.Compare_MOD,
			Key:         []byte(compare.Key),
			TargetUnion: &pb.Compare_ModRevision{ModRevision: compare.ModRevision},
		})
	}
	for _, put := range txn.Puts {
		if len(put.Value) > MaxValueBytes {
			return 0, fmt.Errorf("txn: key %s: %d bytes: %w", put.Key, len(put.Value), ErrTooLarge)
		}
		request.Success = append(request.Success, &pb.RequestOp{Request: &pb.RequestOp_RequestPut{
			RequestPut: &pb.PutRequest{Key: []byte(put.Key), Value: put.Value, Lease: int64(put.Lease)},
		}})
	}
	for _, key := range txn.Deletes {
		request.Success = append(request.Success, &pb.RequestOp{Request: &pb.RequestOp_RequestDeleteRange{
			RequestDeleteRange: &pb.DeleteRangeRequest{Key: []byte(key)},
		}})
	}
	ctx, sent, cancel := c.callContext(ctx)
	defer cancel()
	r, err := c.kv.Txn(ctx, request)
	if err != nil {
		return 0, writeError("txn", sent.Load(), err)
	}
	revision := c.observe(r.GetHeader())
	if !r.Succeeded {
		return 0, fmt.Errorf("txn: %w", ErrConflict)
	}
	return revision, nil
}

func (c *client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	ctx, sent, cancel := c.callContext(ctx)
	defer cancel()
	r, err := c.lease.LeaseGrant(ctx, &pb.LeaseGrantRequest{TTL: seconds})
	if err != nil {
		return 0, writeError("grant lease", sent.Load(), err)
	}
	if r.Error != "" {
		return 0, fmt.Errorf("grant lease: %s", r.Error)
	}
	return LeaseID(r.ID), nil
}

func (c *client) KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error) {
	ctx, _, cancel := c.callContext(ctx)
	defer cancel()
	stream, err := c.lease.LeaseKeepAlive(ctx)
	if err != nil {
		return 0, readError("keep lease alive", err)
	}
	// Renewing a lease twice does no harm, so a lost response counts as
	// ErrUnavailable, which allows a retry.
	if err := stream.Send(&pb.LeaseKeepAliveRequest{ID: int64(id)}); err != nil && !errors.Is(err, io.EOF) {
		return 0, readError("keep lease alive", err)
	}
	r, err := stream.Recv()
	if err != nil {
		return 0, readError("keep lease alive", err)
	}
	_ = stream.CloseSend()
	c.observe(r.GetHeader())
	if r.TTL <= 0 {
		return 0, fmt.Errorf("keep lease alive: %w", ErrLeaseNotFound)
	}
	return time.Duration(r.TTL) * time.Second, nil
}

func (c *client) RevokeLease(ctx context.Context, id LeaseID) error {
	ctx, sent, cancel := c.callContext(ctx)
	defer cancel()
	if _, err := c.lease.LeaseRevoke(ctx, &pb.LeaseRevokeRequest{ID: int64(id)}); err != nil {
		return writeError("revoke lease", sent.Load(), err)
	}
	return nil
}

func (c *client) Close() error {
	if err := c.conn.Close(); err != nil && status.Code(err) != codes.Canceled {
		return fmt.Errorf("platform: close: %w", err)
	}
	return nil
}

func keyValue(kv *mvccpb.KeyValue) KeyValue {
	return KeyValue{
		Key:         string(kv.GetKey()),
		Value:       kv.GetValue(),
		ModRevision: kv.GetModRevision(),
		Lease:       LeaseID(kv.GetLease()),
	}
}

// rangeStart returns the first key of the range for a prefix. The protocol has no
// empty key, so an empty prefix starts at the smallest key, "\x00".
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

// rangeEnd returns the exclusive end of the range for a prefix. "\x00" means that
// the range has no end.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
