package standin

import (
	"time"

	"github.com/bramleylever/bramleylever/api/etcd/mvccpb"
	"github.com/bramleylever/bramleylever/internal/platform"
)

// Restore makes the stand-in come back from a copy that is as old as the given time: what
// was written since is lost, and so are all leases and the keys that are bound to them.
// As after a restore of etcd that raises the revisions by 2^40, later revisions belong to
// the next generation and the earlier history is compacted.
func (s *Server) Restore(lost time.Duration) { s.engine.restore(lost) }

func (e *engine) restore(lost time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	copied := e.revisionAt(e.now().Add(-lost))
	keys := map[string]*mvccpb.KeyValue{}
	for key, kv := range e.stateAt(copied) {
		if kv.Lease == 0 {
			keys[key] = kv
		}
	}
	generation, _ := platform.SplitRevision(e.revision)
	_, number := platform.SplitRevision(copied)
	e.revision = platform.ComposeRevision(generation+1, number)
	e.keys, e.leases, e.history, e.compacted = keys, map[int64]*lease{}, nil, e.revision
	close(e.changed)
	e.changed = make(chan struct{})
}

// revisionAt returns the revision at a time, or the oldest one of which the history is
// kept. The caller holds the lock.
func (e *engine) revisionAt(at time.Time) int64 {
	revision := e.revision
	for i := len(e.history) - 1; i >= 0; i-- {
		if !e.history[i].at.After(at) {
			return e.history[i].revision
		}
		revision = e.history[i].revision - 1
	}
	return revision
}
