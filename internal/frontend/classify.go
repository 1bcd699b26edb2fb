package frontend

// Class says how a statement is routed.
type Class uint8

// The classes of statements, in ascending order of what they need.
const (
	// ClassEmpty is a string without a statement.
	ClassEmpty Class = iota
	// ClassLocal is answered by the proxy itself.
	ClassLocal
	// ClassRead may run on any instance.
	ClassRead
	// ClassSet sets a tracked parameter; any instance can check the value.
	ClassSet
	// ClassBeginReadOnly opens a read-only transaction.
	ClassBeginReadOnly
	// ClassBegin opens a transaction on the primary.
	ClassBegin
	// ClassCommit ends a transaction and may make writes durable.
	ClassCommit
	// ClassRollback ends a transaction without effect.
	ClassRollback
	// ClassWrite runs on the primary.
	ClassWrite
	// ClassUnsupported cannot be isolated under transaction pooling.
	ClassUnsupported
)

var classNames = [...]string{
	"empty", "local", "read", "set", "begin_read_only", "begin", "commit", "rollback", "write", "unsupported",
}

// String returns the name used in logs and metrics.
func (c Class) String() string { return classNames[c] }

// stmtInfo is what the proxy needs to know about a query string.
type stmtInfo struct {
	class Class
	// count is the number of statements in the string.
	count int
	// control reports transaction control in the string.
	control bool
	// calls reports a call of a function that is not known to only read.
	calls bool
	// readOnly reports that the string begins a read-only transaction.
	readOnly bool
	// leavesOpen reports that the string leaves a transaction open if it
	// began outside one.
	leavesOpen bool
	// settings are assignments to tracked or own parameters.
	settings []setting
	// local is what the proxy does for ClassLocal.
	local localAction
	// reason names the feature for ClassUnsupported.
	reason string
}

// setting is SET name = value; without a value, the default is meant.
type setting struct {
	name       string
	value      string
	useDefault bool
}

type localAction uint8

const (
	localNone localAction = iota
	localSet
	localShow
	localDiscardAll
	localResetAll
	localDeallocateAll
	localUnlisten
)

// classify reads a query string. A wrong result is safe for routing, because a
// replica refuses writes before any effect.
func classify(sql []byte, backslash bool) stmtInfo {
	return classifyWith(&lexer{}, sql, backslash)
}

// classifyWith is classify with a lexer that is kept between statements, so
// that a statement needs no allocation.
func classifyWith(lex *lexer, sql []byte, backslash bool) stmtInfo {
	*lex = lexer{sql: sql, backslash: backslash}
	var total stmtInfo
	for {
		s, more := classifyOne(lex)
		total.add(s)
		if !more {
			break
		}
	}
	if total.count > 1 && total.local != localNone && total.class != ClassUnsupported {
		total.class = ClassUnsupported
		total.reason = "a statement that the proxy answers must be sent alone"
	}
	return total
}

// add combines the statements of one string.
func (s *stmtInfo) add(o stmtInfo) {
	if o.class == ClassEmpty {
		return
	}
	s.count++
	if s.count == 1 {
		*s = o
		s.count = 1
		s.leavesOpen = o.class == ClassBegin || o.class == ClassBeginReadOnly
		return
	}
	switch o.class {
	case ClassBegin, ClassBeginReadOnly:
		s.leavesOpen = true
	case ClassCommit, ClassRollback:
		s.leavesOpen = false
	}
	s.control = s.control || o.control
	s.calls = s.calls || o.calls
	s.readOnly = s.readOnly || o.readOnly
	s.settings = append(s.settings, o.settings...)
	if o.local != localNone {
		s.local = o.local
	}
	s.class = combine(s.class, o.class)
	if o.reason != "" {
		s.reason = o.reason
	}
}

// combine returns the class of a string with statements of both classes. A
// read-only transaction that is opened together with its statements stays on
// any instance; every other mix with transaction control needs the primary.
func combine(a, b Class) Class {
	switch {
	case a == b:
		return a
	case a == ClassUnsupported || b == ClassUnsupported:
		return ClassUnsupported
	case a == ClassBeginReadOnly && b <= ClassSet:
		return a
	case a == ClassBegin && b != ClassWrite && b != ClassCommit && b != ClassRollback:
		return a
	case max(a, b) <= ClassSet:
		return max(a, b)
	default:
		return ClassWrite
	}
}

// classifyOne reads up to the next semicolon outside of parentheses and
// strings.
func classifyOne(lex *lexer) (s stmtInfo, more bool) {
	first := lex.next()
	for first.symbol('(') {
		first = lex.next()
	}
	if first.kind == tokenEnd {
		return stmtInfo{}, false
	}
	if first.symbol(';') {
		return stmtInfo{}, true
	}
	p := statementParser{lex: lex}
	s = p.statement(first)
	for !p.done {
		p.take()
	}
	if p.reason != "" {
		return stmtInfo{class: ClassUnsupported, reason: p.reason}, !p.atEnd
	}
	s.calls = p.calls
	if p.writes && (s.class == ClassRead || s.class == ClassBeginReadOnly) {
		s.class = ClassWrite
	}
	return s, !p.atEnd
}

// statementParser reads the tokens of one statement and notes words that
// change how it is routed.
type statementParser struct {
	lex    *lexer
	done   bool
	atEnd  bool
	writes bool
	calls  bool
	reason string
	last   token
	// previous is the token before last.
	previous token
}

// take returns the next token of the statement, or the zero token at its end.
func (p *statementParser) take() token {
	if p.done {
		return token{}
	}
	t := p.lex.next()
	if t.kind == tokenEnd || t.symbol(';') {
		p.done = true
		p.atEnd = t.kind == tokenEnd
		return token{}
	}
	p.previous, p.last = p.last, t
	if t.symbol('(') && (p.previous.kind == tokenQuoted || p.previous.kind == tokenWord && !harmless(p.previous)) {
		p.calls = true
	}
	p.note(t)
	return t
}

// note looks for words that need the primary or cannot be isolated.
func (p *statementParser) note(t token) {
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return
	}
	if t.kind == tokenQuoted {
		if len(t.text) > 2 {
			p.noteFunction(t.text[1 : len(t.text)-1])
		}
		return
	}
	switch {
	case t.is("insert"), t.is("update"), t.is("delete"), t.is("merge"), t.is("into"),
		t.is("nextval"), t.is("setval"):
		p.writes = true
	case t.is("share"):
		p.writes = p.writes || p.previous.is("for") || p.previous.is("key")
	default:
		p.noteFunction(t.text)
	}
}

// harmlessWords are keywords that can precede a parenthesis, and functions of
// PostgreSQL that only read. A call of any other function may write, so such a
// statement is not repeated after a lost answer.
var harmlessWords = map[string]struct{}{
	"all": {}, "and": {}, "any": {}, "array": {}, "as": {}, "by": {}, "case": {}, "distinct": {},
	"else": {}, "except": {}, "exists": {}, "filter": {}, "from": {}, "group": {}, "having": {},
	"in": {}, "intersect": {}, "join": {}, "lateral": {}, "limit": {}, "not": {}, "offset": {},
	"on": {}, "or": {}, "order": {}, "over": {}, "partition": {}, "row": {}, "select": {},
	"some": {}, "then": {}, "union": {}, "using": {}, "values": {}, "when": {}, "where": {},
	"with": {}, "within": {}, "materialized": {}, "recursive": {}, "explain": {}, "table": {},
	"abs": {}, "age": {}, "array_agg": {}, "avg": {}, "bool_and": {}, "bool_or": {}, "cast": {},
	"ceil": {}, "char_length": {}, "coalesce": {}, "concat": {}, "count": {}, "current_setting": {},
	"date_part": {}, "date_trunc": {}, "dense_rank": {}, "extract": {}, "first_value": {},
	"floor": {}, "greatest": {}, "json_agg": {}, "jsonb_agg": {}, "lag": {}, "last_value": {},
	"lead": {}, "least": {}, "left": {}, "length": {}, "lower": {}, "max": {}, "min": {}, "mod": {},
	"now": {}, "nullif": {}, "position": {}, "rank": {}, "replace": {}, "right": {}, "round": {},
	"row_number": {}, "string_agg": {}, "substr": {}, "substring": {}, "sum": {}, "to_char": {},
	"trim": {}, "unnest": {}, "upper": {}, "version": {},
}

// longestHarmless is the length of the longest harmless word.
const longestHarmless = 15

func harmless(t token) bool {
	if len(t.text) > longestHarmless {
		return false
	}
	var lower [longestHarmless]byte
	for i, c := range t.text {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	_, ok := harmlessWords[string(lower[:len(t.text)])]
	return ok
}

func (p *statementParser) noteFunction(name []byte) {
	switch {
	case len(name) < 7:
	case equalFold(name, "pg_advisory_lock"), equalFold(name, "pg_advisory_lock_shared"),
		equalFold(name, "pg_try_advisory_lock"), equalFold(name, "pg_try_advisory_lock_shared"),
		equalFold(name, "pg_advisory_unlock"), equalFold(name, "pg_advisory_unlock_shared"),
		equalFold(name, "pg_advisory_unlock_all"):
		p.reason = "session advisory locks"
	case equalFold(name, "pg_temp"):
		p.reason = "temporary objects"
	case equalFold(name, "set_config"):
		p.reason = p.setConfig()
	case equalFold(name, "pg_advisory_xact_lock"), equalFold(name, "pg_notify"):
		p.writes = true
	}
}

// setConfig accepts set_config(name, value, true), which ends with the
// transaction.
func (p *statementParser) setConfig() string {
	depth := 0
	var last token
	for t := p.take(); t.kind != tokenEnd; t = p.take() {
		switch {
		case t.symbol('('):
			depth++
		case t.symbol(')'):
			depth--
			if depth == 0 {
				if last.is("true") {
					return p.reason
				}
				return "set_config for the session"
			}
		}
		last = t
	}
	return p.reason
}
