package standin

import (
	"bytes"
	"cmp"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "github.com/bramleylever/bramleylever/api/etcd/etcdserverpb"
	"github.com/bramleylever/bramleylever/api/etcd/mvccpb"
)

// txn runs a transaction: the success operations if all compares hold, the failure
// operations otherwise. Their changes form one revision.
func (e *engine) txn(r *pb.TxnRequest) (*pb.TxnResponse, error) {
	if proto.Size(r) > maxRequestBytes {
		return nil, errTooLarge
	}
	e.expire()
	e.mu.Lock()
	defer e.mu.Unlock()
	succeeded := true
	for _, c := range r.Compare {
		if len(c.Key) == 0 {
			return nil, errEmptyKey
		}
		succeeded = succeeded && e.holds(c)
	}
	ops := r.Failure
	if succeeded {
		ops = r.Success
	}
	if err := e.validateOps(ops); err != nil {
		return nil, err
	}
	out := &pb.TxnResponse{Succeeded: succeeded}
	var events []*mvccpb.Event
	for _, op := range ops {
		response, changed, err := e.runOp(op)
		if err != nil {
			return nil, err
		}
		out.Responses = append(out.Responses, response)
		events = append(events, changed...)
	}
	e.commit(events)
	out.Header = e.header()
	return out, nil
}

// validateOps returns an error if one of the operations cannot run, so that a
// transaction is rejected before any of them has run.
func (e *engine) validateOps(ops []*pb.RequestOp) error {
	seen := map[string]bool{}
	for _, op := range ops {
		switch op := op.GetRequest().(type) {
		case *pb.RequestOp_RequestRange:
			if _, err := e.read(op.RequestRange); err != nil {
				return err
			}
		case *pb.RequestOp_RequestPut:
			key := string(op.RequestPut.Key)
			if key == "" {
				return errEmptyKey
			}
			if seen[key] {
				return errDuplicateKey
			}
			seen[key] = true
			if id := op.RequestPut.Lease; id != 0 && e.leases[id] == nil {
				return errLeaseNotFound
			}
		case *pb.RequestOp_RequestDeleteRange:
			if len(op.RequestDeleteRange.Key) == 0 {
				return errEmptyKey
			}
		default:
			return status.Error(codes.InvalidArgument, "etcdserver: operation of unknown type")
		}
	}
	return nil
}

func (e *engine) runOp(op *pb.RequestOp) (*pb.ResponseOp, []*mvccpb.Event, error) {
	switch op := op.GetRequest().(type) {
	case *pb.RequestOp_RequestRange:
		response, err := e.read(op.RequestRange)
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: response}}, nil, err
	case *pb.RequestOp_RequestPut:
		event := e.put(op.RequestPut)
		response := &pb.PutResponse{}
		if op.RequestPut.PrevKv {
			response.PrevKv = event.PrevKv
		}
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: response}},
			[]*mvccpb.Event{event}, nil
	default:
		r := op.(*pb.RequestOp_RequestDeleteRange).RequestDeleteRange
		response := &pb.DeleteRangeResponse{}
		var events []*mvccpb.Event
		for _, key := range e.keysInRange(r.Key, r.RangeEnd) {
			event := e.deleteKey(key)
			events = append(events, event)
			response.Deleted++
			if r.PrevKv {
				response.PrevKvs = append(response.PrevKvs, event.PrevKv)
			}
		}
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: response}},
			events, nil
	}
}

// holds evaluates one compare. For an absent key, the version, revisions and lease
// are 0, and every compare of the value fails.
func (e *engine) holds(c *pb.Compare) bool {
	kv := e.keys[string(c.Key)]
	absent := kv == nil
	if absent {
		kv = &mvccpb.KeyValue{}
	}
	var order int
	switch c.Target {
	case pb.Compare_VERSION:
		order = cmp.Compare(kv.Version, c.GetVersion())
	case pb.Compare_CREATE:
		order = cmp.Compare(kv.CreateRevision, c.GetCreateRevision())
	case pb.Compare_MOD:
		order = cmp.Compare(kv.ModRevision, c.GetModRevision())
	case pb.Compare_LEASE:
		order = cmp.Compare(kv.Lease, c.GetLease())
	case pb.Compare_VALUE:
		if absent {
			return false
		}
		order = bytes.Compare(kv.Value, c.GetValue())
	default:
		return false
	}
	switch c.Result {
	case pb.Compare_EQUAL:
		return order == 0
	case pb.Compare_GREATER:
		return order > 0
	case pb.Compare_LESS:
		return order < 0
	default:
		return order != 0
	}
}
