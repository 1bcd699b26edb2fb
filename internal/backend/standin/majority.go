package standin

import (
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

// majorityOf returns the highest value that a majority of the group has reached. own is
// the value of this instance.
func majorityOf(groupSize int, own uint64, others []uint64) uint64 {
	values := append(slices.Clone(others), own)
	slices.Sort(values)
	slices.Reverse(values)
	majority := groupSize/2 + 1
	if len(values) < majority {
		return 0
	}
	return values[majority-1]
}

// updateConfirmedLocked recomputes the confirmed position and ping. A position is
// confirmed only once a majority has received an entry of the current term: a later
// primary could remove entries of older terms.
func (i *Instance) updateConfirmedLocked() {
	st := &i.state
	received := make([]uint64, 0, len(st.peers))
	pings := make([]uint64, 0, len(st.peers))
	for _, p := range st.peers {
		received = append(received, uint64(p.received))
		pings = append(pings, p.ping)
	}
	confirmed := position.LSN(majorityOf(i.cfg.GroupSize, uint64(st.lastLSN()), received))
	if confirmed >= st.termStart && confirmed > st.confirmed {
		st.confirmed = confirmed
	}
	st.pingConfirmed = max(st.pingConfirmed, majorityOf(i.cfg.GroupSize, st.pingSequence, pings))
}

// acknowledge records what a replica has received in the term. It returns false if the
// term has ended.
func (i *Instance) acknowledge(term position.Term, instance string, received position.LSN, ping uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	st := &i.state
	if st.role != backend.RolePrimary || st.term != term || received > st.lastLSN() {
		return false
	}
	p := st.peers[instance]
	if p == nil {
		p = &peerProgress{}
		st.peers[instance] = p
	}
	p.received = max(p.received, received)
	p.ping = max(p.ping, ping)
	confirmed, pinged := st.confirmed, st.pingConfirmed
	i.updateConfirmedLocked()
	if st.confirmed != confirmed || st.pingConfirmed != pinged {
		i.broadcastLocked()
	}
	return true
}

// resetPeerProgress lowers the progress of a connecting replica to the end of its log,
// which is below the acknowledged position if the replica lost its data.
func (i *Instance) resetPeerProgress(instance string, received position.LSN) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if p := i.state.peers[instance]; p != nil {
		p.received = min(p.received, received)
	}
}

// beginPingLocked requests an acknowledgement of the term from all replicas. The
// returned number is confirmed once a majority has acknowledged it.
func (i *Instance) beginPingLocked() uint64 {
	i.state.pingSequence++
	i.updateConfirmedLocked()
	i.broadcastLocked()
	return i.state.pingSequence
}

// freshnessSample records that the log up to lsn contains everything that was committed
// before asOf.
type freshnessSample struct {
	asOf time.Time
	lsn  position.LSN
}

// maxFreshnessSamples bounds the samples whose position is not yet applied. At the
// default request interval they cover 50 s of lag.
const maxFreshnessSamples = 1000

// addFreshnessSampleLocked records the primary's reply to a request that was sent at
// requestedAt.
func (i *Instance) addFreshnessSampleLocked(requestedAt time.Time, lsn position.LSN) {
	st := &i.state
	if len(st.freshnessSamples) < maxFreshnessSamples {
		st.freshnessSamples = append(st.freshnessSamples, freshnessSample{requestedAt, lsn})
	}
	i.updateFreshnessLocked()
}

// updateFreshnessLocked advances freshAsOf by the samples whose position has been
// applied.
func (i *Instance) updateFreshnessLocked() {
	st := &i.state
	n := 0
	for n < len(st.freshnessSamples) && st.freshnessSamples[n].lsn <= st.applied {
		if st.freshnessSamples[n].asOf.After(st.freshAsOf) {
			st.freshAsOf = st.freshnessSamples[n].asOf
		}
		n++
	}
	if n > 0 {
		st.freshnessSamples = slices.Delete(st.freshnessSamples, 0, n)
		i.broadcastLocked()
	}
}
