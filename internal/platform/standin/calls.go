package standin

import (
	"context"
	"maps"
	"net"
	"sync"

	"google.golang.org/grpc/peer"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
)

// CallKind is the kind of a call in the call counts.
type CallKind string

// The kinds of calls. A watch is counted once, when it is created.
const (
	CallRange     CallKind = "range"
	CallTxn       CallKind = "txn"
	CallGrant     CallKind = "lease_grant"
	CallRevoke    CallKind = "lease_revoke"
	CallKeepAlive CallKind = "lease_keep_alive"
	CallWatch     CallKind = "watch"
	CallProgress  CallKind = "watch_progress"
)

func unaryCallKind(request any) CallKind {
	switch request.(type) {
	case *pb.RangeRequest:
		return CallRange
	case *pb.TxnRequest:
		return CallTxn
	case *pb.LeaseGrantRequest:
		return CallGrant
	default:
		return CallRevoke
	}
}

// callCounter counts calls by client IP address and kind.
type callCounter struct {
	mu    sync.Mutex
	calls map[string]map[CallKind]int64
}

func newCallCounter() *callCounter {
	return &callCounter{calls: map[string]map[CallKind]int64{}}
}

func (c *callCounter) add(ctx context.Context, kind CallKind) {
	client := "unknown"
	if p, ok := peer.FromContext(ctx); ok {
		if host, _, err := net.SplitHostPort(p.Addr.String()); err == nil {
			client = host
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[client] == nil {
		c.calls[client] = map[CallKind]int64{}
	}
	c.calls[client][kind]++
}

// CallsByClient returns the number of calls so far by client IP address and kind.
func (s *Server) CallsByClient() map[string]map[CallKind]int64 {
	s.calls.mu.Lock()
	defer s.calls.mu.Unlock()
	out := make(map[string]map[CallKind]int64, len(s.calls.calls))
	for client, kinds := range s.calls.calls {
		out[client] = maps.Clone(kinds)
	}
	return out
}

// Calls returns the number of calls so far of all clients by kind.
func (s *Server) Calls() map[CallKind]int64 {
	out := map[CallKind]int64{}
	for _, kinds := range s.CallsByClient() {
		for kind, count := range kinds {
			out[kind] += count
		}
	}
	return out
}
