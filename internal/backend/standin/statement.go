package standin

import (
	"strconv"
	"strings"
)

// statementKind selects how a statement is executed.
type statementKind uint8

const (
	kindRead statementKind = iota
	// kindLock is SELECT with FOR UPDATE or another row lock. It acquires the
	// writer but changes no data.
	kindLock
	kindWrite
	kindSchema
	kindBegin
	kindCommit
	kindRollback
	kindSavepoint
	kindRelease
	kindRollbackTo
	kindSet
	kindSetTransaction
	kindShow
	kindReset
	kindDiscard
	kindDeallocate
	kindFunction // one of the functions in specialFunctions
	kindUnsupported
)

// statement is one parsed statement. It is immutable and shared by the
// sessions of an instance.
type statement struct {
	kind     statementKind
	text     string // as received from the client
	tag      string // command tag without the row count
	sql      string // translated for SQLite; empty if SQLite doesn't run it
	rows     bool   // returns rows
	params   int    // highest parameter number
	tokens   []token
	name     string  // parameter, savepoint, prepared statement or function
	value    string  // value of SET
	local    bool    // SET LOCAL
	readOnly bool    // transaction mode READ ONLY
	args     []token // arguments of a function
}

// parse classifies and translates one statement.
func parse(tokens []token) (*statement, error) {
	st := &statement{text: join(tokens), tokens: tokens}
	for _, t := range tokens {
		if t.kind != tokenParam {
			continue
		}
		n, err := strconv.Atoi(t.text[1:])
		if err != nil || n < 1 || n > maxParameters {
			return nil, syntaxError("there is no parameter " + t.text)
		}
		st.params = max(st.params, n)
	}
	if err := classify(st); err != nil {
		return nil, err
	}
	switch st.kind {
	case kindRead, kindLock, kindWrite, kindSchema:
		st.sql = translate(st)
	}
	return st, nil
}

// maxParameters is the limit of the protocol, which encodes the number of
// parameters in 16 bits.
const maxParameters = 65535

func classify(st *statement) error {
	first := st.tokens[0]
	switch {
	case first.is("("):
		st.kind, st.tag, st.rows = kindRead, "SELECT", true
	case first.isAny("SELECT", "VALUES", "TABLE", "WITH", "EXPLAIN"):
		classifyQuery(st)
	case first.isAny("INSERT", "UPDATE", "DELETE"):
		classifyChange(st, first.upper)
	case first.isAny("CREATE", "DROP", "ALTER", "TRUNCATE"):
		classifySchema(st)
	default:
		return classifyUtility(st)
	}
	return nil
}

func classifyQuery(st *statement) {
	if classifyFunction(st) {
		return
	}
	st.kind, st.tag, st.rows = kindRead, "SELECT", true
	depth := 0
	for i, t := range st.tokens {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case depth == 0 && st.tokens[0].is("WITH") && t.isAny("INSERT", "UPDATE", "DELETE"):
			classifyChange(st, t.upper)
			return
		case depth == 0 && t.is("FOR") && i+1 < len(st.tokens) &&
			st.tokens[i+1].isAny("UPDATE", "SHARE", "NO", "KEY"):
			st.kind = kindLock
			st.tokens = st.tokens[:i]
			return
		}
	}
}

func classifyChange(st *statement, verb string) {
	st.kind, st.tag = kindWrite, verb
	if verb == "INSERT" {
		st.tag = "INSERT 0"
	}
	for _, t := range st.tokens {
		if t.is("RETURNING") {
			st.rows = true
		}
	}
}

func classifySchema(st *statement) {
	st.kind = kindSchema
	st.tag = st.tokens[0].upper
	if st.tag == "TRUNCATE" {
		st.tag = "TRUNCATE TABLE"
		return
	}
	for _, t := range st.tokens[1:] {
		if t.isAny("TABLE", "INDEX", "VIEW", "SCHEMA", "SEQUENCE", "EXTENSION") {
			st.tag += " " + t.upper
			break
		}
		if t.isAny("TEMP", "TEMPORARY") {
			st.kind = kindUnsupported
		}
	}
	if strings.HasSuffix(st.tag, "SCHEMA") || strings.HasSuffix(st.tag, "SEQUENCE") || strings.HasSuffix(st.tag, "EXTENSION") {
		st.kind = kindUnsupported
	}
}

func classifyUtility(st *statement) error {
	tokens := st.tokens
	first := tokens[0]
	second := token{}
	if len(tokens) > 1 {
		second = tokens[1]
	}
	st.tag = first.upper
	if classifyTransaction(st, first, second) {
		return nil
	}
	switch {
	case first.is("SET"):
		return classifySet(st)
	case first.is("SHOW") && len(tokens) > 1:
		st.kind, st.rows, st.name = kindShow, true, parameterName(tokens[1:])
	case first.is("RESET") && len(tokens) > 1:
		st.kind, st.name = kindReset, parameterName(tokens[1:])
	case first.is("DISCARD") && len(tokens) == 2:
		st.kind, st.tag = kindDiscard, "DISCARD "+second.upper
	case first.is("DEALLOCATE") && len(tokens) > 1:
		st.kind, st.name = kindDeallocate, unquote(tokens[len(tokens)-1])
		if second.is("ALL") {
			st.name, st.tag = "", "DEALLOCATE ALL"
		}
	case first.isAny(unsupportedVerbs...):
		st.kind = kindUnsupported
	default:
		return syntaxError("syntax error at or near \"" + first.text + "\"")
	}
	return nil
}

// classifyTransaction recognizes the statements that begin or end transactions
// and those for savepoints. It returns false for others.
func classifyTransaction(st *statement, first, second token) bool {
	tokens := st.tokens
	switch {
	case first.is("BEGIN"), first.is("START") && second.is("TRANSACTION"):
		st.kind, st.tag = kindBegin, "BEGIN"
		if first.is("START") {
			st.tag = "START TRANSACTION"
		}
		st.readOnly = hasReadOnly(tokens)
	case first.isAny("COMMIT", "END"):
		st.kind, st.tag = kindCommit, "COMMIT"
	case first.is("ROLLBACK") && len(tokens) > 2 && containsWord(tokens, "TO"):
		st.kind, st.name = kindRollbackTo, unquote(tokens[len(tokens)-1])
	case first.isAny("ROLLBACK", "ABORT"):
		st.kind, st.tag = kindRollback, "ROLLBACK"
	case first.is("SAVEPOINT") && len(tokens) == 2:
		st.kind, st.name = kindSavepoint, unquote(second)
	case first.is("RELEASE") && len(tokens) > 1:
		st.kind, st.name = kindRelease, unquote(tokens[len(tokens)-1])
	default:
		return false
	}
	return true
}

var unsupportedVerbs = []string{
	"LISTEN", "NOTIFY", "UNLISTEN", "COPY", "PREPARE", "EXECUTE", "DECLARE", "FETCH", "MOVE", "CLOSE",
	"LOCK", "GRANT", "REVOKE", "VACUUM", "ANALYZE", "CALL", "DO", "MERGE", "CLUSTER", "CHECKPOINT", "LOAD",
	"REINDEX", "COMMENT", "SECURITY", "REFRESH", "IMPORT", "REASSIGN",
}

// classifySet parses SET [SESSION|LOCAL] name {TO|=} value, SET TIME ZONE
// value, and SET [SESSION CHARACTERISTICS AS] TRANSACTION modes.
func classifySet(st *statement) error {
	st.kind = kindSet
	rest := st.tokens[1:]
	if containsWord(rest, "TRANSACTION") {
		st.kind = kindSetTransaction
		st.local = !containsWord(rest, "CHARACTERISTICS")
		st.readOnly = hasReadOnly(rest)
		return nil
	}
	if len(rest) > 0 && rest[0].isAny("SESSION", "LOCAL") {
		st.local = rest[0].is("LOCAL")
		rest = rest[1:]
	}
	if len(rest) > 2 && rest[0].is("TIME") && rest[1].is("ZONE") {
		st.name, st.value = "timezone", unquote(rest[2])
		return nil
	}
	for i, t := range rest {
		if !t.isAny("TO", "=") || i == 0 || i+1 >= len(rest) {
			continue
		}
		st.name = parameterName(rest[:i])
		values := make([]string, 0, 1)
		for _, v := range rest[i+1:] {
			values = append(values, unquote(v))
		}
		st.value = strings.ReplaceAll(strings.Join(values, " "), " , ", ", ")
		return nil
	}
	return syntaxError("syntax error in SET")
}

func parameterName(tokens []token) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(strings.ToLower(unquote(t)))
	}
	return b.String()
}

func hasReadOnly(tokens []token) bool {
	for i := 1; i < len(tokens); i++ {
		if tokens[i-1].is("READ") && tokens[i].is("ONLY") {
			return true
		}
	}
	return false
}

func containsWord(tokens []token, word string) bool {
	for _, t := range tokens {
		if t.is(word) {
			return true
		}
	}
	return false
}

// classifyFunction recognizes SELECT function(arguments) [AS name] for the
// functions in specialFunctions, which the session executes without SQLite.
func classifyFunction(st *statement) bool {
	tokens := st.tokens
	if len(tokens) < 4 || !tokens[0].is("SELECT") || tokens[1].kind != tokenWord || !tokens[2].is("(") {
		return false
	}
	name := strings.ToLower(tokens[1].text)
	if _, ok := specialFunctions[name]; !ok {
		return false
	}
	i := 3
	for i < len(tokens) && !tokens[i].is(")") {
		if t := tokens[i]; t.is("-") && i+1 < len(tokens) && tokens[i+1].kind == tokenNumber {
			i++
			st.args = append(st.args, token{kind: tokenNumber, text: "-" + tokens[i].text})
		} else if !t.is(",") {
			st.args = append(st.args, t)
		}
		i++
	}
	st.kind, st.name, st.tag, st.rows = kindFunction, name, "SELECT", true
	return true
}
