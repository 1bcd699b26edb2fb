package frontend

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/bramleylever/bramleylever/internal/membudget"
	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// anonymousUser is the user name that needs no key on open routes.
const anonymousUser = "anonymous"

const scramMechanism = "SCRAM-SHA-256"

// mockIterations is the SCRAM iteration count sent for unknown keys. It is the
// default of PostgreSQL, so that the count does not reveal that a key is unknown.
const mockIterations = 4096

// login is the authenticated identity of a session. It is immutable.
type login struct {
	route    string
	database string
	account  string
	// keyID is empty for the anonymous user.
	keyID string
	// storedKey is the SCRAM StoredKey that the caller's proof was verified
	// against.
	storedKey []byte
}

// valid reports whether the login would still be accepted under a snapshot.
func (l *login) valid(snapshot *records.Snapshot) bool {
	route, ok := snapshot.Routes[l.route]
	if !ok || route.Database != l.database {
		return false
	}
	if l.keyID == "" {
		return route.Open && route.Account == l.account
	}
	key, ok := snapshot.Keys[l.keyID]
	return ok && !key.Withdrawn && key.Account == l.account && bytes.Equal(key.StoredKey, l.storedKey)
}

// checkLogin verifies at the start of each request that the session's login is
// still valid and that this host's configuration is confirmed.
func (s *Server) checkLogin(l *login, snapshot *records.Snapshot) *sqlError {
	if !l.valid(snapshot) {
		return &sqlError{"57P01", "not run: the key or the route was withdrawn"}
	}
	if !s.confirmed(l, snapshot) {
		return &sqlError{"28000", "not run: this host could not confirm its configuration in time"}
	}
	return nil
}

func (s *Server) confirmed(l *login, snapshot *records.Snapshot) bool {
	if l.keyID == "" || s.cfg.Confirmed == nil || snapshot.Accounts[l.account].ServeUnconfirmed {
		return true
	}
	return s.cfg.Confirmed(s.cfg.Now())
}

// authenticate verifies the caller's key, or accepts the anonymous user on an
// open route.
func (s *session) authenticate(user, routeName string) (*login, *sqlError) {
	snapshot := s.srv.cfg.Feed.Current()
	route, routeKnown := snapshot.Routes[routeName]
	l := &login{route: routeName, database: route.Database}
	if user == anonymousUser && route.Open {
		l.account = route.Account
		return l, nil
	}
	key, known := snapshot.Keys[user]
	if refused := s.authenticateSCRAM(user, key, known); refused != nil {
		return nil, refused
	}
	if key.Withdrawn {
		return nil, &sqlError{"28000", "the key was withdrawn"}
	}
	if !routeKnown {
		return nil, &sqlError{"3D000", "route \"" + routeName + "\" does not exist"}
	}
	l.account, l.keyID, l.storedKey = key.Account, key.ID, key.StoredKey
	// The key may have been withdrawn during the SCRAM exchange.
	return l, s.srv.checkLogin(l, s.srv.cfg.Feed.Current())
}

// authenticateSCRAM runs the server side of SCRAM-SHA-256. For an unknown key,
// it runs the same exchange as for a known one, so that callers cannot find out
// which keys exist.
func (s *session) authenticateSCRAM(user string, key records.Key, known bool) *sqlError {
	authFailed := &sqlError{"28P01", "authentication failed for key \"" + user + "\""}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return s.srv.scramCredentials(user, key, known), nil
	})
	if err != nil {
		return authFailed
	}
	conversation := server.NewConversation()
	if err := s.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return authFailed
	}
	first, refused := s.readSASLInitialResponse()
	if refused != nil {
		return refused
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return authFailed
	}
	if err := s.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return authFailed
	}
	proof, refused := s.readPasswordMessage()
	if refused != nil {
		return refused
	}
	verifier, err := conversation.Step(string(proof))
	if err != nil || !conversation.Valid() || !known {
		return authFailed
	}
	if err := s.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(verifier)}); err != nil {
		return authFailed
	}
	return nil
}

// scramCredentials returns the credentials of a key. Those of an unknown key are
// derived from its name, so that its salt is the same at each attempt.
func (s *Server) scramCredentials(user string, key records.Key, known bool) scram.StoredCredentials {
	if known {
		return scram.StoredCredentials{
			KeyFactors: scram.KeyFactors{Salt: string(key.Salt), Iters: key.Iterations},
			StoredKey:  key.StoredKey,
			ServerKey:  key.ServerKey,
		}
	}
	mac := hmac.New(sha256.New, s.mockSalt)
	_, _ = mac.Write([]byte(user))
	sum := mac.Sum(nil)
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(sum[:16]), Iters: mockIterations},
		StoredKey:  make([]byte, sha256.Size),
		ServerKey:  sum,
	}
}

func (s *session) readPasswordMessage() ([]byte, *sqlError) {
	kind, frame, err := s.in.Next()
	if err != nil {
		return nil, readFailure(err)
	}
	if kind != 'p' {
		return nil, protocolViolation("expected an authentication message, got type %q", kind)
	}
	return frame[wire.HeaderBytes:], nil
}

func (s *session) readSASLInitialResponse() (string, *sqlError) {
	body, refused := s.readPasswordMessage()
	if refused != nil {
		return "", refused
	}
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(body); err != nil {
		return "", protocolViolation("SASLInitialResponse: %v", err)
	}
	if m.AuthMechanism != scramMechanism {
		return "", &sqlError{"28000", "authentication mechanism \"" + m.AuthMechanism + "\" is not offered"}
	}
	return string(m.Data), nil
}

// readFailure converts an error of reading from the caller into the SQL error to
// send. If the caller has disconnected, sending that error fails without effect.
func readFailure(err error) *sqlError {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return &sqlError{"54000", "not run: " + err.Error()}
	case errors.Is(err, membudget.ErrExhausted):
		return &sqlError{"53200", "not run: " + err.Error()}
	case errors.Is(err, wire.ErrMalformed), errors.Is(err, wire.ErrTruncated):
		return protocolViolation("%v", err)
	default:
		return &sqlError{"08006", "read from caller: " + err.Error()}
	}
}
