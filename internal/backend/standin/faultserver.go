package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxFaultBytes bounds the size of a request body.
const maxFaultBytes = 64 << 10

// faultState is the body of requests and responses: the settings, and whether the
// instance is killed.
type faultState struct {
	Settings
	// Killed stops the instance as Close does. Setting it to false starts the instance
	// again at the same address.
	Killed bool `json:"killed"`
}

// FaultServer is an HTTP server that changes the settings of an instance. Tests use it
// when instances run in processes of their own.
type FaultServer struct {
	inst     *Instance
	listener net.Listener
	server   *http.Server
	address  string // address for a restart of the instance
}

// ServeFaults serves GET and POST /faults on addr. A POST changes only the fields that
// its body contains.
func (i *Instance) ServeFaults(addr string) (*FaultServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("fault address: %w", err)
	}
	f := &FaultServer{inst: i, listener: listener, address: i.Address()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", f.show)
	mux.HandleFunc("POST /faults", f.change)
	f.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

// Address returns the host and port on which the server listens.
func (f *FaultServer) Address() string { return f.listener.Addr().String() }

// Close stops the server.
func (f *FaultServer) Close() error { return f.server.Close() }

func (f *FaultServer) state() faultState {
	return faultState{Settings: f.inst.Settings(), Killed: f.inst.Address() == ""}
}

func (f *FaultServer) show(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(f.state())
}

func (f *FaultServer) change(w http.ResponseWriter, r *http.Request) {
	next := f.state()
	wasKilled := next.Killed
	if err := decodeFaults(http.MaxBytesReader(w, r.Body, maxFaultBytes), &next); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.inst.Update(func(s *Settings) { *s = next.Settings }); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	if err := f.setKilled(wasKilled, next.Killed); err != nil {
		http.Error(w, "faults: "+err.Error(), http.StatusInternalServerError)
		return
	}
	f.show(w, r)
}

func (f *FaultServer) setKilled(before, after bool) error {
	switch {
	case after && !before:
		return f.inst.Close()
	case before && !after:
		return f.inst.Start(f.address)
	}
	return nil
}

// decodeFaults decodes a single JSON object into state. Fields that the object doesn't
// contain keep their values.
func decodeFaults(body io.Reader, state *faultState) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(state); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON object")
	}
	return state.validate()
}
