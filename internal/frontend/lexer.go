package frontend

// tokenKind is the lexical kind of a token.
type tokenKind uint8

const (
	tokenEnd tokenKind = iota
	// tokenWord is a keyword or an unquoted identifier.
	tokenWord
	// tokenQuoted is a quoted identifier.
	tokenQuoted
	// tokenString is a string constant of any form.
	tokenString
	tokenNumber
	// tokenSymbol is a single punctuation character, or a parameter such as $1.
	tokenSymbol
)

type token struct {
	kind tokenKind
	text []byte
}

// is reports whether the token is the keyword, which is given in lower case.
func (t token) is(keyword string) bool {
	return t.kind == tokenWord && equalFold(t.text, keyword)
}

func (t token) symbol(c byte) bool { return t.kind == tokenSymbol && t.text[0] == c }

// equalFold compares ASCII text with a lower-case word, ignoring the case of
// text and without allocating.
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

// lexer splits SQL into tokens by the lexical rules of PostgreSQL and skips
// comments. It accepts any input: an unterminated token extends to the end of
// the input, and the instance refuses such a query.
type lexer struct {
	sql    []byte
	offset int
	// backslashEscapes reports that backslashes escape in ordinary string
	// constants (standard_conforming_strings = off).
	backslashEscapes bool
}

func (l *lexer) next() token {
	l.skipSpace()
	if l.offset >= len(l.sql) {
		return token{}
	}
	c := l.sql[l.offset]
	switch {
	case c == '\'':
		return l.quoted(l.offset, '\'', l.backslashEscapes, tokenString)
	case c == '"':
		return l.quoted(l.offset, '"', false, tokenQuoted)
	case c == '$':
		return l.dollar()
	case isWordStart(c):
		return l.word()
	case c >= '0' && c <= '9':
		return l.number()
	default:
		l.offset++
		return token{tokenSymbol, l.sql[l.offset-1 : l.offset]}
	}
}

func isWordStart(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c >= 0x80
}

func isWordPart(c byte) bool { return isWordStart(c) || c >= '0' && c <= '9' || c == '$' }

func (l *lexer) skipSpace() {
	for l.offset < len(l.sql) {
		switch c := l.sql[l.offset]; {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			l.offset++
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
	if l.offset+ahead < len(l.sql) {
		return l.sql[l.offset+ahead]
	}
	return 0
}

func (l *lexer) skipLine() {
	for l.offset < len(l.sql) && l.sql[l.offset] != '\n' && l.sql[l.offset] != '\r' {
		l.offset++
	}
}

// skipBlock skips a block comment, including nested ones.
func (l *lexer) skipBlock() {
	depth := 0
	for l.offset < len(l.sql) {
		switch {
		case l.sql[l.offset] == '/' && l.peek(1) == '*':
			depth++
			l.offset += 2
		case l.sql[l.offset] == '*' && l.peek(1) == '/':
			depth--
			l.offset += 2
			if depth == 0 {
				return
			}
		default:
			l.offset++
		}
	}
}

// quoted reads a constant or identifier whose opening quote is at l.offset. The
// token begins at start, which is before the quote if there is a prefix. A
// doubled quote stands for the quote itself.
func (l *lexer) quoted(start int, quote byte, backslashEscapes bool, kind tokenKind) token {
	l.offset++
	for l.offset < len(l.sql) {
		switch c := l.sql[l.offset]; {
		case c == '\\' && backslashEscapes:
			l.offset = min(l.offset+2, len(l.sql))
		case c == quote && l.peek(1) == quote:
			l.offset += 2
		case c == quote:
			l.offset++
			return token{kind, l.sql[start:l.offset]}
		default:
			l.offset++
		}
	}
	return token{kind, l.sql[start:]}
}

// dollar reads a dollar-quoted constant or a parameter such as $1.
func (l *lexer) dollar() token {
	start := l.offset
	end := start + 1
	for end < len(l.sql) && isWordPart(l.sql[end]) && l.sql[end] != '$' {
		end++
	}
	isTag := end < len(l.sql) && l.sql[end] == '$' &&
		(end == start+1 || isWordStart(l.sql[start+1]))
	if !isTag {
		l.offset = end
		return token{tokenSymbol, l.sql[start:end]}
	}
	tag := l.sql[start : end+1]
	l.offset = end + 1
	for l.offset < len(l.sql) {
		if l.sql[l.offset] == '$' && hasPrefix(l.sql[l.offset:], tag) {
			l.offset += len(tag)
			return token{tokenString, l.sql[start:l.offset]}
		}
		l.offset++
	}
	return token{tokenString, l.sql[start:]}
}

func hasPrefix(b, prefix []byte) bool {
	return len(b) >= len(prefix) && string(b[:len(prefix)]) == string(prefix)
}

// word reads a word, or a constant or identifier with a prefix such as E'...'.
func (l *lexer) word() token {
	start := l.offset
	for l.offset < len(l.sql) && isWordPart(l.sql[l.offset]) {
		l.offset++
	}
	if l.offset == start+1 && l.peek(0) == '\'' {
		switch l.sql[start] {
		case 'e', 'E':
			return l.quoted(start, '\'', true, tokenString)
		case 'b', 'B', 'x', 'X', 'n', 'N':
			return l.quoted(start, '\'', l.backslashEscapes, tokenString)
		}
	}
	if l.offset == start+1 && (l.sql[start] == 'u' || l.sql[start] == 'U') && l.peek(0) == '&' {
		switch l.peek(1) {
		case '\'':
			l.offset++
			return l.quoted(start, '\'', false, tokenString)
		case '"':
			l.offset++
			return l.quoted(start, '"', false, tokenQuoted)
		}
	}
	return token{tokenWord, l.sql[start:l.offset]}
}

func (l *lexer) number() token {
	start := l.offset
	for l.offset < len(l.sql) && (isWordPart(l.sql[l.offset]) || l.sql[l.offset] == '.') {
		l.offset++
	}
	return token{tokenNumber, l.sql[start:l.offset]}
}
