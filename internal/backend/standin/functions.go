package standin

import (
	"context"
	"database/sql/driver"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

// specialFunction is a function that the session runs itself rather than SQLite, when
// it is the only item of a SELECT.
type specialFunction struct {
	run     func(s *session, args []driver.Value) (driver.Value, error)
	types   []uint32 // argument types; the last one repeats
	result  uint32
	control bool // allowed only on control connections
}

var specialFunctions map[string]specialFunction

func init() {
	text, integer := uint32(pgtype.TextOID), uint32(pgtype.Int8OID)
	control := func(run func(*session, []driver.Value) (driver.Value, error), types ...uint32) specialFunction {
		return specialFunction{run: run, types: append(types, text), result: pgtype.JSONOID, control: true}
	}
	specialFunctions = map[string]specialFunction{
		"cluster_status":          control(clusterStatus),
		"cluster_raise_term":      control(clusterRaiseTerm, text),
		"cluster_promote":         control(clusterPromote, text),
		"cluster_follow":          control(clusterFollow, text, text),
		"cluster_quiesce":         control(clusterQuiesce, integer),
		"cluster_read_guard":      {run: clusterReadGuard, types: []uint32{text, integer, integer}, result: pgtype.JSONOID},
		"cluster_wait_replicated": {run: clusterWaitReplicated, types: []uint32{text, integer}, result: pgtype.JSONOID},
		"cluster_confirm_primary": {run: clusterConfirmPrimary, types: []uint32{integer}, result: pgtype.JSONOID},
		"pg_sleep":                {run: pgSleep, types: []uint32{pgtype.Float8OID}, result: text},
		"pg_backend_pid":          {run: pgBackendPID, types: []uint32{text}, result: pgtype.Int4OID},
		"current_setting":         {run: currentSetting, types: []uint32{text}, result: text},
		"set_config":              {run: setConfig, types: []uint32{text, text, pgtype.BoolOID}, result: text},
	}
}

func (s *session) runFunction(p *portal) error {
	st := p.prepared.st
	f := specialFunctions[st.name]
	if f.control && s.class != classControl {
		return failf("42501", "permission denied for function %s", st.name)
	}
	args := make([]driver.Value, len(st.args))
	for i, t := range st.args {
		if t.kind != tokenParam {
			args[i] = unquote(t)
			continue
		}
		n, _ := strconv.Atoi(t.text[1:])
		args[i] = p.args[n-1].Value
	}
	v, err := f.run(s, args)
	if err != nil {
		return err
	}
	p.setText("")
	p.rows[0][0] = v
	return nil
}

func checkArgumentCount(args []driver.Value, want int) error {
	if len(args) == want {
		return nil
	}
	return failf("42883", "function takes %d arguments, got %d", want, len(args))
}

func textArgument(v driver.Value) string {
	switch x := v.(type) {
	case string:
		return x
	case int64:
		return strconv.FormatInt(x, 10)
	}
	return ""
}

// millisecondsArgument parses a number of milliseconds.
func millisecondsArgument(v driver.Value) (time.Duration, error) {
	n, err := strconv.ParseInt(textArgument(v), 10, 32)
	if err != nil {
		return 0, failf(stateInvalidParameter, "%q is not a number of milliseconds", textArgument(v))
	}
	return time.Duration(n) * time.Millisecond, nil
}

func termArgument(v driver.Value) (position.Term, error) {
	t, err := position.ParseTerm(textArgument(v))
	if err != nil {
		return t, failf(stateInvalidParameter, "%s", err)
	}
	return t, nil
}

// jsonResult encodes the JSON result of a function.
func jsonResult(v any, err error) (driver.Value, error) {
	if err != nil {
		return nil, err
	}
	out, err := json.Marshal(v)
	return string(out), err
}

// withTimeout runs wait with a time limit. Reaching the limit is reported as SQLSTATE
// 55P03.
func (s *session) withTimeout(limit time.Duration, what string, wait func(ctx context.Context) error) error {
	outer, done := s.statementContext()
	defer done()
	ctx, cancel := context.WithTimeout(outer, max(0, limit))
	defer cancel()
	err := wait(ctx)
	if errors.Is(err, context.DeadlineExceeded) && outer.Err() == nil {
		return failf(backend.SQLStateLockNotAvailable, "%s: not reached within %s", what, limit)
	}
	return err
}

func clusterStatus(s *session, _ []driver.Value) (driver.Value, error) {
	return jsonResult(s.inst.Status(), nil)
}

func clusterRaiseTerm(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 1); err != nil {
		return nil, err
	}
	t, err := termArgument(args[0])
	if err != nil {
		return nil, err
	}
	return jsonResult(s.inst.RaiseTerm(t))
}

func clusterPromote(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 1); err != nil {
		return nil, err
	}
	t, err := termArgument(args[0])
	if err != nil {
		return nil, err
	}
	return jsonResult(s.inst.Promote(t))
}

func clusterFollow(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 2); err != nil {
		return nil, err
	}
	t, err := termArgument(args[0])
	if err != nil {
		return nil, err
	}
	return jsonResult(s.inst.Follow(s.ctx, t, textArgument(args[1])))
}

func clusterQuiesce(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 1); err != nil {
		return nil, err
	}
	limit, err := millisecondsArgument(args[0])
	if err != nil {
		return nil, err
	}
	err = s.withTimeout(limit, "quiesce", func(ctx context.Context) error { return s.inst.quiesce(ctx, limit) })
	return jsonResult(s.inst.Status(), err)
}

// readGuardResult is the result of cluster_read_guard. AgeMS is -1 if the age is
// unknown.
type readGuardResult struct {
	Applied position.Position `json:"applied"`
	AgeMS   int64             `json:"age_ms"`
}

func clusterReadGuard(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 3); err != nil {
		return nil, err
	}
	wanted, err := position.Parse(textArgument(args[0]))
	if err != nil {
		return nil, failf(stateInvalidParameter, "%s", err)
	}
	limit, err := millisecondsArgument(args[1])
	if err != nil {
		return nil, err
	}
	maxAge, err := millisecondsArgument(args[2])
	if err != nil {
		return nil, err
	}
	var out readGuardResult
	err = s.withTimeout(limit, "read guard", func(ctx context.Context) error {
		out, err = s.inst.guard(ctx, wanted, maxAge)
		return err
	})
	return jsonResult(out, err)
}

func clusterWaitReplicated(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 2); err != nil {
		return nil, err
	}
	wanted := s.lastCommit
	if text := textArgument(args[0]); text != "last" {
		parsed, err := position.Parse(text)
		if err != nil {
			return nil, failf(stateInvalidParameter, "%s", err)
		}
		wanted = parsed
	}
	limit, err := millisecondsArgument(args[1])
	if err != nil {
		return nil, err
	}
	err = s.withTimeout(limit, "replication of "+wanted.String(), func(ctx context.Context) error {
		return s.inst.waitReplicated(ctx, wanted)
	})
	return jsonResult(map[string]position.Position{"position": wanted}, err)
}

func clusterConfirmPrimary(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 1); err != nil {
		return nil, err
	}
	limit, err := millisecondsArgument(args[0])
	if err != nil {
		return nil, err
	}
	var term position.Term
	err = s.withTimeout(limit, "confirm primary", func(ctx context.Context) error {
		term, err = s.inst.confirmPrimary(ctx)
		return err
	})
	return jsonResult(map[string]position.Term{"term": term}, err)
}

// maxSleepSeconds keeps the conversion to a time.Duration in range.
const maxSleepSeconds = 86_400

func pgSleep(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 1); err != nil {
		return nil, err
	}
	seconds, ok := args[0].(float64)
	if !ok {
		parsed, err := strconv.ParseFloat(textArgument(args[0]), 64)
		if err != nil {
			return nil, failf(stateInvalidText, "invalid input for type double precision: %q", textArgument(args[0]))
		}
		seconds = parsed
	}
	ctx, done := s.statementContext()
	defer done()
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return "", s.sleep(ctx, time.Duration(min(seconds, maxSleepSeconds)*float64(time.Second)))
}

func pgBackendPID(s *session, _ []driver.Value) (driver.Value, error) { return int64(s.pid), nil }

func currentSetting(s *session, args []driver.Value) (driver.Value, error) {
	if len(args) == 0 {
		return nil, checkArgumentCount(args, 1)
	}
	name := strings.ToLower(textArgument(args[0]))
	value, ok := s.lookupParameter(name)
	if !ok && len(args) < 2 {
		return nil, failf(stateUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return value, nil
}

func setConfig(s *session, args []driver.Value) (driver.Value, error) {
	if err := checkArgumentCount(args, 3); err != nil {
		return nil, err
	}
	value := textArgument(args[1])
	local := args[2] == int64(1) || strings.HasPrefix(strings.ToLower(textArgument(args[2])), "t")
	return value, s.setParameter(strings.ToLower(textArgument(args[0])), value, local)
}
