package frontend

// tokenKind distinguishes the tokens that the classification needs.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	// tokenWord is a keyword or an unquoted identifier.
	tokenWord
	// tokenQuoted is a quoted identifier.
	tokenQuoted
	// tokenString is a string constant in any of its forms.
	tokenString
	tokenNumber
	// tokenSymbol is a single punctuation character.
	tokenSymbol
)

type token struct {
	kind tokenKind
	text []byte
}

// is reports whether the token is a keyword, given in lower case.
func (t token) is(keyword string) bool {
	return t.kind == tokenWord && equalFold(t.text, keyword)
}

func (t token) symbol(c byte) bool { return t.kind == tokenSymbol && t.text[0] == c }

// equalFold compares ASCII text with a lower-case word without allocating.
func equalFold(text []byte, lower string) bool {
	if len(text) != len(lower) {
		return false
	}
	for i, c := range text {
		if c >= 'A' && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// lexer splits SQL into tokens as PostgreSQL's lexical rules describe them,
// without comments. It accepts any input: an unterminated token ends with the
// input, which the instance then refuses.
type lexer struct {
	sql []byte
	at  int
	// backslash makes backslashes escape in ordinary string constants
	// (standard_conforming_strings = off).
	backslash bool
}

func (l *lexer) next() token {
	l.skipSpace()
	if l.at >= len(l.sql) {
		return token{}
	}
	c := l.sql[l.at]
	switch {
	case c == '\'':
		return l.quoted(l.at, '\'', l.backslash, tokenString)
	case c == '"':
		return l.quoted(l.at, '"', false, tokenQuoted)
	case c == '$':
		return l.dollar()
	case isWordStart(c):
		return l.word()
	case c >= '0' && c <= '9':
		return l.number()
	default:
		l.at++
		return token{tokenSymbol, l.sql[l.at-1 : l.at]}
	}
}

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || c >= '0' && c <= '9' || c == '$' }

func (l *lexer) skipSpace() {
	for l.at < len(l.sql) {
		switch c := l.sql[l.at]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			l.at++
		case c == '-' && l.peek(1) == '-':
			l.skipLine()
		case c == '/' && l.peek(1) == '*':
			l.skipBlock()
		default:
			return
		}
	}
}

func (l *lexer) peek(ahead int) byte {
	if l.at+ahead < len(l.sql) {
		return l.sql[l.at+ahead]
	}
	return 0
}

func (l *lexer) skipLine() {
	for l.at < len(l.sql) && l.sql[l.at] != '\n' && l.sql[l.at] != '\r' {
		l.at++
	}
}

// skipBlock skips a block comment; they nest.
func (l *lexer) skipBlock() {
	depth := 0
	for l.at < len(l.sql) {
		switch {
		case l.sql[l.at] == '/' && l.peek(1) == '*':
			depth++
			l.at += 2
		case l.sql[l.at] == '*' && l.peek(1) == '/':
			depth--
			l.at += 2
			if depth == 0 {
				return
			}
		default:
			l.at++
		}
	}
}

// quoted reads a constant or identifier whose opening quote is at l.at. A
// doubled quote stands for the quote itself.
func (l *lexer) quoted(start int, quote byte, backslash bool, kind tokenKind) token {
	l.at++
	for l.at < len(l.sql) {
		switch c := l.sql[l.at]; {
		case c == '\\' && backslash:
			l.at = min(l.at+2, len(l.sql))
		case c == quote && l.peek(1) == quote:
			l.at += 2
		case c == quote:
			l.at++
			return token{kind, l.sql[start:l.at]}
		default:
			l.at++
		}
	}
	return token{kind, l.sql[start:]}
}

// dollar reads a dollar-quoted constant or a parameter such as $1.
func (l *lexer) dollar() token {
	start := l.at
	end := start + 1
	for end < len(l.sql) && isWordPart(l.sql[end]) && l.sql[end] != '$' {
		end++
	}
	isTag := end < len(l.sql) && l.sql[end] == '$' &&
		(end == start+1 || isWordStart(l.sql[start+1]))
	if !isTag {
		l.at = end
		return token{tokenSymbol, l.sql[start:end]}
	}
	tag := l.sql[start : end+1]
	l.at = end + 1
	for l.at < len(l.sql) {
		if l.sql[l.at] == '$' && hasPrefix(l.sql[l.at:], tag) {
			l.at += len(tag)
			return token{tokenString, l.sql[start:l.at]}
		}
		l.at++
	}
	return token{tokenString, l.sql[start:]}
}

func hasPrefix(b, prefix []byte) bool {
	return len(b) >= len(prefix) && string(b[:len(prefix)]) == string(prefix)
}

// word reads a word, or a constant with a prefix such as E'...'.
func (l *lexer) word() token {
	start := l.at
	for l.at < len(l.sql) && isWordPart(l.sql[l.at]) {
		l.at++
	}
	if l.at == start+1 && l.peek(0) == '\'' {
		switch l.sql[start] {
		case 'e', 'E':
			return l.quoted(start, '\'', true, tokenString)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			return l.quoted(start, '\'', l.backslash, tokenString)
		}
	}
	if l.at == start+1 && (l.sql[start] == 'u' || l.sql[start] == 'U') && l.peek(0) == '&' {
		switch l.peek(1) {
		case '\'':
			l.at++
			return l.quoted(start, '\'', false, tokenString)
		case '"':
			l.at++
			return l.quoted(start, '"', false, tokenQuoted)
		}
	}
	return token{tokenWord, l.sql[start:l.at]}
}

func (l *lexer) number() token {
	start := l.at
	for l.at < len(l.sql) && (isWordPart(l.sql[l.at]) || l.sql[l.at] == '.') {
		l.at++
	}
	return token{tokenNumber, l.sql[start:l.at]}
}
