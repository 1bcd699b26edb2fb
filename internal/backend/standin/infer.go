package standin

import (
	"database/sql/driver"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"
)

// typeInference derives the types of parameters and result columns from the
// text of a statement, because SQLite has no types for expressions.
type typeInference struct {
	st      *statement
	columns map[string]uint32 // types of the named tables' columns by lower-case name
}

func newTypeInference(db *database, st *statement) typeInference {
	in := typeInference{st: st, columns: map[string]uint32{}}
	for _, t := range st.tokens {
		if t.kind != tokenWord && t.kind != tokenQuotedIdentifier {
			continue
		}
		for _, c := range db.table(unquote(t)) {
			in.columns[strings.ToLower(c.name)] = declaredOID(c.declared)
		}
	}
	return in
}

// parameterTypes returns the types of $1 to $n, 0 where the text does not
// determine the type. Types that the client declared take precedence.
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
	in := newTypeInference(db, st)
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

// insertTypes assigns the column types of INSERT INTO table (columns) VALUES
// (...) to the parameters in the value lists.
func (in typeInference) insertTypes(db *database, out []uint32) {
	tokens := in.st.tokens
	if !startsWith(tokens, "INSERT", "INTO", "") {
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

// insertColumns returns the target columns of an INSERT and the index of the
// token after the column list.
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

// isWholeItem reports whether the token at i is a complete list item.
func isWholeItem(tokens []token, i int) bool {
	return i > 0 && i+1 < len(tokens) && tokens[i-1].isAny("(", ",") && tokens[i+1].isAny(")", ",")
}

var binaryOperators = []string{"=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "*", "/"}

// parameterAt derives the type of the parameter at i from the adjacent tokens.
func (in typeInference) parameterAt(i int) uint32 {
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
	case at(i - 1).isAny(binaryOperators...):
		return in.valueType(at(i - 2))
	case at(i + 1).isAny(binaryOperators...):
		return in.valueType(at(i + 2))
	case at(i - 1).is("BETWEEN"):
		return in.valueType(at(i - 2))
	case at(i-1).is("AND") && at(i-3).is("BETWEEN"):
		return in.valueType(at(i - 4))
	}
	return in.inListType(i)
}

// inListType returns the type of the operand before IN if the token at i is
// inside the parentheses after IN.
func (in typeInference) inListType(i int) uint32 {
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

func (in typeInference) valueType(t token) uint32 {
	switch t.kind {
	case tokenWord, tokenQuotedIdentifier:
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

// resultTypes returns the types of result columns. An expression's type is
// derived from its text or, for a read, from the first row of a trial execution.
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
	in := newTypeInference(db, st)
	if items := selectItems(st.tokens); len(items) == len(columns) {
		for i, item := range items {
			if out[i] == 0 {
				out[i] = in.itemType(item)
			}
		}
	}
	if slices.Contains(out, 0) {
		inferFromFirstRow(db, st, out)
	}
	return out
}

// inferFromFirstRow sets the types that are still unknown from the first row
// that a read returns when all its parameters are NULL. Without such a row they
// become text.
func inferFromFirstRow(db *database, st *statement, out []uint32) {
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

// columnNames renames the columns of expressions without an alias to the names
// that PostgreSQL returns; SQLite uses the text of the expression.
func columnNames(st *statement, columns []column) {
	items := selectItems(st.tokens)
	if len(items) != len(columns) {
		return
	}
	for i, item := range items {
		if !strings.ContainsAny(columns[i].name, "( +-*/<>=|?'") || item[len(item)-1].kind == tokenQuotedIdentifier {
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

var booleanOperators = []string{"=", "<", ">", "<=", ">=", "<>", "!=", "AND", "OR", "NOT", "IS", "LIKE", "ILIKE", "IN"}

// itemType derives the type of a select item from its text; 0 means unknown.
func (in typeInference) itemType(item []token) uint32 {
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
		if t.isAny(booleanOperators...) && !item[0].is("CASE") {
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
	return in.simpleItemType(item)
}

// outerTokens returns the indexes of the tokens that are outside parentheses.
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

// simpleItemType returns the type of a literal, a CAST or a function call; 0
// means unknown.
func (in typeInference) simpleItemType(item []token) uint32 {
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

// withoutAlias removes a trailing AS name from a select item.
func withoutAlias(item []token) []token {
	if n := len(item); n > 2 && item[n-2].is("AS") {
		return item[:n-2]
	}
	return item
}
