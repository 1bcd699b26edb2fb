package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	maxFaultsBytes    = 64 << 10
	readHeaderTimeout = 2 * time.Second
)

// Admin is an HTTP endpoint through which other processes read and set the faults
// (GET and POST /faults), restore a stand-in from an older copy (POST
// /restore?lost_ms=N) and read its call counts (GET /calls).
type Admin struct {
	listener net.Listener
	server   *http.Server
}

// ServeAdmin starts the admin endpoint; with port 0 the kernel chooses the port.
func (s *Server) ServeAdmin(address string) (*Admin, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: address %s: %w", address, err)
	}
	a := &Admin{
		listener: listener,
		server:   &http.Server{Handler: s.adminHandler(), ReadHeaderTimeout: readHeaderTimeout},
	}
	go func() { _ = a.server.Serve(listener) }()
	return a, nil
}

// Address returns the address that the endpoint listens on.
func (a *Admin) Address() string { return a.listener.Addr().String() }

// Close stops the endpoint.
func (a *Admin) Close() error { return a.server.Close() }

func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Faults())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		f, err := decodeFaults(http.MaxBytesReader(w, r.Body, maxFaultsBytes))
		if err == nil {
			err = s.SetFaults(f)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, s.Faults())
	})
	mux.HandleFunc("POST /restore", func(w http.ResponseWriter, r *http.Request) {
		lost, err := strconv.ParseUint(r.FormValue("lost_ms"), 10, 32)
		if err != nil {
			http.Error(w, "lost_ms: a number of milliseconds is required", http.StatusBadRequest)
			return
		}
		s.Restore(time.Duration(lost) * time.Millisecond)
		writeJSON(w, map[string]int64{"revision": s.Revision()})
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.CallsByClient())
	})
	return mux
}

// decodeFaults reads exactly one JSON object and rejects unknown fields.
func decodeFaults(r io.Reader) (Faults, error) {
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil {
		return Faults{}, fmt.Errorf("decode faults: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Faults{}, errors.New("decode faults: data after the object")
	}
	return f, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
