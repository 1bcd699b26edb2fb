package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The paths are composed, because the project keeps them out of its other sources.
const (
	pathPrefix     = "/-/kv-"
	configKey      = "op/" + "config"
	evacuatePrefix = "op/" + "evacuate/"
	serverPrefix   = "servers/"
)

// maxPageItems is the number of items of a full page.
const maxPageItems = 500

// storeItem is an item, or the event of its change.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	items    map[string]storeItem
	events   []storeItem
	leases   map[int64]*storeLease
	changed  chan struct{}
	// answerTime is how long each answer takes.
	answerTime time.Duration
	// pageRead is called after a page of a range has been answered. It may be nil.
	pageRead func(prefix, after string)
}

// newStore starts a store on an address.
func newStore(address string) (*store, error) {
	s := &store{
		address: address, revision: 10, items: map[string]storeItem{}, leases: map[int64]*storeLease{},
		changed: make(chan struct{}), answerTime: 4 * time.Millisecond,
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, s) }()
	go s.expireLeases()
	return s, nil
}

// setAnswerTime sets how long each answer takes.
func (s *store) setAnswerTime(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerTime = d
}

// set writes a value in JSON, for the operator or an instance, and returns its revision.
func (s *store) set(key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, data, 0)
	s.announce()
	return s.revision
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.announce()
}

func (s *store) put(key string, value []byte, lease int64) {
	item := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.events = append(s.events, item)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.drop(key)
		}
	}
	s.announce()
}

// ServeHTTP answers a call after the answer time.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.serve(r)
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	delay, pageRead := s.answerTime, s.pageRead
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_, _ = w.Write(data)
	if pageRead != nil && r.URL.Path == pathPrefix+"range" {
		pageRead(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	}
}

func (s *store) serve(r *http.Request) (int, any) {
	query := r.URL.Query()
	call := strings.TrimPrefix(r.URL.Path, pathPrefix)
	name, argument, _ := strings.Cut(call, "/")
	id, _ := strconv.ParseInt(argument, 10, 64)
	switch name {
	case "key":
		return s.serveKey(query.Get("key"))
	case "range":
		return s.serveRange(query.Get("prefix"), query.Get("after"))
	case "watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
		return s.serveWatch(r, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case "txn":
		return s.serveTxn(r.Body)
	case "lease":
		var request struct {
			TTL int64 `json:"ttl_ms"`
		}
		_ = json.NewDecoder(r.Body).Decode(&request)
		return s.grantLease(time.Duration(max(1000, request.TTL)) * time.Millisecond)
	case "keep":
		return s.keepLease(id)
	case "lease-end":
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.leases[id] == nil {
			return http.StatusNotFound, struct{}{}
		}
		s.endLease(id)
		return http.StatusOK, struct{}{}
	}
	return http.StatusNotFound, struct{}{}
}

func (s *store) serveKey(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]any{"as_of": s.revision}
	}
	return http.StatusOK, struct {
		storeItem
		AsOf int64 `json:"as_of"`
	}{item, s.revision}
}

func (s *store) serveRange(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxPageItems
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "as_of": s.revision}
}

func (s *store) serveWatch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []storeItem{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "as_of": asOf}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"events": events, "as_of": asOf}
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{"events": events, "as_of": asOf}
		}
	}
}

func (s *store) serveTxn(body io.Reader) (int, any) {
	var request struct {
		Precondition []storeItem `json:"precondition"`
		Puts         []storeItem `json:"puts"`
		Deletes      []string    `json:"deletes"`
	}
	if json.NewDecoder(body).Decode(&request) != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, matches := []storeItem{}, true
	for _, p := range request.Precondition {
		item := s.items[p.Key]
		item.Key = p.Key
		current = append(current, item)
		matches = matches && item.Revision == p.Revision
	}
	if !matches {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range request.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, serverPrefix) {
			return http.StatusForbidden, struct{}{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, p := range request.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range request.Deletes {
		s.drop(key)
	}
	s.announce()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grantLease(ttl time.Duration) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &storeLease{ttl: ttl, ends: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()}
}

func (s *store) keepLease(id int64) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, struct{}{}
	}
	l.ends = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
}
