package frontend

import (
	"bytes"
	"strings"
)

// trackedParameters are the PostgreSQL parameters that the proxy keeps for each
// session and sets on the backend connections that serve it. A key is the name
// in lower case; its value is the name that instances report.
var trackedParameters = map[string]string{
	"application_name":            "application_name",
	"client_encoding":             "client_encoding",
	"datestyle":                   "DateStyle",
	"timezone":                    "TimeZone",
	"intervalstyle":               "IntervalStyle",
	"extra_float_digits":          "extra_float_digits",
	"statement_timeout":           "statement_timeout",
	"search_path":                 "search_path",
	"standard_conforming_strings": "standard_conforming_strings",
}

// settingPrefix is the prefix of the proxy's own settings.
const settingPrefix = "bramleylever."

// statement classifies a statement by its first word. A statement with an unknown
// first word is a write.
func (p *statementParser) statement(first token) stmtInfo {
	switch {
	case first.kind != tokenWord:
		return stmtInfo{class: ClassWrite}
	case first.is("select"), first.is("values"), first.is("table"), first.is("with"),
		first.is("explain"), first.is("fetch"), first.is("move"), first.is("close"),
		first.is("savepoint"), first.is("release"):
		return p.read()
	case first.is("show"):
		return p.show()
	case first.is("begin"), first.is("start"):
		return p.begin()
	case first.is("commit"), first.is("end"):
		return p.end(ClassCommit)
	case first.is("rollback"), first.is("abort"):
		return p.end(ClassRollback)
	case first.is("set"):
		return p.set()
	case first.is("reset"):
		return p.reset()
	case first.is("discard"):
		return p.discard()
	case first.is("declare"):
		return p.declare()
	case first.is("create"):
		return p.create()
	default:
		return p.other(first)
	}
}

func unsupported(reason string) stmtInfo {
	return stmtInfo{class: ClassUnsupported, reason: reason}
}

func (p *statementParser) other(first token) stmtInfo {
	switch {
	case first.is("listen"):
		return unsupported("LISTEN")
	case first.is("unlisten"):
		return stmtInfo{class: ClassLocal, local: localUnlisten}
	case first.is("copy"):
		return unsupported("COPY")
	case first.is("execute"):
		return unsupported("SQL PREPARE and EXECUTE")
	case first.is("prepare"):
		if p.nextToken().is("transaction") {
			return stmtInfo{class: ClassCommit, transactionControl: true}
		}
		return unsupported("SQL PREPARE")
	case first.is("deallocate"):
		t := p.nextToken()
		if t.is("prepare") {
			t = p.nextToken()
		}
		if t.is("all") {
			return stmtInfo{class: ClassLocal, local: localDeallocateAll}
		}
		return unsupported("SQL DEALLOCATE of a single statement")
	default:
		return stmtInfo{class: ClassWrite}
	}
}

// read classifies a statement that reads. It refuses SELECT INTO TEMPORARY.
func (p *statementParser) read() stmtInfo {
	for t := p.nextToken(); t.kind != tokenEnd; t = p.nextToken() {
		temporary := t.is("temp") || t.is("temporary")
		if temporary && p.previous.is("into") {
			return unsupported("temporary objects")
		}
	}
	return stmtInfo{class: ClassRead}
}

func (p *statementParser) show() stmtInfo {
	name := p.name()
	if strings.HasPrefix(name, settingPrefix) {
		return stmtInfo{class: ClassLocal, local: localShow, settings: []setting{{name: name}}}
	}
	return stmtInfo{class: ClassRead}
}

func (p *statementParser) begin() stmtInfo {
	class := ClassBegin
	for t := p.nextToken(); t.kind != tokenEnd; t = p.nextToken() {
		if t.is("only") && p.previous.is("read") {
			class = ClassBeginReadOnly
		}
	}
	return stmtInfo{class: class, transactionControl: true, beginsReadOnly: class == ClassBeginReadOnly}
}

// end classifies COMMIT and ROLLBACK with their variants.
func (p *statementParser) end(class Class) stmtInfo {
	for t := p.nextToken(); t.kind != tokenEnd; t = p.nextToken() {
		switch {
		case t.is("to"):
			return stmtInfo{class: ClassRead}
		case t.is("prepared"):
			return stmtInfo{class: ClassWrite, transactionControl: true}
		case t.is("chain") && p.previous.is("and"):
			return unsupported("AND CHAIN")
		}
	}
	return stmtInfo{class: class, transactionControl: true}
}

func (p *statementParser) declare() stmtInfo {
	for t := p.nextToken(); t.kind != tokenEnd; t = p.nextToken() {
		if t.is("hold") && p.previous.is("with") {
			return unsupported("WITH HOLD cursors")
		}
	}
	return stmtInfo{class: ClassRead}
}

func (p *statementParser) create() stmtInfo {
	for range 4 {
		t := p.nextToken()
		if t.is("temp") || t.is("temporary") {
			return unsupported("temporary objects")
		}
	}
	return stmtInfo{class: ClassWrite}
}

func (p *statementParser) discard() stmtInfo {
	t := p.nextToken()
	switch {
	case t.is("all"):
		return stmtInfo{class: ClassLocal, local: localDiscardAll}
	case t.is("plans"), t.is("sequences"):
		return stmtInfo{class: ClassRead}
	default:
		return unsupported("temporary objects")
	}
}

func (p *statementParser) reset() stmtInfo {
	name := p.name()
	if name == "all" {
		return stmtInfo{class: ClassLocal, local: localResetAll}
	}
	return assignment(setting{name: name, useDefault: true})
}

// set classifies SET in the forms that PostgreSQL documents.
func (p *statementParser) set() stmtInfo {
	t := p.nextToken()
	switch {
	case t.is("local"):
		return p.setLocal()
	case t.is("transaction"), t.is("constraints"):
		return stmtInfo{class: ClassRead}
	case t.is("session"):
		t = p.nextToken()
		if t.is("characteristics") || t.is("authorization") {
			return unsupported("SET SESSION " + strings.ToUpper(string(t.text)))
		}
	}
	name := p.nameFrom(t)
	switch name {
	case "time":
		p.nextToken()
		name = "timezone"
		return assignment(p.value(name, p.nextToken()))
	case "names":
		return assignment(p.value("client_encoding", p.nextToken()))
	}
	if t := p.nextToken(); !t.symbol('=') && !t.is("to") {
		return unsupported("SET of the untracked parameter " + name)
	}
	return assignment(p.value(name, p.nextToken()))
}

// setLocal classifies SET LOCAL. It accepts any parameter, because the value
// only lasts until the end of the transaction.
func (p *statementParser) setLocal() stmtInfo {
	name := p.name()
	if !strings.HasPrefix(name, settingPrefix) {
		return stmtInfo{class: ClassRead}
	}
	p.nextToken()
	return assignment(p.value(name, p.nextToken()))
}

// value reads the rest of the statement, beginning with t, as the value of a
// parameter. The elements of a list, as in search_path, are joined by commas.
func (p *statementParser) value(name string, t token) setting {
	if t.is("default") {
		return setting{name: name, useDefault: true}
	}
	var b strings.Builder
	for ; t.kind != tokenEnd; t = p.nextToken() {
		switch {
		case t.kind == tokenString:
			b.WriteString(unquote(t.text, '\''))
		case t.kind == tokenQuoted && t.text[0] == '"':
			b.Write(t.text)
		case t.symbol(','):
			b.WriteString(", ")
		default:
			b.Write(t.text)
		}
	}
	return setting{name: name, value: b.String()}
}

// unquote returns the content of a quoted constant or identifier. Other text,
// including constants with a prefix, is returned unchanged; the instance refuses
// it if it is not a valid value.
func unquote(text []byte, quote byte) string {
	if len(text) < 2 || text[0] != quote || text[len(text)-1] != quote {
		return string(text)
	}
	q := []byte{quote}
	return string(bytes.ReplaceAll(text[1:len(text)-1], append(q, quote), q))
}

func (p *statementParser) name() string { return p.nameFrom(p.nextToken()) }

// nameFrom reads a parameter name that begins with t, including the prefix of
// the proxy's own settings.
func (p *statementParser) nameFrom(t token) string {
	name := strings.ToLower(unquote(t.text, '"'))
	if name+"." != settingPrefix {
		return name
	}
	if !p.nextToken().symbol('.') {
		return name
	}
	return name + "." + strings.ToLower(unquote(p.nextToken().text, '"'))
}

// assignment classifies SET and RESET of one parameter.
func assignment(s setting) stmtInfo {
	if strings.HasPrefix(s.name, settingPrefix) {
		return stmtInfo{class: ClassLocal, local: localSet, settings: []setting{s}}
	}
	if _, ok := trackedParameters[s.name]; !ok {
		return unsupported("SET of the untracked parameter " + s.name)
	}
	return stmtInfo{class: ClassSet, settings: []setting{s}}
}
