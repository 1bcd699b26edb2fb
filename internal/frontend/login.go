package frontend

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/bramleylever/bramleylever/internal/records"
	"github.com/bramleylever/bramleylever/internal/wire"
)

// anonymousUser needs no key on routes that are open to all.
const anonymousUser = "anonymous"

const scramMechanism = "SCRAM-SHA-256"

// mockIterations is the iteration count shown for unknown keys; it is the
// usual one of PostgreSQL.
const mockIterations = 4096

// login is who a session works for. It is immutable.
type login struct {
	route    string
	database string
	account  string
	// keyID is empty for the anonymous user.
	keyID string
	// storedKey is the verifier that the session proved to know.
	storedKey []byte
}

// valid reports whether the login would still be accepted.
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

// checkLogin verifies the login of a session at the start of each request.
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

// authenticate checks the caller's key or lets the anonymous user in.
func (s *session) authenticate(user, routeName string) (*login, *sqlError) {
	snapshot := s.srv.cfg.Feed.Current()
	route, routeKnown := snapshot.Routes[routeName]
	l := &login{route: routeName, database: route.Database}
	if user == anonymousUser && route.Open {
		l.account = route.Account
		return l, nil
	}
	key, known := snapshot.Keys[user]
	if refused := s.scram(user, key, known); refused != nil {
		return nil, refused
	}
	if key.Withdrawn {
		return nil, &sqlError{"28000", "the key was withdrawn"}
	}
	if !routeKnown {
		return nil, &sqlError{"3D000", "route \"" + routeName + "\" does not exist"}
	}
	l.account, l.keyID, l.storedKey = key.Account, key.ID, key.StoredKey
	// The key can have been withdrawn during the exchange.
	return l, s.srv.checkLogin(l, s.srv.cfg.Feed.Current())
}

// scram runs the server side of SCRAM-SHA-256. An unknown key gets the same
// exchange as a known one, so that callers cannot find out which keys exist.
func (s *session) scram(user string, key records.Key, known bool) *sqlError {
	wrong := &sqlError{"28P01", "authentication failed for key \"" + user + "\""}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return s.srv.credentials(user, key, known), nil
	})
	if err != nil {
		return wrong
	}
	conversation := server.NewConversation()
	if err := s.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return wrong
	}
	first, refused := s.saslInitial()
	if refused != nil {
		return refused
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return wrong
	}
	if err := s.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return wrong
	}
	proof, refused := s.passwordMessage()
	if refused != nil {
		return refused
	}
	verifier, err := conversation.Step(string(proof))
	if err != nil || !conversation.Valid() || !known {
		return wrong
	}
	if err := s.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(verifier)}); err != nil {
		return wrong
	}
	return nil
}

func (s *Server) credentials(user string, key records.Key, known bool) scram.StoredCredentials {
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

func (s *session) passwordMessage() ([]byte, *sqlError) {
	kind, frame, err := s.in.Next()
	if err != nil {
		return nil, readFailure(err)
	}
	if kind != 'p' {
		return nil, protocolViolation("expected an authentication message, got type %q", kind)
	}
	return frame[wire.HeaderBytes:], nil
}

func (s *session) saslInitial() (string, *sqlError) {
	body, refused := s.passwordMessage()
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

// readFailure turns an error of the framing into an answer to the caller; it
// is nil-safe for callers that are gone.
func readFailure(err error) *sqlError {
	switch {
	case errors.Is(err, wire.ErrTooLarge):
		return &sqlError{"54000", "not run: " + err.Error()}
	case errors.Is(err, wire.ErrMalformed), errors.Is(err, wire.ErrTruncated):
		return protocolViolation("%v", err)
	default:
		return &sqlError{"08006", "read from caller: " + err.Error()}
	}
}
