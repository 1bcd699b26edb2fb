//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store, in the form of the pages.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// storeCall is a conditional change of the store.
type storeCall struct {
	Precondition []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"precondition"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

// store is a stand-in for the platform's store.
type store struct {
	record *recorder
	// loseAnswer says whether a change that was done is not answered; nil means never.
	loseAnswer func(storeCall) bool

	mu        sync.Mutex
	revision  int64
	items     map[string]storeItem
	history   []storeItem
	leases    map[int64]*storeLease
	nextLease int64
	changed   chan struct{}
	writes    int
	lost      int
}

func newStore(record *recorder) *store {
	s := &store{record: record, revision: 1, items: map[string]storeItem{}, leases: map[int64]*storeLease{}, nextLease: 1000, changed: make(chan struct{})}
	go s.expire()
	return s
}

// expire removes the keys of leases that have run out.
func (s *store) expire() {
	for {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, it := range s.items {
		if it.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

// change applies puts and deletes as one revision. The caller holds the lock.
func (s *store) change(puts []storeItem, deletes []string) int64 {
	s.revision++
	for _, it := range puts {
		it.Revision, it.Created = s.revision, s.revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
		s.history = append(s.history, it)
	}
	for _, key := range deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// put is a change by the operator or by an instance.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change([]storeItem{{Key: key, Value: value}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(nil, []string{key})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(names.GenerationHeader, "1")
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, names.StorePath), "/")
	switch call {
	case "key":
		s.serveKey(w, r)
	case "range":
		s.serveRange(w, r)
	case "watch":
		s.serveWatch(w, r)
	case "txn":
		s.serveTxn(w, r)
	case "lease":
		s.serveLease(w, r)
	case "keep", "lease-end":
		s.serveLeaseID(w, call, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	asOf := s.revision
	s.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusNotFound
	}
	reply(w, status, struct {
		storeItem
		AsOf int64 `json:"as_of"`
	}{it, asOf})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []storeItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	asOf := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-timeout:
				done = true
			}
		}
		if done {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var call storeCall
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	status, body := s.runTxn(call)
	lose := status == http.StatusOK && s.loseAnswer != nil && s.loseAnswer(call)
	if lose {
		s.lost++
	}
	s.mu.Unlock()
	if lose {
		s.record.add("store: done, the answer is lost: %s", describe(call))
		// The connection returns nothing further.
		select {
		case <-r.Context().Done():
		case <-time.After(30 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	reply(w, status, body)
}

func describe(call storeCall) string {
	var words []string
	for _, p := range call.Puts {
		words = append(words, "put "+p.Key)
	}
	for _, d := range call.Deletes {
		words = append(words, "delete "+d)
	}
	return strings.Join(words, ", ")
}

// runTxn runs a change. The caller holds the lock.
func (s *store) runTxn(call storeCall) (status int, body any) {
	for _, p := range call.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	met, current := true, []storeItem{}
	for _, c := range call.Precondition {
		it, ok := s.items[c.Key]
		met = met && it.Revision == c.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	var puts []storeItem
	for _, p := range call.Puts {
		puts = append(puts, storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	return http.StatusOK, map[string]any{"revision": s.change(puts, call.Deletes)}
}

type leaseBody struct {
	Lease int64 `json:"lease,omitempty"`
	TTLMS int64 `json:"ttl_ms"`
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var body leaseBody
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.writes++
	s.nextLease++
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.leases[s.nextLease] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	body.Lease = s.nextLease
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) serveLeaseID(w http.ResponseWriter, call, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if call == "lease-end" {
		s.endLease(id)
		reply(w, http.StatusOK, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, leaseBody{TTLMS: l.ttl.Milliseconds()})
}
