package frontend

import (
	"fmt"
	"strings"
	"time"

	"github.com/bramleylever/bramleylever/position"
)

// state is the protocol state of a session: the current batch, the transaction
// status, the settings and the prepared statements. It is deterministic and does
// no I/O.
type state struct {
	database string
	maxBatch int
	batch    batch
	lex      lexer

	statements     map[string]*statement
	statementBytes int
	portals        map[string]*statement
	unnamedPortal  *statement

	// status is the transaction status that the caller sees: 'I' (idle), 'T' (in
	// a transaction) or 'E' (in a failed transaction).
	status byte
	// backendRolledBack reports that the transaction was rolled back on the
	// backend connection, while the caller still has to end it.
	backendRolledBack bool
	// readOnly reports that the open transaction was declared read only.
	readOnly bool
	// unsynced reports extended-query messages that were sent without a Sync.
	unsynced bool
	// skipUntilSync reports that messages are ignored until the next Sync,
	// because of an error in the extended protocol.
	skipUntilSync bool

	// parameters are the tracked parameters with values other than the
	// defaults. The map is never modified but replaced as a whole.
	parameters map[string]string
	// savedParameters are the parameters from before the open transaction; a
	// rollback restores them.
	savedParameters map[string]string

	// vector is the position of the session in each database.
	vector    position.Vector
	sessionID string
	// maxStaleness is the greatest age of the data that reads accept; it is
	// not checked if maxStaleness is negative.
	maxStaleness time.Duration
	// idempotent reports that the caller declared its requests idempotent.
	idempotent bool
}

// newState returns the state of a session on a database. A negative maxStaleness
// means that the age of the data is not checked.
func newState(database string, maxStaleness time.Duration, maxBatch int) *state {
	return &state{database: database, maxBatch: maxBatch, status: 'I', maxStaleness: maxStaleness}
}

// backslashEscapes reports whether backslashes escape in ordinary string
// constants.
func (s *state) backslashEscapes() bool {
	v := s.parameters["standard_conforming_strings"]
	return v != "" && v != "on" && v != "true" && v != "1" && v != "yes"
}

// plan describes how a batch has to be run.
type plan struct {
	class Class
	// runs reports that the batch runs a statement, which needs admission.
	runs bool
	// onlyEndsTransaction reports that the batch runs only COMMIT or ROLLBACK.
	onlyEndsTransaction bool
	// remote reports that a backend connection is needed.
	remote bool
	// awaitReplication reports that the end of the batch commits writes. The wait
	// for replication is then sent together with the batch.
	awaitReplication bool
	// opensTransaction reports that the batch opens a transaction and leaves it open.
	opensTransaction bool
	// readOnly reports that this transaction is declared read only.
	readOnly bool
	// synced reports that the batch ends with Sync or Query.
	synced bool
	// endsByRollback reports that the last query of the batch is ROLLBACK, so that
	// the batch does not commit the transaction.
	endsByRollback bool
	// setsParameters reports that the batch sets tracked parameters.
	setsParameters bool
	// unknownCalls reports a call of a function that is not known to be
	// read-only.
	unknownCalls bool
	// runsReadOnlyBegin reports that the batch begins a read-only transaction. A
	// 25006 error in it is an error of the caller and is not retried.
	runsReadOnlyBegin bool
}

// repeatable reports whether the batch can run twice without further effects.
func (p *plan) repeatable() bool { return !p.runs || p.class != ClassWrite && !p.unknownCalls }

// plan fills p from the messages of the batch. A refusal fails the whole batch,
// which is not run then.
func (s *state) plan(p *plan) *sqlError {
	*p = plan{onlyEndsTransaction: true}
	for i := range s.batch.messages {
		if refused := p.add(&s.batch.messages[i]); refused != nil {
			return refused
		}
	}
	if !p.runs {
		p.onlyEndsTransaction = false
	}
	if s.unsynced && p.synced {
		p.remote = true
	}
	if s.backendRolledBack {
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

func (p *plan) add(m *batchMessage) *sqlError {
	switch m.kind {
	case 'S':
		p.synced = true
		return nil
	case 'H':
		return nil
	case 'C':
		p.remote = p.remote || !m.local()
		return nil
	case 'Q':
		p.synced = true
	}
	info := &m.info
	if m.kind == 'P' || m.kind == 'D' {
		info = &m.stmt.info
	}
	if info.class == ClassUnsupported {
		return &sqlError{"0A000", "not run: " + info.reason + " is not supported with transaction pooling"}
	}
	emptyQuery := m.kind == 'Q' && info.class == ClassEmpty
	p.remote = p.remote || !m.local() && !emptyQuery
	p.class = combineMessageClasses(p.class, info.class)
	if (m.kind == 'Q' || m.kind == 'E') && info.class != ClassEmpty {
		p.addRun(info)
	}
	return nil
}

// addRun adds the statements that a Query or an Execute runs.
func (p *plan) addRun(info *stmtInfo) {
	p.runs = p.runs || info.class != ClassLocal
	p.onlyEndsTransaction = p.onlyEndsTransaction && (info.class == ClassCommit || info.class == ClassRollback)
	p.endsByRollback = info.class == ClassRollback
	p.unknownCalls = p.unknownCalls || info.unknownCalls
	p.runsReadOnlyBegin = p.runsReadOnlyBegin || info.beginsReadOnly
	p.setsParameters = p.setsParameters || len(info.settings) > 0 && info.class != ClassLocal
	switch {
	case info.class == ClassBegin, info.class == ClassBeginReadOnly, info.leavesOpen:
		p.opensTransaction = true
		p.readOnly = info.class == ClassBeginReadOnly
	case info.transactionControl:
		p.opensTransaction = false
	}
}

// combineMessageClasses combines the classes of two messages of a batch.
func combineMessageClasses(a, b Class) Class {
	if a == ClassEmpty || a == ClassLocal {
		return max(a, b)
	}
	if b == ClassEmpty || b == ClassLocal {
		return a
	}
	return combineClasses(a, b)
}

// planWait decides whether the wait for replication is sent together with the
// batch. A commit that is not foreseen here is detected by the commit_position
// that the instance reports.
func (s *state) planWait(p *plan) {
	if !p.runs || !p.synced || p.opensTransaction {
		return
	}
	if s.status == 'I' {
		p.awaitReplication = p.class == ClassWrite
		return
	}
	p.awaitReplication = !s.readOnly && !s.backendRolledBack && (p.class == ClassCommit || p.class == ClassWrite && s.endsTransaction())
}

// endsTransaction reports whether the batch contains transaction control, which
// ends the open transaction.
func (s *state) endsTransaction() bool {
	for i := range s.batch.messages {
		m := &s.batch.messages[i]
		if (m.kind == 'Q' || m.kind == 'E') && m.info.transactionControl {
			return true
		}
	}
	return false
}

// applySetting changes one of the proxy's own settings. useDefault resets it.
func (s *state) applySetting(name, value string, useDefault bool) *sqlError {
	if useDefault {
		value = ""
	}
	switch strings.TrimPrefix(name, settingPrefix) {
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
	switch strings.TrimPrefix(name, settingPrefix) {
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

// setParameter records a tracked parameter that an instance has accepted.
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

// setStatus records the transaction status after a batch. Portals end with the
// transaction.
func (s *state) setStatus(p *plan, status byte) {
	if s.status == 'I' && status != 'I' {
		s.readOnly = p.readOnly
	}
	if status == 'I' {
		s.portals = nil
		s.unnamedPortal = nil
		s.readOnly = false
		s.backendRolledBack = false
	}
	s.status = status
}
