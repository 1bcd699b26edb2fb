package frontend

import (
	"fmt"
	"strings"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// state is the deterministic core of a session: it decodes requests, knows the
// transaction state, the settings and the prepared statements, and does no
// I/O.
type state struct {
	database string
	maxBatch int
	batch    batch
	lex      lexer

	statements     map[string]*statement
	statementBytes int
	portals        map[string]*statement
	unnamedPortal  *statement

	// status is the transaction status that the caller sees: 'I', 'T' or 'E'.
	status byte
	// lost reports that the transaction was already rolled back on the backend
	// connection, while the caller still has to end it.
	lost bool
	// readOnly reports that the open transaction was declared read only.
	readOnly bool
	// unsynced reports extended-query messages that were sent without a Sync.
	unsynced bool
	// skipping reports an error in the extended protocol: messages are ignored
	// until the next Sync.
	skipping bool

	// parameters are the tracked parameters with values other than the
	// defaults. The map is replaced, never changed.
	parameters map[string]string
	// restore holds the parameters from before the open transaction.
	restore map[string]string

	vector       position.Vector
	sessionID    string
	maxStaleness time.Duration
	idempotent   bool
}

// newState returns the state of a session on a database. A negative maximal
// staleness means that reads state no age.
func newState(database string, maxStaleness time.Duration, maxBatch int) *state {
	return &state{database: database, maxBatch: maxBatch, status: 'I', maxStaleness: maxStaleness}
}

// backslash reports whether backslashes escape in ordinary constants.
func (s *state) backslash() bool {
	v := s.parameters["standard_conforming_strings"]
	return v != "" && v != "on" && v != "true" && v != "1" && v != "yes"
}

// plan says what a batch needs.
type plan struct {
	class Class
	// runs reports that a statement would run, which needs admission.
	runs bool
	// onlyEnds reports that only COMMIT or ROLLBACK would run.
	onlyEnds bool
	// remote reports that a backend connection is needed.
	remote bool
	// wait reports that the end of the batch commits writes, so that
	// replication is awaited in the same packet.
	wait bool
	// opens reports that the batch leaves a transaction open.
	opens bool
	// readOnly reports that the opened transaction is declared read only.
	readOnly bool
	// synced reports that the batch ends with Sync or Query.
	synced bool
	// rollback reports that the batch ends the transaction by ROLLBACK only.
	rollback bool
	// settings reports that tracked parameters are set.
	settings bool
	// calls reports a function whose effects are not known.
	calls bool
	// readOnlyBlock reports that a read-only transaction is begun, in which
	// 25006 is the caller's own doing.
	readOnlyBlock bool
}

// repeatable reports that running the batch twice has no further effect.
func (p *plan) repeatable() bool { return !p.runs || p.class != ClassWrite && !p.calls }

// plan combines the messages of the batch. The refusal fails the whole batch,
// so that it is not run.
func (s *state) plan(p *plan) *sqlError {
	*p = plan{onlyEnds: true}
	for i := range s.batch.ops {
		if refused := p.add(&s.batch.ops[i]); refused != nil {
			return refused
		}
	}
	if !p.runs {
		p.onlyEnds = false
	}
	if s.unsynced && p.synced {
		p.remote = true
	}
	if s.lost {
		switch p.class {
		case ClassEmpty, ClassLocal, ClassCommit, ClassRollback:
			p.remote = false
		default:
			return &sqlError{"25P02", "not run: current transaction is aborted, commands are ignored until end of transaction block"}
		}
	}
	s.planWait(p)
	return nil
}

func (p *plan) add(o *op) *sqlError {
	switch o.kind {
	case 'S':
		p.synced = true
		return nil
	case 'H':
		return nil
	case 'C':
		p.remote = p.remote || !o.local()
		return nil
	case 'Q':
		p.synced = true
	}
	info := &o.info
	if o.kind == 'P' || o.kind == 'D' {
		info = &o.stmt.info
	}
	if info.class == ClassUnsupported {
		return &sqlError{"0A000", "not run: " + info.reason + " is not supported with transaction pooling"}
	}
	emptyQuery := o.kind == 'Q' && info.class == ClassEmpty
	p.remote = p.remote || !o.local() && !emptyQuery
	p.class = combinePlan(p.class, info.class)
	if (o.kind == 'Q' || o.kind == 'E') && info.class != ClassEmpty {
		p.addRun(info)
	}
	return nil
}

// addRun adds statements that the batch would run.
func (p *plan) addRun(info *stmtInfo) {
	p.runs = p.runs || info.class != ClassLocal
	p.onlyEnds = p.onlyEnds && (info.class == ClassCommit || info.class == ClassRollback)
	p.rollback = info.class == ClassRollback
	p.calls = p.calls || info.calls
	p.readOnlyBlock = p.readOnlyBlock || info.readOnly
	p.settings = p.settings || len(info.settings) > 0 && info.class != ClassLocal
	switch {
	case info.class == ClassBegin, info.class == ClassBeginReadOnly, info.leavesOpen:
		p.opens = true
		p.readOnly = info.class == ClassBeginReadOnly
	case info.control:
		p.opens = false
	}
}

// combinePlan combines the classes of several messages.
func combinePlan(a, b Class) Class {
	if a == ClassEmpty || a == ClassLocal {
		return max(a, b)
	}
	if b == ClassEmpty || b == ClassLocal {
		return a
	}
	return combine(a, b)
}

// planWait decides whether replication is awaited behind the batch. A commit
// that is not foreseen here is noticed by commit_position.
func (s *state) planWait(p *plan) {
	if !p.runs || !p.synced || p.opens {
		return
	}
	if s.status == 'I' {
		p.wait = p.class == ClassWrite
		return
	}
	p.wait = !s.readOnly && !s.lost && (p.class == ClassCommit || p.class == ClassWrite && s.endsHere())
}

// endsHere reports whether the batch contains the end of the transaction.
func (s *state) endsHere() bool {
	for i := range s.batch.ops {
		o := &s.batch.ops[i]
		if (o.kind == 'Q' || o.kind == 'E') && o.info.control {
			return true
		}
	}
	return false
}

// applySetting changes one of the proxy's own settings.
func (s *state) applySetting(name, value string, useDefault bool) *sqlError {
	if useDefault {
		value = ""
	}
	switch strings.TrimPrefix(name, ownPrefix) {
	case "session_position":
		v, err := position.ParseVector(value)
		if err != nil {
			return &sqlError{"22023", "not run: " + err.Error()}
		}
		for database, p := range v {
			s.advance(database, p)
		}
	case "session_id":
		s.sessionID = value
	case "max_staleness":
		return s.setStaleness(value)
	case "idempotent":
		on, ok := map[string]bool{"on": true, "true": true, "1": true, "off": false, "false": false, "0": false, "": false}[strings.ToLower(value)]
		if !ok {
			return &sqlError{"22023", fmt.Sprintf("not run: %s: %q is neither on nor off", name, value)}
		}
		s.idempotent = on
	default:
		return &sqlError{"42704", fmt.Sprintf("not run: unrecognized configuration parameter %q", name)}
	}
	return nil
}

func (s *state) setStaleness(value string) *sqlError {
	if value == "" {
		s.maxStaleness = -1
		return nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return &sqlError{"22023", fmt.Sprintf("not run: bramleylever.max_staleness: %q is not a duration such as 500ms", value)}
	}
	s.maxStaleness = d
	return nil
}

func (s *state) advance(database string, p position.Position) {
	if s.vector == nil {
		s.vector = position.Vector{}
	}
	s.vector.Advance(database, p)
}

// show returns the value of one of the proxy's own settings.
func (s *state) show(name string) string {
	switch strings.TrimPrefix(name, ownPrefix) {
	case "session_position":
		return s.vector.String()
	case "session_id":
		return s.sessionID
	case "max_staleness":
		if s.maxStaleness >= 0 {
			return s.maxStaleness.String()
		}
	case "idempotent":
		if s.idempotent {
			return "on"
		}
		return "off"
	}
	return ""
}

// setParameter records a tracked parameter after the instance accepted it.
func (s *state) setParameter(p setting) {
	next := make(map[string]string, len(s.parameters)+1)
	for name, value := range s.parameters {
		next[name] = value
	}
	if p.useDefault {
		delete(next, p.name)
	} else {
		next[p.name] = p.value
	}
	s.parameters = next
}

// finish records the transaction status of a completed batch.
func (s *state) finish(p *plan, status byte) {
	if s.status == 'I' && status != 'I' {
		s.readOnly = p.readOnly
	}
	if status == 'I' {
		s.portals = nil
		s.unnamedPortal = nil
		s.readOnly = false
		s.lost = false
	}
	s.status = status
}
