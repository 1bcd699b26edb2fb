package standin

import (
	"strings"
)

// translate rewrites a statement from PostgreSQL's dialect to SQLite's. It covers
// the constructs in common use that differ and leaves all others unchanged.
func translate(st *statement) string {
	tokens := st.tokens
	if st.tokens[0].is("TRUNCATE") {
		return "DELETE FROM " + truncatedTable(tokens[1:])
	}
	if st.tokens[0].is("TABLE") {
		return "SELECT * FROM " + join(tokens[1:])
	}
	if st.tag == "CREATE TABLE" || st.tag == "ALTER TABLE" {
		tokens = translateTypes(tokens)
	}
	tokens = translateCasts(tokens)
	tokens = translateSeries(tokens)
	return join(translateWords(tokens))
}

// truncatedTable returns the table of a TRUNCATE statement, given the tokens
// after that keyword.
func truncatedTable(tokens []token) string {
	for _, t := range tokens {
		if !t.isAny("TABLE", "ONLY") {
			return t.text
		}
	}
	return ""
}

func word(text string) token {
	return token{kind: tokenWord, text: text, upper: strings.ToUpper(text), space: true}
}

func op(text string) token { return token{kind: tokenOperator, text: text} }

// translateTypes replaces the column types and defaults of a table definition
// that SQLite doesn't accept or that would be reported as another type. It leaves
// all other types as declared, because the declared name determines the type
// reported to clients.
func translateTypes(tokens []token) []token {
	out := make([]token, 0, len(tokens)+4)
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		rest := tokens[i:]
		switch {
		case t.isAny("SERIAL", "BIGSERIAL", "SMALLSERIAL"):
			out = append(out, word("INTEGER"))
			if startsWith(rest, "", "PRIMARY", "KEY") {
				out = append(out, word("PRIMARY"), word("KEY"), word("AUTOINCREMENT"))
				i += 2
			}
		case t.is("GENERATED") && containsWord(rest, "IDENTITY"):
			for !tokens[i].is("IDENTITY") {
				i++
			}
			out[len(out)-1] = word("INTEGER")
		case t.isAny("INTEGER", "INT"):
			out = append(out, word("int4"))
		case t.is("TIMESTAMP") && startsWith(rest, "", "WITH", "TIME", "ZONE"):
			out = append(out, word("timestamptz"))
			i += 3
		case t.is("TIMESTAMP") && startsWith(rest, "", "WITHOUT", "TIME", "ZONE"):
			out = append(out, t)
			i += 3
		case t.is("DEFAULT") && startsWith(rest, "", "NOW", "(", ")"):
			out = append(out, t, op("("), word("pg_now"), op("("), op(")"), op(")"))
			i += 3
		case t.is("DEFAULT") && startsWith(rest, "", "CURRENT_TIMESTAMP"):
			out = append(out, t, op("("), word("pg_now"), op("("), op(")"), op(")"))
			i++
		default:
			out = append(out, t)
		}
	}
	return out
}

// startsWith reports whether tokens start with the given keywords or operators;
// an empty word matches any token.
func startsWith(tokens []token, words ...string) bool {
	if len(tokens) < len(words) {
		return false
	}
	for i, w := range words {
		if w != "" && !tokens[i].is(w) {
			return false
		}
	}
	return true
}

// translateCasts rewrites operand::type to CAST(operand AS type) where SQLite
// has the type, and drops the cast otherwise.
func translateCasts(tokens []token) []token {
	if !containsWord(tokens, "::") {
		return tokens
	}
	var out []token
	for i := 0; i < len(tokens); i++ {
		if !tokens[i].is("::") || i+1 >= len(tokens) {
			out = append(out, tokens[i])
			continue
		}
		name, used := typeName(tokens[i+1:])
		i += used
		affinity, ok := castTypes[name]
		if !ok {
			continue
		}
		start := operandStart(out)
		operand := append([]token{}, out[start:]...)
		out = append(out[:start], word("CAST"), op("("))
		out = append(out, operand...)
		out = append(out, word("AS"), word(affinity), op(")"))
	}
	return out
}

// typeName returns the type name at the start of tokens and the number of tokens
// that it takes, including a length or precision in parentheses.
func typeName(tokens []token) (name string, used int) {
	name = strings.ToLower(unquote(tokens[0]))
	used = 1
	if name == "double" && len(tokens) > 1 && tokens[1].is("PRECISION") {
		used = 2
	}
	if used < len(tokens) && tokens[used].is("(") {
		for used < len(tokens) && !tokens[used].is(")") {
			used++
		}
		used = min(used+1, len(tokens))
	}
	return name, used
}

// castTypes maps the types of casts to the types of SQLite.
var castTypes = map[string]string{
	"int": "INTEGER", "integer": "INTEGER", "int2": "INTEGER", "int4": "INTEGER", "int8": "INTEGER",
	"smallint": "INTEGER", "bigint": "INTEGER",
	"text": "TEXT", "varchar": "TEXT", "char": "TEXT",
	"float": "REAL", "float4": "REAL", "float8": "REAL", "real": "REAL", "double": "REAL",
}

// operandStart returns the index of the first token of the operand at the end of
// tokens. The operand is an expression in parentheses with the function name
// before it, if any, or a single value with its qualifiers.
func operandStart(tokens []token) int {
	i := len(tokens) - 1
	if i > 0 && tokens[i].is(")") {
		for depth := 0; i >= 0; i-- {
			if tokens[i].is(")") {
				depth++
			}
			if tokens[i].is("(") {
				depth--
			}
			if depth == 0 {
				break
			}
		}
		if i > 0 && tokens[i-1].kind == tokenWord && !tokens[i].space {
			i--
		}
	}
	for i > 1 && tokens[i-1].is(".") {
		i -= 2
	}
	return max(i, 0)
}

// translateSeries rewrites generate_series(a, b) in a FROM clause to a subquery
// on json_each.
func translateSeries(tokens []token) []token {
	at := -1
	for i, t := range tokens {
		if t.is("GENERATE_SERIES") && startsWith(tokens[i:], "", "(") {
			at = i
		}
	}
	if at < 0 {
		return tokens
	}
	end := at + 1
	for depth := 0; end < len(tokens); end++ {
		if tokens[end].is("(") {
			depth++
		}
		if tokens[end].is(")") {
			depth--
		}
		if depth == 0 {
			break
		}
	}
	if end >= len(tokens) {
		return tokens
	}
	column := "generate_series"
	rest := tokens[end+1:]
	next := 0
	if startsWith(rest, "AS") {
		next++
	}
	if next < len(rest) && rest[next].kind == tokenWord && !rest[next].isAny("WHERE", "JOIN", "ORDER", "LIMIT", "ON") {
		column = rest[next].text
		if startsWith(rest[next+1:], "(", "", ")") {
			column = rest[next+2].text
			rest = append(append([]token{}, rest[:next+1]...), rest[next+4:]...)
		}
	}
	bounds := append([]token{}, tokens[at+2:end]...)
	series := []token{word("pg_series(" + join(bounds) + ")")}
	out := append([]token{}, tokens[:at]...)
	out = append(out, op("("), word("SELECT value AS "+column+" FROM json_each("))
	out = append(out, series...)
	out = append(out, op(")"), op(")"))
	return append(out, rest...)
}

// functionReplacements and wordReplacements map functions and other words to
// their names in SQLite, or to the functions that type database adds to SQLite.
var (
	functionReplacements = map[string]string{"NOW": "pg_now", "CLOCK_TIMESTAMP": "pg_now", "GREATEST": "max", "LEAST": "min"}
	wordReplacements     = map[string]string{
		"CURRENT_TIMESTAMP": "pg_now()", "ILIKE": "LIKE", "CURRENT_USER": "current_user()", "SESSION_USER": "current_user()",
	}
)

// translateWords translates parameters, escape strings, = ANY(array) and single
// words, and removes the schema name public.
func translateWords(tokens []token) []token {
	out := make([]token, 0, len(tokens))
	for i := 0; i < len(tokens); i++ {
		t := tokens[i]
		call := i+1 < len(tokens) && tokens[i+1].is("(")
		switch {
		case t.kind == tokenParam:
			t.text = "?" + t.text[1:]
		case t.kind == tokenString && i > 0 && tokens[i-1].is("E") && !t.space:
			out = out[:len(out)-1]
			t.text = escapeString(t.text)
		case call && functionReplacements[t.upper] != "":
			t.text = functionReplacements[t.upper]
		case !call && t.kind == tokenWord && wordReplacements[t.upper] != "":
			t.text = wordReplacements[t.upper]
		case t.is("PUBLIC") && startsWith(tokens[i:], "", "."):
			i++
			continue
		case t.is("ANY") && call && i > 0 && tokens[i-1].is("="):
			// = ANY(array) becomes IN on the elements of the array, which
			// pg_array converts to JSON.
			out[len(out)-1] = word("IN")
			argument := readArrayArgument(tokens[i+1:])
			out = append(out, word("(SELECT value FROM json_each(pg_array"+argument.text+"))"))
			i += argument.used
			continue
		}
		out = append(out, t)
	}
	return out
}

// arrayArgument is the translated argument of ANY, with its parentheses, and the
// number of tokens that it takes.
type arrayArgument struct {
	text string
	used int
}

// readArrayArgument returns the expression in parentheses at the start of tokens.
func readArrayArgument(tokens []token) arrayArgument {
	depth := 0
	for i, t := range tokens {
		if t.is("(") {
			depth++
		}
		if t.is(")") {
			depth--
		}
		if depth == 0 {
			return arrayArgument{text: join(translateWords(tokens[:i+1])), used: i + 1}
		}
	}
	return arrayArgument{text: join(tokens), used: len(tokens)}
}

// escapeString converts the backslash escapes of an E'...' string for a plain
// string literal.
func escapeString(text string) string {
	return strings.NewReplacer(`\\`, `\`, `\n`, "\n", `\t`, "\t", `\r`, "\r", `\'`, `''`).Replace(text)
}
