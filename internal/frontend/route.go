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

// attempts is the progress of a request that starts outside a transaction, over
// one or more attempts to run it.
type attempts struct {
	plan     *plan
	write    bool
	deadline time.Time
	// writtenBefore is the number of bytes that were written to the caller before
	// the request.
	writtenBefore uint64
	// excluded are the first instances on which the request failed; failures
	// counts all failures.
	excluded [4]string
	failures int
	// fallback reports that a replica refused the read because its data is too
	// old, so that the primary may serve it.
	fallback bool
	// beginSQL is the statement that opens the transaction of the request again,
	// after an instance refused the first write in it; nil if the request is not
	// part of such a transaction.
	beginSQL []byte
	// queuedBytes is the size of the request in the queue for a primary; 0 if it
	// is not queued.
	queuedBytes int
	// topologyChanged is closed at the next change of the topology; nil until
	// the request has begun to wait for one.
	topologyChanged <-chan struct{}
	queuedAt        time.Time
}

// nextAction is what follows an attempt.
type nextAction uint8

const (
	// actionDone ends the request; the session continues.
	actionDone nextAction = iota
	// actionClose ends the session.
	actionClose
	// actionRetry starts another attempt at once.
	actionRetry
	// actionWait starts another attempt after a change of the topology or after
	// queuePollInterval.
	actionWait
)

// runRouted runs a batch outside of a transaction on an instance that it
// chooses, and retries it if that is safe. It reports whether the session
// continues.
func (s *session) runRouted(p *plan) bool {
	a := attempts{
		plan:          p,
		write:         p.class == ClassBegin || p.class == ClassWrite,
		deadline:      s.srv.cfg.Now().Add(s.srv.cfg.QueueTimeout),
		writtenBefore: s.out.Written(),
	}
	s.srv.retries.deposit()
	return s.runAttempts(&a)
}

// rerunTransaction runs the first batch of a transaction in a new transaction,
// after an instance refused it with 25006. The caller has only seen that BEGIN
// succeeded.
func (s *session) rerunTransaction(p *plan) bool {
	a := attempts{
		plan:          p,
		write:         true,
		beginSQL:      s.beginSQL,
		deadline:      s.srv.cfg.Now().Add(s.srv.cfg.QueueTimeout),
		writtenBefore: s.out.Written(),
	}
	return s.runAttempts(&a)
}

func (s *session) runAttempts(a *attempts) bool {
	p := a.plan
	defer s.leaveQueue(a)
	for {
		switch s.try(a) {
		case actionDone:
			return true
		case actionClose:
			return false
		case actionWait:
			if refused := s.waitForPrimary(a); refused != nil {
				if s.sendTermination(outcomeNotRun) {
					return false
				}
				s.countRequest(p, outcomeNotRun)
				return s.refuse(refused, p.synced)
			}
		case actionRetry:
		}
	}
}

// queuePollInterval is the longest time between two attempts of a queued
// request, because an instance can become reachable again without a change of
// the topology.
const queuePollInterval = 50 * time.Millisecond

// waitForPrimary keeps the request in the bounded queue until the topology
// changes or queuePollInterval has passed. It returns an error if the request
// must not wait any longer.
func (s *session) waitForPrimary(a *attempts) *sqlError {
	now := s.srv.cfg.Now()
	if a.queuedBytes == 0 {
		size := max(len(s.st.batch.data), 1)
		if !s.srv.waitQueue.enter(size) {
			return &sqlError{"57P03", "not run: no primary is available and the queue is full"}
		}
		a.queuedBytes = size
		a.queuedAt = now
	}
	left := a.deadline.Sub(now)
	if left <= 0 {
		return noPrimaryInTime()
	}
	a.failures, a.fallback = 0, false
	if a.topologyChanged == nil {
		// A change before this subscription would be missed, so the request is
		// tried once more before it waits.
		a.topologyChanged = s.srv.cfg.Topology.Changed()
		return nil
	}
	timer := time.NewTimer(min(left, queuePollInterval))
	defer timer.Stop()
	select {
	case <-a.topologyChanged:
	case <-timer.C:
	case <-s.ending:
		return &sqlError{"57P01", "not run: terminating connection"}
	}
	a.topologyChanged = s.srv.cfg.Topology.Changed()
	return nil
}

func noPrimaryInTime() *sqlError {
	return &sqlError{"57P03", "not run: no primary became available in time"}
}

func (s *session) leaveQueue(a *attempts) {
	if a.queuedBytes > 0 {
		s.srv.waitQueue.leave(a.queuedBytes)
		s.srv.metrics.queueTime.Update(s.srv.cfg.Now().Sub(a.queuedAt))
	}
}

// decide chooses the instance for the next attempt and logs the decision.
func (s *session) decide(a *attempts) routing.Decision {
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

func (s *session) fillCandidates(a *attempts) {
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

func (a *attempts) exclude(instance string) {
	if a.failures < len(a.excluded) {
		a.excluded[a.failures] = instance
	}
	a.failures++
}

// try makes one attempt to run the request.
func (s *session) try(a *attempts) nextAction {
	d := s.decide(a)
	if d.Target == routing.None {
		return actionWait
	}
	target := &s.input.Candidates[d.Target]
	if d.Fallback {
		s.srv.metrics.fallbacks.Inc(1)
		defer s.srv.fallbacks.release(target.Instance)
	}
	c, err := s.acquire(a, target)
	if err != nil {
		return s.handleAcquireFailure(a, target, err)
	}
	s.setRunning(c, runKindOf(a))
	if action, ok := s.syncParameters(a, c); !ok {
		return action
	}
	s.countRead(a, target)
	return s.execute(a, c, target, s.guardFor(a, c, d))
}

// runKindOf returns the runKind of the request, which determines when the server
// may interrupt it.
func runKindOf(a *attempts) runKind {
	switch {
	case a.write:
		return runWrite
	case a.plan.repeatable():
		return runRead
	default:
		return runOther
	}
}

func (s *session) countRead(a *attempts, target *routing.Candidate) {
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

func (s *session) acquire(a *attempts, target *routing.Candidate) (*pool.Conn, error) {
	l := s.login.Load()
	return s.srv.pools.Acquire(pool.Request{
		Target:  pool.Target{Instance: target.Instance, Address: target.Address, Database: s.st.database},
		Account: l.account,
		Weight:  s.srv.cfg.Feed.Current().Accounts[l.account].Weight,
		Wait:    max(a.deadline.Sub(s.srv.cfg.Now()), 0),
		Cancel:  s.ending,
	})
}

// handleAcquireFailure handles a request for which no connection was available.
// It was not sent.
func (s *session) handleAcquireFailure(a *attempts, target *routing.Candidate, err error) nextAction {
	if s.sendTermination(outcomeNotRun) {
		return actionClose
	}
	if errors.Is(err, pool.ErrUnreachable) {
		s.srv.estimates.Of(target.Instance).Fail()
		if target.Primary {
			return actionWait
		}
		a.exclude(target.Instance)
		return actionRetry
	}
	if errors.Is(err, pool.ErrRetired) && s.srv.cfg.Now().Before(a.deadline) {
		return actionRetry
	}
	s.countRequest(a.plan, outcomeNotRun)
	if a.queuedBytes > 0 {
		return s.doneOrClose(s.refuse(noPrimaryInTime(), a.plan.synced))
	}
	return s.doneOrClose(s.refuse(&sqlError{"53300", "not run: " + strings.TrimSuffix(err.Error(), ": "+outcome.ErrNotRun.Error())}, a.plan.synced))
}

func (s *session) doneOrClose(sessionContinues bool) nextAction {
	if sessionContinues {
		return actionDone
	}
	return actionClose
}

// confirmTimeout bounds the check that an instance still is the primary. It is
// short, so that a request soon leaves an isolated primary after another
// instance was promoted.
const confirmTimeout = time.Second

// guardFor returns the check that must precede the request on a connection. A
// position that was already checked on the connection is not checked again.
func (s *session) guardFor(a *attempts, c *pool.Conn, d routing.Decision) guard {
	in := &s.input
	switch d.Check {
	case routing.CheckPrimary:
		return guard{kind: guardPrimary, wait: confirmTimeout}
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

// execute sends the request on a connection and processes the answer.
func (s *session) execute(a *attempts, c *pool.Conn, target *routing.Candidate, g guard) nextAction {
	p := a.plan
	if a.beginSQL != nil {
		if action, ok := s.reopenTransaction(a, c, target, g); !ok {
			return action
		}
		g = guard{}
	}
	s.x.reset(s.st, c, p, s.out)
	s.x.allowRetry = !p.runsReadOnlyBegin
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
		return s.handleConnectionFailure(a, c, target, sent)
	case s.x.guardSQLState != "":
		return s.handleGuardFailure(a, c, target)
	case s.x.refusedReadOnly:
		return s.handleReadOnlyRefusal(a, c, target)
	}
	if g.kind == guardPosition && c.GuardedPosition.Compare(g.position) < 0 {
		c.GuardedPosition = g.position
	}
	return s.doneOrClose(s.finishBatch(c, p))
}
