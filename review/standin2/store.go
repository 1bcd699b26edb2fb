//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as it appears in answers.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// kvStore is a stand-in for the platform's metadata store. It keeps its whole history.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[int64]*kvLease
	nextID   int64
}

type kvLease struct {
	ttl  time.Duration
	ends time.Time
}

const firstRevision = 100

func newStore() *kvStore {
	s := &kvStore{
		revision: firstRevision, items: map[string]item{}, changed: make(chan struct{}),
		leases: map[int64]*kvLease{}, nextID: 1000,
	}
	go s.expireLeases()
	return s
}

func (s *kvStore) expireLeases() {
	for range time.Tick(50 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

// change applies one change. The caller holds the lock.
func (s *kvStore) change(puts []item, deletes []string) int64 {
	s.revision++
	for _, p := range puts {
		p.Revision, p.Created = s.revision, s.revision
		if old, ok := s.items[p.Key]; ok {
			p.Created = old.Created
		}
		s.items[p.Key] = p
		s.history = append(s.history, p)
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put writes a key as the operator or an instance does.
func (s *kvStore) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]item{{Key: key, Value: data}}, nil)
}

// remove deletes a key as the platform does.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(nil, []string{key})
}

func (s *kvStore) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc(names["get"], s.get)
	mux.HandleFunc(names["list"], s.list)
	mux.HandleFunc(names["watch"], s.watch)
	mux.HandleFunc(names["txn"], s.txn)
	mux.HandleFunc(names["grant"], s.grant)
	mux.HandleFunc(names["keep"], s.keep)
	mux.HandleFunc(names["end"], s.end)
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names["era"], "1")
		mux.ServeHTTP(w, r)
	}))
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"as_of": s.revision})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{i, s.revision})
}

const pageItems = 500

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	answer(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageItems)], "has_more": more, "as_of": s.revision})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"precondition"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	failed := false
	for _, p := range request.Precondition {
		i, ok := s.items[p.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Revision != p.Revision
	}
	if failed {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range request.Puts {
		if strings.HasPrefix(p.Key, names["operator"]) || strings.HasPrefix(p.Key, names["servers"]) {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.change(request.Puts, request.Deletes)})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(max(request.TTL, 1000)) * time.Millisecond
	s.leases[s.nextID] = &kvLease{ttl: ttl, ends: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": ttl.Milliseconds()})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.ends = time.Now().Add(l.ttl)
	answer(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.endLease(id)
	answer(w, http.StatusOK, map[string]any{})
}
