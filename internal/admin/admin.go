// Package admin serves the health, readiness, metrics and status of one proxy over HTTP, using
// go-zero's rest server.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/bramleylever/bramleylever/internal/telemetry"
)

// startTimeout limits how long Start waits until the server listens.
const startTimeout = 5 * time.Second

// maxDrainTimeout is the largest value of drain.timeout that the settings allow. It replaces the
// shutdown times of go-zero, which by default stops this server 1 s and the process 5.5 s after
// SIGTERM, before a drain is complete.
const maxDrainTimeout = 10 * time.Minute

// Readiness is the response to a readiness check of the load balancer.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is why the host is not ready; it is empty if Ready is set.
	Reason string `json:"reason,omitempty"`
}

// Config configures the server.
type Config struct {
	// Address is the listen address: an IP address and a port. Port 0 means a port that the
	// kernel selects.
	Address string
	// Ready is called for each readiness check.
	Ready func() Readiness
	// Status returns the value that /status serves as JSON.
	Status   func() any
	Registry metrics.Registry
}

// Server is a running admin server.
type Server struct {
	config  Config
	rest    *rest.Server
	address net.Addr
}

// Start starts a server, which runs until Stop. It returns once the server listens.
func Start(config Config) (*Server, error) {
	at, err := netip.ParseAddrPort(config.Address)
	if err != nil {
		return nil, fmt.Errorf("admin server: address %q: %w", config.Address, err)
	}
	server, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "admin",
			Mode:     service.ProMode,
			Log:      logx.LogConf{Mode: "console", Level: "info"},
			Shutdown: proc.ShutdownConf{WrapUpTime: maxDrainTimeout, WaitTime: maxDrainTimeout + time.Minute},
		},
		Host:     at.Addr().String(),
		Port:     int(at.Port()),
		MaxConns: 100,
		MaxBytes: 1 << 16,
		Timeout:  3000,
		Middlewares: rest.MiddlewaresConf{
			Recover:  true,
			MaxConns: true,
			MaxBytes: true,
		},
	})
	if err != nil {
		return nil, fmt.Errorf("admin server: %w", err)
	}
	s := &Server{config: config, rest: server}
	s.addRoutes()
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// listen starts the rest server and waits until it listens. The rest server creates its own
// listener, so the address is taken from the BaseContext callback.
func (s *Server) listen() error {
	bound := make(chan net.Addr, 1)
	failed := make(chan error, 1)
	go func() {
		defer func() {
			// The rest server panics if it cannot listen.
			if reason := recover(); reason != nil {
				failed <- fmt.Errorf("admin server: listen on %s: %v", s.config.Address, reason)
			}
		}()
		s.rest.StartWithOpts(func(server *http.Server) {
			server.BaseContext = func(l net.Listener) context.Context {
				bound <- l.Addr()
				return context.Background()
			}
		})
		failed <- errors.New("admin server: stopped")
	}()
	select {
	case s.address = <-bound:
		return nil
	case err := <-failed:
		return err
	case <-time.After(startTimeout):
		return fmt.Errorf("admin server: no listener on %s within %s", s.config.Address, startTimeout)
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.address.String() }

// Stop stops the server.
func (s *Server) Stop() { s.rest.Stop() }

func (s *Server) addRoutes() {
	get := func(path string, handler http.HandlerFunc) {
		s.rest.AddRoute(rest.Route{Method: http.MethodGet, Path: path, Handler: handler})
	}
	get("/health/live", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]bool{"live": true})
	})
	get("/health/ready", s.handleReady)
	get("/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.config.Status())
	})
	get("/metrics.json", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		telemetry.WriteJSON(s.config.Registry, w)
	})
	get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = telemetry.WritePrometheus(s.config.Registry, w)
	})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	ready := s.config.Ready()
	code := http.StatusOK
	if !ready.Ready {
		code = http.StatusServiceUnavailable
	}
	writeJSON(w, code, ready)
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(body, '\n'))
}
