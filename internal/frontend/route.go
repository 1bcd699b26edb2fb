package frontend

import (
	"errors"
	"strings"
	"time"

	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/pool"
	"github.com/bramleylever/bramleylever/internal/routing"
	"github.com/bramleylever/bramleylever/position"
)

// attempt is the progress of one request that starts outside a transaction.
type attempt struct {
	plan     *plan
	write    bool
	deadline time.Time
	// mark is what the caller had received before the request.
	mark uint64
	// excluded are instances on which the request failed.
	excluded [4]string
	failures int
	// fallback reports that a replica could not serve the read.
	fallback bool
	// begin opens the transaction in which the request runs; it was opened
	// before on an instance that then refused the first write.
	begin []byte
	// held is the size with which the request is in the queue; 0 outside.
	held    int
	changed <-chan struct{}
	began   time.Time
}

// verdict is what follows an attempt.
type verdict uint8

const (
	// verdictDone ends the request; the session goes on.
	verdictDone verdict = iota
	// verdictClose ends the session.
	verdictClose
	// verdictAgain sends the request again.
	verdictAgain
	// verdictWait sends the request again after a change of the topology.
	verdictWait
)

// runRouted chooses an instance for a batch outside a transaction and runs it,
// again if that is safe.
func (s *session) runRouted(p *plan) bool {
	a := attempt{
		plan:     p,
		write:    p.class == ClassBegin || p.class == ClassWrite,
		deadline: s.srv.cfg.Now().Add(s.srv.cfg.QueueTimeout),
		mark:     s.out.Written(),
	}
	s.srv.retries.deposit()
	return s.runAttempts(&a)
}

// runAgain runs the first batch of a transaction that was refused with 25006,
// in a new transaction. The caller has seen nothing of the first one but the
// success of BEGIN.
func (s *session) runAgain(p *plan) bool {
	a := attempt{
		plan:     p,
		write:    true,
		begin:    s.beginSQL,
		deadline: s.srv.cfg.Now().Add(s.srv.cfg.QueueTimeout),
		mark:     s.out.Written(),
	}
	return s.runAttempts(&a)
}

func (s *session) runAttempts(a *attempt) bool {
	p := a.plan
	defer s.leaveQueue(a)
	for {
		switch s.try(a) {
		case verdictDone:
			return true
		case verdictClose:
			return false
		case verdictWait:
			if refused := s.waitForPrimary(a); refused != nil {
				if s.sendTermination(outcomeNotRun) {
					return false
				}
				s.count(p, outcomeNotRun)
				return s.refuse(refused, p.synced)
			}
		case verdictAgain:
		}
	}
}

// queuePoll bounds the wait for a change of the topology, because an instance
// can become reachable again without one.
const queuePoll = 50 * time.Millisecond

// waitForPrimary keeps the request in the bounded queue until the topology
// changes or some time has passed.
func (s *session) waitForPrimary(a *attempt) *sqlError {
	now := s.srv.cfg.Now()
	if a.held == 0 {
		size := max(len(s.st.batch.data), 1)
		if !s.srv.waitQueue.enter(size) {
			return &sqlError{"57P03", "not run: no primary is available and the queue is full"}
		}
		a.held = size
		a.began = now
	}
	left := a.deadline.Sub(now)
	if left <= 0 {
		return noPrimaryInTime()
	}
	a.failures, a.fallback = 0, false
	if a.changed == nil {
		// The first attempt did not hold the channel, so a change may have
		// been missed: try once more before waiting.
		a.changed = s.srv.cfg.Topology.Changed()
		return nil
	}
	timer := time.NewTimer(min(left, queuePoll))
	defer timer.Stop()
	select {
	case <-a.changed:
	case <-timer.C:
	case <-s.ending:
		return &sqlError{"57P01", "not run: terminating connection"}
	}
	a.changed = s.srv.cfg.Topology.Changed()
	return nil
}

func noPrimaryInTime() *sqlError {
	return &sqlError{"57P03", "not run: no primary became available in time"}
}

func (s *session) leaveQueue(a *attempt) {
	if a.held > 0 {
		s.srv.waitQueue.leave(a.held)
		s.srv.metrics.queueTime.Update(s.srv.cfg.Now().Sub(a.began))
	}
}

// decide chooses the instance for the next attempt.
func (s *session) decide(a *attempt) routing.Decision {
	in := &s.input
	in.Write = a.write
	in.Position = s.st.vector[s.st.database]
	in.MaxStaleness = s.st.maxStaleness
	in.Fallback = a.fallback
	in.PositionUnknown = s.st.sessionID != "" && in.Position.IsZero()
	in.FallbackAllowed = true
	s.fillCandidates(a)
	d := routing.Decide(in, s.srv.policy)
	if d.Fallback {
		primary := in.Candidates[d.Target].Instance
		if !s.srv.fallbacks.acquire(primary, s.srv.pools.Limit(primary)) {
			in.FallbackAllowed = false
			d = routing.Decide(in, s.srv.policy)
		}
	}
	instance := ""
	if d.Target != routing.None {
		instance = in.Candidates[d.Target].Instance
	}
	s.srv.decisions.Add(routing.Entry{
		Database: s.st.database,
		Instance: instance,
		Account:  s.login.Load().account,
		Session:  s.pid,
		Class:    a.plan.class.String(),
		Reason:   d.Reason,
	})
	return d
}

func (s *session) fillCandidates(a *attempt) {
	s.input.Candidates = s.input.Candidates[:0]
	snapshot := s.srv.cfg.Feed.Current()
	group, _ := s.srv.cfg.Topology.Group(s.st.database)
	now := s.srv.cfg.Now()
	for _, instance := range snapshot.Databases[s.st.database].Instances {
		c := routing.Candidate{
			Instance:   instance.Name,
			Address:    instance.Address,
			Primary:    instance.Name == group.Primary,
			SameDomain: instance.Domain == s.srv.cfg.Domain,
			Leaving:    snapshot.InstanceLeaving(instance),
			Weight:     1,
		}
		if s.srv.cfg.Weight != nil {
			c.Weight = s.srv.cfg.Weight(instance.Name)
		}
		for _, failed := range a.excluded[:min(a.failures, len(a.excluded))] {
			c.Failed = c.Failed || failed == instance.Name
		}
		s.srv.estimates.Of(instance.Name).Fill(&c, now)
		s.input.Candidates = append(s.input.Candidates, c)
	}
}

func (a *attempt) exclude(instance string) {
	if a.failures < len(a.excluded) {
		a.excluded[a.failures] = instance
	}
	a.failures++
}

// try makes one attempt.
func (s *session) try(a *attempt) verdict {
	d := s.decide(a)
	if d.Target == routing.None {
		return verdictWait
	}
	target := &s.input.Candidates[d.Target]
	if d.Fallback {
		s.srv.metrics.fallbacks.Inc(1)
		defer s.srv.fallbacks.release(target.Instance)
	}
	c, err := s.acquire(a, target)
	if err != nil {
		return s.acquireFailed(a, target, err)
	}
	s.setRunning(c, runningAs(a))
	if v, ok := s.syncParameters(a, c); !ok {
		return v
	}
	s.countRead(a, target)
	return s.execute(a, c, target, s.guardFor(a, c, d))
}

// runningAs says who may interrupt the request.
func runningAs(a *attempt) runKind {
	switch {
	case a.write:
		return runWrite
	case a.plan.repeatable():
		return runRead
	default:
		return runOther
	}
}

func (s *session) countRead(a *attempt, target *routing.Candidate) {
	switch {
	case a.write || !a.plan.runs:
	case target.Primary:
		s.srv.metrics.readsPrimary.Inc(1)
	case s.st.maxStaleness >= 0:
		s.srv.metrics.readsStale.Inc(1)
	default:
		s.srv.metrics.readsReplica.Inc(1)
	}
}

func (s *session) acquire(a *attempt, target *routing.Candidate) (*pool.Conn, error) {
	l := s.login.Load()
	return s.srv.pools.Acquire(pool.Request{
		Target:  pool.Target{Instance: target.Instance, Address: target.Address, Database: s.st.database},
		Account: l.account,
		Weight:  s.srv.cfg.Feed.Current().Accounts[l.account].Weight,
		Wait:    max(a.deadline.Sub(s.srv.cfg.Now()), 0),
		Cancel:  s.ending,
	})
}

// acquireFailed handles a request that got no connection; it was not sent.
func (s *session) acquireFailed(a *attempt, target *routing.Candidate, err error) verdict {
	if s.sendTermination(outcomeNotRun) {
		return verdictClose
	}
	if errors.Is(err, pool.ErrUnreachable) {
		s.srv.estimates.Of(target.Instance).Fail()
		if target.Primary {
			return verdictWait
		}
		a.exclude(target.Instance)
		return verdictAgain
	}
	if errors.Is(err, pool.ErrRetired) && s.srv.cfg.Now().Before(a.deadline) {
		return verdictAgain
	}
	s.count(a.plan, outcomeNotRun)
	if a.held > 0 {
		return s.finished(s.refuse(noPrimaryInTime(), a.plan.synced))
	}
	return s.finished(s.refuse(&sqlError{"53300", "not run: " + strings.TrimSuffix(err.Error(), ": "+outcome.ErrNotRun.Error())}, a.plan.synced))
}

func (s *session) finished(goesOn bool) verdict {
	if goesOn {
		return verdictDone
	}
	return verdictClose
}

// confirmWait bounds the confirmation of a primary. It is short, so that a
// request leaves a primary that was cut off soon after the promotion.
const confirmWait = time.Second

// guardFor returns the check that must precede the request on a connection.
func (s *session) guardFor(a *attempt, c *pool.Conn, d routing.Decision) guard {
	in := &s.input
	switch d.Check {
	case routing.CheckPrimary:
		return guard{kind: guardPrimary, wait: confirmWait}
	case routing.CheckPosition:
		wanted := in.Position
		if !routing.GuardNeeded(wanted, c.Applied, c.GuardedPosition) {
			wanted = position.Position{}
		}
		age := in.MaxStaleness
		if a.write {
			age = -1
		}
		if wanted.IsZero() && age < 0 {
			return guard{}
		}
		wait := s.srv.cfg.GuardWait
		if d.Reason == routing.ReasonFallbackLimit {
			wait = max(a.deadline.Sub(s.srv.cfg.Now()), wait)
		}
		return guard{kind: guardPosition, position: wanted, wait: wait, maxAge: age}
	default:
		return guard{}
	}
}

// execute sends the request on a connection and reads the answer.
func (s *session) execute(a *attempt, c *pool.Conn, target *routing.Candidate, g guard) verdict {
	p := a.plan
	if a.begin != nil {
		if v, ok := s.reopen(a, c, target, g); !ok {
			return v
		}
		g = guard{}
	}
	s.x.begin(s.st, c, p, s.out)
	s.x.allowRetry = !p.readOnlyBlock
	estimate := s.srv.estimates.Of(target.Instance)
	began := s.srv.cfg.Now()
	estimate.Begin(began)
	sent, err := s.sendBatch(c, p, g)
	if err == nil {
		err = s.relay(c)
	}
	now := s.srv.cfg.Now()
	estimate.End(now.Sub(began), err != nil, c.Applied, now)
	switch {
	case err != nil:
		return s.failed(a, c, target, sent)
	case s.x.guardErr != "":
		return s.guardRefused(a, c, target)
	case s.x.readOnly:
		return s.forward(a, c, target)
	}
	if g.kind == guardPosition && c.GuardedPosition.Compare(g.position) < 0 {
		c.GuardedPosition = g.position
	}
	return s.finished(s.complete(c, p))
}
