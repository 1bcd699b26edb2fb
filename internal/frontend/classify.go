package frontend

// Class is the routing class of a statement.
type Class uint8

// The classes of statements, in ascending order of their requirements.
const (
	// ClassEmpty is a query string without a statement.
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
	// ClassUnsupported is refused, because transaction pooling cannot isolate its
	// effects.
	ClassUnsupported
)

var classNames = [...]string{
	"empty", "local", "read", "set", "begin_read_only", "begin", "commit", "rollback", "write", "unsupported",
}

// String returns the name of the class in logs and metrics.
func (c Class) String() string { return classNames[c] }

// stmtInfo is the result of classifying a query string, which can contain
// several statements.
type stmtInfo struct {
	class Class
	// count is the number of statements in the string.
	count int
	// transactionControl reports a statement that begins or ends a transaction.
	transactionControl bool
	// unknownCalls reports a call of a function that is not known to be
	// read-only.
	unknownCalls bool
	// beginsReadOnly reports that the string begins a read-only transaction.
	beginsReadOnly bool
	// leavesOpen reports that the string leaves a transaction open if it runs
	// outside of one.
	leavesOpen bool
	// settings are the assignments to tracked parameters and to settings of the
	// proxy. For SHOW of a setting of the proxy, they only contain its name.
	settings []setting
	// local is the action of the proxy for ClassLocal.
	local localAction
	// reason names the unsupported feature for ClassUnsupported.
	reason string
}

// setting is an assignment by SET or RESET. useDefault stands for RESET and for
// SET to DEFAULT.
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

// classify classifies a query string; backslashEscapes reports whether
// backslashes escape in ordinary string constants. A write that is taken for a
// read does no harm, because a replica refuses it before any effect.
func classify(sql []byte, backslashEscapes bool) stmtInfo {
	return classifyWith(&lexer{}, sql, backslashEscapes)
}

// classifyWith is classify with a reusable lexer, which avoids an allocation for
// each statement.
func classifyWith(lex *lexer, sql []byte, backslashEscapes bool) stmtInfo {
	*lex = lexer{sql: sql, backslashEscapes: backslashEscapes}
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

// add adds the next statement of the string.
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
	s.transactionControl = s.transactionControl || o.transactionControl
	s.unknownCalls = s.unknownCalls || o.unknownCalls
	s.beginsReadOnly = s.beginsReadOnly || o.beginsReadOnly
	s.settings = append(s.settings, o.settings...)
	if o.local != localNone {
		s.local = o.local
	}
	s.class = combineClasses(s.class, o.class)
	if o.reason != "" {
		s.reason = o.reason
	}
}

// combineClasses returns the class of a string with statements of both classes.
// A read-only transaction together with its first reads may run on any
// instance; every other combination with transaction control needs the primary.
func combineClasses(a, b Class) Class {
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

// classifyOne classifies the statement up to the next semicolon outside of
// strings and comments. more reports whether a semicolon was found.
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
		p.nextToken()
	}
	if p.reason != "" {
		return stmtInfo{class: ClassUnsupported, reason: p.reason}, !p.atEnd
	}
	s.unknownCalls = p.unknownCalls
	if p.writes && (s.class == ClassRead || s.class == ClassBeginReadOnly) {
		s.class = ClassWrite
	}
	return s, !p.atEnd
}

// statementParser reads the tokens of one statement and records what affects its
// routing.
type statementParser struct {
	lex          *lexer
	done         bool
	atEnd        bool
	writes       bool
	unknownCalls bool
	reason       string
	// last is the current token, previous the one that precedes it.
	last     token
	previous token
}

// nextToken returns the next token of the statement, or the zero token at its
// end.
func (p *statementParser) nextToken() token {
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
	if t.symbol('(') && (p.previous.kind == tokenQuoted || p.previous.kind == tokenWord && !isReadOnlyWord(p.previous)) {
		p.unknownCalls = true
	}
	p.checkWord(t)
	return t
}

// checkWord looks for words that require the primary or are not supported.
func (p *statementParser) checkWord(t token) {
	if t.kind != tokenWord && t.kind != tokenQuoted {
		return
	}
	if t.kind == tokenQuoted {
		if len(t.text) > 2 {
			p.checkName(t.text[1 : len(t.text)-1])
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
		p.checkName(t.text)
	}
}

// readOnlyWords are keywords that can precede a parenthesis, and functions of
// PostgreSQL that only read. Any other function may write, so a statement that
// calls one is not retried after its answer was lost.
var readOnlyWords = map[string]struct{}{
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

// maxReadOnlyWordBytes is the length of the longest entry of readOnlyWords.
const maxReadOnlyWordBytes = 15

func isReadOnlyWord(t token) bool {
	if len(t.text) > maxReadOnlyWordBytes {
		return false
	}
	var lower [maxReadOnlyWordBytes]byte
	for i, c := range t.text {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		lower[i] = c
	}
	_, ok := readOnlyWords[string(lower[:len(t.text)])]
	return ok
}

func (p *statementParser) checkName(name []byte) {
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

// setConfig returns the reason for refusing a call of set_config. Only
// set_config(name, value, true) is accepted: its effect ends with the
// transaction.
func (p *statementParser) setConfig() string {
	depth := 0
	var last token
	for t := p.nextToken(); t.kind != tokenEnd; t = p.nextToken() {
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
