package frontend

import (
	"crypto/tls"
	"encoding/binary"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bramleylever/bramleylever/internal/wire"
)

// Request codes, which begin the messages that have no type byte.
const (
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
	protocolMajor     = 3
	// maxEncryptionRequests is the maximum number of encryption requests before
	// the start-up message: a client asks for GSS encryption and TLS at most
	// once each.
	maxEncryptionRequests = 2
)

// startupParameters are the parameters of the start-up message.
type startupParameters struct {
	user     string
	database string
	settings []setting
}

// startup runs the start-up phase of the connection, with authentication. It
// returns false if the connection must be closed.
func (s *session) startup() bool {
	_ = s.net.SetDeadline(time.Now().Add(s.srv.cfg.LoginTimeout))
	body, ok := s.readStartupPacket()
	if !ok {
		return false
	}
	p, refused := parseStartup(body)
	if refused != nil {
		s.fatal(refused)
		return false
	}
	if !s.negotiateVersion(body) {
		return false
	}
	l, refused := s.authenticate(p.user, p.database)
	if refused != nil {
		s.fatal(refused)
		return false
	}
	route := s.srv.cfg.Feed.Current().Routes[l.route]
	s.st = newState(l.database, route.MaxStaleness, s.srv.cfg.MaxMessageBytes)
	if refused := s.st.applyStartup(p.settings); refused != nil {
		s.fatal(refused)
		return false
	}
	s.login.Store(l)
	return s.completeStartup(p.user)
}

// readStartupPacket handles encryption and cancel requests and returns the body
// of the start-up message.
func (s *session) readStartupPacket() ([]byte, bool) {
	for range maxEncryptionRequests + 1 {
		body, err := s.in.NextStartup()
		if err != nil {
			s.fatal(readFailure(err))
			return nil, false
		}
		switch code := binary.BigEndian.Uint32(body); {
		case code == sslRequestCode:
			if !s.startTLS() {
				return nil, false
			}
		case code == gssRequestCode:
			if _, err := s.net.Write([]byte{'N'}); err != nil {
				return nil, false
			}
		case code == cancelRequestCode:
			s.cancelRequest(body)
			return nil, false
		case code>>16 == protocolMajor:
			return body, true
		default:
			s.fatal(&sqlError{"0A000", "unsupported frontend protocol version"})
			return nil, false
		}
	}
	s.fatal(protocolViolation("too many encryption requests"))
	return nil, false
}

// startTLS handles SSLRequest. It closes the connection if the caller sent
// plaintext bytes after SSLRequest, because they would be processed as if they
// had been received encrypted.
func (s *session) startTLS() bool {
	if s.in.Buffered() > 0 {
		s.fatal(protocolViolation("data after SSLRequest"))
		return false
	}
	if s.srv.cfg.TLS == nil || s.encrypted {
		_, err := s.net.Write([]byte{'N'})
		return err == nil
	}
	if _, err := s.net.Write([]byte{'S'}); err != nil {
		return false
	}
	secured := tls.Server(s.net, s.srv.cfg.TLS)
	if err := secured.Handshake(); err != nil {
		return false
	}
	s.mu.Lock()
	s.net = secured
	s.mu.Unlock()
	s.encrypted = true
	s.in.Reset(secured)
	s.out.Reset(&deadlineWriter{secured, s.ending})
	return true
}

// negotiateVersion tells a caller that asks for a newer minor version to use
// protocol version 3.0.
func (s *session) negotiateVersion(body []byte) bool {
	if binary.BigEndian.Uint32(body)&0xffff == 0 {
		return true
	}
	b, at := wire.Begin(nil, 'v')
	b = binary.BigEndian.AppendUint32(b, protocolMajor<<16)
	b = binary.BigEndian.AppendUint32(b, 0)
	return s.out.Add(wire.End(b, at)) == nil
}

// parseStartup parses the start-up message without its length field.
func parseStartup(body []byte) (startupParameters, *sqlError) {
	var p startupParameters
	rest := body[4:]
	for len(rest) > 0 && rest[0] != 0 {
		name, after, ok := wire.CString(rest)
		if !ok {
			return p, protocolViolation("start-up message with an unterminated name")
		}
		value, next, ok := wire.CString(after)
		if !ok {
			return p, protocolViolation("start-up parameter %q without a value", name)
		}
		rest = next
		if refused := p.set(string(name), string(value)); refused != nil {
			return p, refused
		}
	}
	if len(rest) != 1 {
		return p, protocolViolation("start-up message is not terminated")
	}
	if p.user == "" {
		return p, &sqlError{"28000", "no key id given: the user name must be a key id"}
	}
	if p.database == "" {
		p.database = p.user
	}
	return p, nil
}

func (p *startupParameters) set(name, value string) *sqlError {
	switch {
	case name == "user":
		p.user = value
	case name == "database":
		p.database = value
	case name == "options":
		return p.parseOptions(value)
	case name == "replication":
		if value != "false" && value != "0" && value != "off" && value != "no" {
			return &sqlError{"0A000", "replication connections are not supported"}
		}
	case strings.HasPrefix(name, "_pq_."):
		// Protocol extensions are optional; none is supported.
	default:
		p.settings = append(p.settings, setting{name: strings.ToLower(name), value: value})
	}
	return nil
}

// parseOptions parses command-line options of the forms -c name=value and
// --name=value; a backslash escapes a space in a value.
func (p *startupParameters) parseOptions(text string) *sqlError {
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		var assignment string
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			assignment = words[i]
		case strings.HasPrefix(word, "--"):
			assignment = word[2:]
		case strings.HasPrefix(word, "-c") && len(word) > 2:
			assignment = word[2:]
		default:
			return &sqlError{"0A000", "start-up option \"" + word + "\" is not supported"}
		}
		name, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return protocolViolation("start-up option %q is not name=value", assignment)
		}
		name = strings.ReplaceAll(strings.ToLower(name), "-", "_")
		p.settings = append(p.settings, setting{name: name, value: value})
	}
	return nil
}

// splitOptions splits command-line options at white space that is not escaped.
func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	escaped, inWord := false, false
	for _, c := range []byte(text) {
		switch {
		case escaped:
			word.WriteByte(c)
			escaped = false
		case c == '\\':
			escaped, inWord = true, true
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f' || c == '\v':
			if inWord {
				words = append(words, word.String())
				word.Reset()
			}
			inWord = false
		default:
			word.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

// applyStartup applies the settings of the start-up message and refuses those
// that cannot be tracked per session.
func (s *state) applyStartup(settings []setting) *sqlError {
	for _, v := range settings {
		if strings.HasPrefix(v.name, settingPrefix) {
			if refused := s.applySetting(v.name, v.value, false); refused != nil {
				return refused
			}
			continue
		}
		if _, ok := trackedParameters[v.name]; !ok {
			return &sqlError{"0A000", "start-up parameter \"" + v.name + "\" is not supported with transaction pooling"}
		}
		s.setParameter(v)
	}
	return nil
}

// completeStartup sends the messages that end the start-up phase:
// AuthenticationOk, the reported parameters, the cancel key and ReadyForQuery.
func (s *session) completeStartup(user string) bool {
	b := append(s.out.Buffer(), 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, v := range s.reportedParameters(user) {
		b = wire.AppendParameterStatus(b, v.name, v.value)
	}
	key := pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.secret}
	b, err := key.Encode(b)
	if err != nil {
		return false
	}
	s.out.SetBuffer(wire.AppendReadyForQuery(b, 'I'))
	if s.out.Flush() != nil {
		return false
	}
	s.setReadDeadline(time.Time{})
	return true
}

// reportedParameters returns the parameters that a server reports at the end of
// the start-up phase: PostgreSQL's defaults, unless the session set others.
func (s *session) reportedParameters(user string) []setting {
	reported := []setting{
		{name: "server_version", value: s.srv.cfg.ServerVersion},
		{name: "server_encoding", value: "UTF8"},
		{name: "client_encoding", value: "UTF8"},
		{name: "application_name"},
		{name: "DateStyle", value: "ISO, MDY"},
		{name: "TimeZone", value: "UTC"},
		{name: "IntervalStyle", value: "postgres"},
		{name: "integer_datetimes", value: "on"},
		{name: "standard_conforming_strings", value: "on"},
		{name: "is_superuser", value: "off"},
		{name: "session_authorization", value: user},
	}
	for i := range reported {
		if v, ok := s.st.parameters[strings.ToLower(reported[i].name)]; ok {
			reported[i].value = v
		}
	}
	return reported
}
