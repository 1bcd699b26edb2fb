package standin

import (
	"database/sql/driver"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// inference finds the types of parameters and result columns from the text of
// a statement, since SQLite has no types for expressions.
type inference struct {
	st      *statement
	columns map[string]uint32 // columns of the tables that the statement names
}

func newInference(db *database, st *statement) inference {
	in := inference{st: st, columns: map[string]uint32{}}
	for _, t := range st.tokens {
		if t.kind != tokenWord && t.kind != tokenQuoted {
			continue
		}
		for _, c := range db.table(unquote(t)) {
			in.columns[strings.ToLower(c.name)] = declaredOID(c.declared)
		}
	}
	return in
}

// parameterTypes returns the types of $1 to $n, 0 where the text does not
// determine one. Types that the client declared take precedence.
func parameterTypes(db *database, st *statement, declared []uint32) []uint32 {
	out := make([]uint32, max(st.params, len(declared)))
	copy(out, declared)
	if st.params == 0 {
		return out
	}
	if st.kind == kindFunction {
		for i, t := range st.args {
			setParameter(out, t, specialFunctions[st.name].types[min(i, len(specialFunctions[st.name].types)-1)])
		}
		return out
	}
	in := newInference(db, st)
	in.insertTypes(db, out)
	for i, t := range st.tokens {
		if t.kind == tokenParam {
			setParameter(out, t, in.parameterAt(i))
		}
	}
	return out
}

func setParameter(out []uint32, t token, oid uint32) {
	if t.kind != tokenParam {
		return
	}
	n, _ := strconv.Atoi(t.text[1:])
	if out[n-1] == oidUnspecified {
		out[n-1] = oid
	}
}

// insertTypes assigns the column types of INSERT INTO table (columns) VALUES.
func (in inference) insertTypes(db *database, out []uint32) {
	tokens := in.st.tokens
	if !sequence(tokens, "INSERT", "INTO", "") {
		return
	}
	names, i := insertColumns(db, tokens)
	depth, index := 0, 0
	for ; i < len(tokens); i++ {
		switch t := tokens[i]; {
		case t.is("("):
			depth++
			if depth == 1 {
				index = 0
			}
		case t.is(")"):
			depth--
		case t.is(",") && depth == 1:
			index++
		case t.isAny("SELECT", "ON", "RETURNING") && depth == 0:
			return
		case depth == 1 && index < len(names) && isWholeItem(tokens, i):
			setParameter(out, t, in.columns[strings.ToLower(names[index])])
		}
	}
}

// insertColumns returns the columns that an INSERT fills and the index of the
// token after them.
func insertColumns(db *database, tokens []token) (names []string, i int) {
	i = 3
	table := unquote(tokens[2])
	for i+1 < len(tokens) && tokens[i].is(".") {
		table = unquote(tokens[i+1])
		i += 2
	}
	if i >= len(tokens) || !tokens[i].is("(") {
		for _, c := range db.table(table) {
			names = append(names, c.name)
		}
		return names, i
	}
	for i++; i < len(tokens) && !tokens[i].is(")"); i++ {
		if !tokens[i].is(",") {
			names = append(names, unquote(tokens[i]))
		}
	}
	return names, i + 1
}

// isWholeItem reports whether the token at i is a list item on its own.
func isWholeItem(tokens []token, i int) bool {
	return i > 0 && i+1 < len(tokens) && tokens[i-1].isAny("(", ",") && tokens[i+1].isAny(")", ",")
}

var comparisons = []string{"=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "*", "/"}

// parameterAt derives a parameter's type from the tokens around it.
func (in inference) parameterAt(i int) uint32 {
	tokens := in.st.tokens
	at := func(k int) token {
		if k < 0 || k >= len(tokens) {
			return token{kind: tokenOperator}
		}
		return tokens[k]
	}
	switch {
	case at(i + 1).is("::"):
		name, _ := typeName(tokens[i+2:])
		return declaredTypes[name]
	case at(i+1).is("AS") && at(i-1).is("(") && at(i-2).is("CAST"):
		name, _ := typeName(tokens[i+2:])
		return declaredTypes[name]
	case at(i-1).isAny("LIMIT", "OFFSET"):
		return pgtype.Int8OID
	case at(i-1).isAny("LIKE", "ILIKE", "||"), at(i + 1).is("||"):
		return pgtype.TextOID
	case at(i - 1).isAny(comparisons...):
		return in.valueType(at(i - 2))
	case at(i + 1).isAny(comparisons...):
		return in.valueType(at(i + 2))
	case at(i - 1).is("BETWEEN"):
		return in.valueType(at(i - 2))
	case at(i-1).is("AND") && at(i-3).is("BETWEEN"):
		return in.valueType(at(i - 4))
	}
	return in.listType(i)
}

// listType returns the type of the column before IN (list).
func (in inference) listType(i int) uint32 {
	tokens := in.st.tokens
	for ; i > 1 && !tokens[i].is("("); i-- {
		if tokens[i].is(")") {
			return oidUnspecified
		}
	}
	if i < 2 || !tokens[i-1].is("IN") {
		return oidUnspecified
	}
	if tokens[i-2].is("NOT") && i > 2 {
		return in.valueType(tokens[i-3])
	}
	return in.valueType(tokens[i-2])
}

func (in inference) valueType(t token) uint32 {
	switch t.kind {
	case tokenWord, tokenQuoted:
		return in.columns[strings.ToLower(unquote(t))]
	case tokenNumber:
		if strings.ContainsAny(t.text, ".eE") {
			return pgtype.Float8OID
		}
		return pgtype.Int8OID
	case tokenString:
		return pgtype.TextOID
	}
	return oidUnspecified
}

// resultTypes returns the types of result columns. An expression's type comes
// from its text or else from the first value of a trial run of a read.
func resultTypes(db *database, st *statement, columns []column) []uint32 {
	out := make([]uint32, len(columns))
	missing := false
	for i, c := range columns {
		out[i] = declaredOID(c.declared)
		missing = missing || out[i] == 0
	}
	if !missing {
		return out
	}
	in := newInference(db, st)
	if items := selectItems(st.tokens); len(items) == len(columns) {
		for i, item := range items {
			if out[i] == 0 {
				out[i] = in.itemType(item)
			}
		}
	}
	if slices.Contains(out, 0) {
		probe(db, st, out)
	}
	return out
}

// probe fills the remaining types from the first row that the statement gives
// with parameters that are NULL.
func probe(db *database, st *statement, out []uint32) {
	var first []driver.Value
	if st.kind == kindRead {
		args := make([]driver.NamedValue, st.params)
		for i := range args {
			args[i].Ordinal = i + 1
		}
		if res, err := db.run(st, args, time.Now()); err == nil && len(res.rows) > 0 {
			first = res.rows[0]
		}
	}
	for i := range out {
		if out[i] != 0 {
			continue
		}
		out[i] = pgtype.TextOID
		if first != nil {
			out[i] = valueOID(first[i])
		}
	}
}

// columnNames gives expressions without an alias the names that PostgreSQL
// gives them; SQLite names them by their text.
func columnNames(st *statement, columns []column) {
	items := selectItems(st.tokens)
	if len(items) != len(columns) {
		return
	}
	for i, item := range items {
		if !strings.ContainsAny(columns[i].name, "( +-*/<>=|?'") || item[len(item)-1].kind == tokenQuoted {
			continue
		}
		columns[i].name = "?column?"
		if len(item) > 1 && item[0].kind == tokenWord && item[1].is("(") {
			columns[i].name = strings.ToLower(item[0].text)
		}
	}
}

// selectItems splits the select list or RETURNING list into its items.
func selectItems(tokens []token) [][]token {
	start := -1
	depth := 0
	for i, t := range tokens {
		if t.is("(") {
			depth++
		}
		if t.is(")") {
			depth--
		}
		if depth == 0 && t.isAny("SELECT", "RETURNING") && start < 0 {
			start = i + 1
		}
	}
	if start < 0 {
		return nil
	}
	var items [][]token
	begin := start
	for i := start; i < len(tokens); i++ {
		t := tokens[i]
		if t.is("(") {
			depth++
		}
		if t.is(")") {
			depth--
		}
		if depth == 0 && t.is(",") {
			items = append(items, tokens[begin:i])
			begin = i + 1
		}
		if depth == 0 && t.isAny("FROM", "WHERE", "ORDER", "LIMIT", "UNION", "GROUP") {
			return append(items, tokens[begin:i])
		}
	}
	return append(items, tokens[begin:])
}

// functionTypes are the result types of common functions.
var functionTypes = map[string]uint32{
	"COUNT": pgtype.Int8OID, "SUM": pgtype.Int8OID, "AVG": pgtype.Float8OID, "LENGTH": pgtype.Int4OID,
	"NOW": pgtype.TimestamptzOID, "CLOCK_TIMESTAMP": pgtype.TimestamptzOID, "RANDOM": pgtype.Float8OID,
	"UPPER": pgtype.TextOID, "LOWER": pgtype.TextOID, "VERSION": pgtype.TextOID, "EXISTS": pgtype.BoolOID,
	"GEN_RANDOM_UUID": pgtype.UUIDOID, "PG_IS_IN_RECOVERY": pgtype.BoolOID,
}

var conditionWords = []string{"=", "<", ">", "<=", ">=", "<>", "!=", "AND", "OR", "NOT", "IS", "LIKE", "ILIKE", "IN"}

// itemType derives an expression's type from its text, 0 if it can't.
func (in inference) itemType(item []token) uint32 {
	item = withoutAlias(item)
	if len(item) == 0 {
		return 0
	}
	outer := outerTokens(item)
	for k, i := range outer {
		t := item[i]
		if t.is("::") && i+1 < len(item) && k > 0 {
			if name, used := typeName(item[i+1:]); i+1+used == len(item) {
				return declaredTypes[name]
			}
		}
		if t.isAny(conditionWords...) && !item[0].is("CASE") {
			return pgtype.BoolOID
		}
	}
	arithmetic, fraction := false, false
	for _, i := range outer {
		arithmetic = arithmetic || i > 0 && item[i].isAny("+", "-", "*", "/")
		switch in.valueType(item[i]) {
		case pgtype.Float8OID, pgtype.Float4OID, pgtype.NumericOID:
			fraction = true
		}
	}
	switch {
	case arithmetic && fraction:
		return pgtype.Float8OID
	case arithmetic:
		return pgtype.Int8OID
	}
	return in.simpleType(item)
}

// outerTokens returns the indexes of the tokens outside of parentheses.
func outerTokens(item []token) []int {
	out := make([]int, 0, len(item))
	depth := 0
	for i, t := range item {
		switch {
		case t.is("("):
			depth++
		case t.is(")"):
			depth--
		case depth == 0:
			out = append(out, i)
		}
	}
	return out
}

func (in inference) simpleType(item []token) uint32 {
	first := item[0]
	switch {
	case first.isAny("TRUE", "FALSE"):
		return pgtype.BoolOID
	case first.is("CURRENT_TIMESTAMP"):
		return pgtype.TimestamptzOID
	case first.is("CAST") && len(item) > 3:
		name, _ := typeName(item[len(item)-2:])
		return declaredTypes[name]
	case first.isAny("MAX", "MIN", "COALESCE") && len(item) > 3:
		return in.valueType(item[2])
	case len(item) > 1 && item[1].is("("):
		return functionTypes[first.upper]
	case first.kind == tokenString:
		return pgtype.TextOID
	case first.kind == tokenNumber && len(item) == 1 && !strings.Contains(first.text, "."):
		return pgtype.Int4OID
	}
	return 0
}

// withoutAlias cuts AS name from a select item.
func withoutAlias(item []token) []token {
	if n := len(item); n > 2 && item[n-2].is("AS") {
		return item[:n-2]
	}
	return item
}
