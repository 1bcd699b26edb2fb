package standin

import (
	"strings"
)

// tokenKind classifies a lexical element of an SQL text.
type tokenKind uint8

const (
	tokenWord tokenKind = iota
	tokenQuotedIdentifier
	tokenString
	tokenNumber
	tokenParam
	tokenOperator
)

// token is one lexical element. Comments and white space produce no token;
// space records that they separated the token from the one before it.
type token struct {
	kind  tokenKind
	text  string
	upper string // words only, for comparison with keywords
	space bool
}

// is reports whether the token is the given keyword or operator.
func (t token) is(want string) bool {
	if t.kind == tokenWord {
		return t.upper == want
	}
	return t.kind == tokenOperator && t.text == want
}

// isAny reports whether the token is one of the given keywords or operators.
func (t token) isAny(want ...string) bool {
	for _, w := range want {
		if t.is(w) {
			return true
		}
	}
	return false
}

// splitStatements splits an SQL text at its semicolons and omits empty
// statements.
func splitStatements(sql string) ([][]token, error) {
	tokens, err := tokenize(sql)
	if err != nil {
		return nil, err
	}
	var out [][]token
	start := 0
	for i, t := range tokens {
		if !t.is(";") {
			continue
		}
		if i > start {
			out = append(out, tokens[start:i])
		}
		start = i + 1
	}
	if start < len(tokens) {
		out = append(out, tokens[start:])
	}
	return out, nil
}

// tokenize splits an SQL text into tokens. It fails on an unterminated string,
// quoted identifier or comment.
func tokenize(sql string) ([]token, error) {
	tokens := make([]token, 0, len(sql)/4+4)
	space := false
	for i := 0; i < len(sql); {
		next, skipped, err := skipBlank(sql, i)
		if err != nil {
			return nil, err
		}
		if skipped {
			space = true
			i = next
			continue
		}
		t, end, err := readToken(sql, i)
		if err != nil {
			return nil, err
		}
		t.space = space
		space = false
		tokens = append(tokens, t)
		i = end
	}
	return tokens, nil
}

// skipBlank skips one run of white space or one comment.
func skipBlank(sql string, i int) (next int, skipped bool, err error) {
	switch {
	case isSpace(sql[i]):
		for i < len(sql) && isSpace(sql[i]) {
			i++
		}
		return i, true, nil
	case strings.HasPrefix(sql[i:], "--"):
		end := strings.IndexByte(sql[i:], '\n')
		if end < 0 {
			return len(sql), true, nil
		}
		return i + end + 1, true, nil
	case strings.HasPrefix(sql[i:], "/*"):
		end := strings.Index(sql[i+2:], "*/")
		if end < 0 {
			return 0, false, syntaxError("unterminated /* comment")
		}
		return i + end + 4, true, nil
	}
	return i, false, nil
}

func readToken(sql string, i int) (token, int, error) {
	c := sql[i]
	switch {
	case c == '\'':
		return readQuoted(sql, i, '\'', tokenString, "unterminated quoted string")
	case c == '"':
		return readQuoted(sql, i, '"', tokenQuotedIdentifier, "unterminated quoted identifier")
	case c == '$' && i+1 < len(sql) && isDigit(sql[i+1]):
		end := scan(sql, i+1, isDigit)
		return token{kind: tokenParam, text: sql[i:end]}, end, nil
	case isDigit(c) || c == '.' && i+1 < len(sql) && isDigit(sql[i+1]):
		end := i
		for end < len(sql) && (isDigit(sql[end]) || sql[end] == '.' || isExponent(sql, end)) {
			end++
		}
		return token{kind: tokenNumber, text: sql[i:end]}, end, nil
	case isLetter(c):
		end := scan(sql, i, func(c byte) bool { return isLetter(c) || isDigit(c) || c == '$' })
		text := sql[i:end]
		return token{kind: tokenWord, text: text, upper: strings.ToUpper(text)}, end, nil
	}
	for _, op := range multiCharOperators {
		if strings.HasPrefix(sql[i:], op) {
			return token{kind: tokenOperator, text: op}, i + len(op), nil
		}
	}
	return token{kind: tokenOperator, text: sql[i : i+1]}, i + 1, nil
}

// scan returns the index after the run of accepted bytes that starts at i.
func scan(sql string, i int, accept func(byte) bool) int {
	for i < len(sql) && accept(sql[i]) {
		i++
	}
	return i
}

// multiCharOperators are the operators of more than one character. The first
// match is used, so an operator stands before its own prefixes.
var multiCharOperators = []string{"->>", "::", "||", "<=", ">=", "<>", "!=", "->"}

// readQuoted reads a quoted token that starts at i, in which a doubled quote
// stands for one. unterminated is the error message if the closing quote is
// missing.
func readQuoted(sql string, i int, quote byte, kind tokenKind, unterminated string) (token, int, error) {
	for end := i + 1; end < len(sql); end++ {
		if sql[end] != quote {
			continue
		}
		if end+1 < len(sql) && sql[end+1] == quote {
			end++
			continue
		}
		return token{kind: kind, text: sql[i : end+1]}, end + 1, nil
	}
	return token{}, 0, syntaxError(unterminated)
}

// isExponent reports whether the byte at i is the letter or the sign of the
// exponent of a number.
func isExponent(sql string, i int) bool {
	switch sql[i] {
	case 'e', 'E':
		return i+1 < len(sql) && (isDigit(sql[i+1]) || sql[i+1] == '-' || sql[i+1] == '+')
	case '+', '-':
		return i > 0 && (sql[i-1] == 'e' || sql[i-1] == 'E')
	}
	return false
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

// join converts tokens back to SQL text.
func join(tokens []token) string {
	var b strings.Builder
	for i, t := range tokens {
		if i > 0 && (t.space || tokens[i-1].kind != tokenOperator && t.kind != tokenOperator) {
			b.WriteByte(' ')
		}
		b.WriteString(t.text)
	}
	return b.String()
}

// unquote returns the value of a string literal or quoted identifier, or the
// text of any other token.
func unquote(t token) string {
	switch t.kind {
	case tokenString:
		return strings.ReplaceAll(t.text[1:len(t.text)-1], "''", "'")
	case tokenQuotedIdentifier:
		return strings.ReplaceAll(t.text[1:len(t.text)-1], `""`, `"`)
	}
	return t.text
}
