//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxMessageBytes = 1 << 20
	heartbeat       = 1200 * time.Millisecond
	promoteTime     = 300 * time.Millisecond
	workTime        = 3 * time.Millisecond
	maxConns        = 22
	slots           = 3
)

// entry is one committed write.
type entry struct {
	term       uint64
	item, data string
	receivedAt time.Time
}

// service is a stand-in for one service: a primary and its replicas.
type service struct {
	name  string
	store *kvStore
	rec   *record
	// sync is the number of replicas that confirm a commit.
	sync int
	// logStatements writes each statement that an instance runs to the record.
	logStatements bool

	mu        sync.Mutex
	term      uint64
	lastToken int64
	orders    int
	// work is how long an instance works on a statement.
	work time.Duration
	// results holds the rows, as messages, of items with a result of their own.
	results map[string]string
	// promotions is the number of promotions, and promoted the log of the newest target then.
	promotions int
	promoted   []entry
	instances  []*instance
	received   *sync.Cond
}

// instance is one database instance.
type instance struct {
	service  *service
	id, zone string
	address  string
	listener net.Listener
	lag      time.Duration

	// The fields below are guarded by the lock of the service.
	log      []entry
	term     uint64
	leads    bool
	paused   uint64
	deaf     bool
	down     bool
	cut      bool
	hidden   bool
	conns    map[net.Conn]bool
	sequence int
	born     int64
	// registered is the role in the entry of the instance.
	registered string
}

func newService(name string, store *kvStore, rec *record) *service {
	s := &service{name: name, store: store, rec: rec, term: 1, work: workTime, results: map[string]string{}}
	s.received = sync.NewCond(&s.mu)
	return s
}

// add starts an instance; the first one is the primary.
func (s *service) add(ip, zone string, lag time.Duration) (*instance, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	in := &instance{
		service: s, id: fmt.Sprintf("i-%08x", hashOf(l.Addr().String())), zone: zone, address: l.Addr().String(), listener: l,
		lag: lag, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli(), term: s.term,
	}
	s.mu.Lock()
	in.leads = len(s.instances) == 0
	s.instances = append(s.instances, in)
	s.mu.Unlock()
	go in.accept()
	if s.store == nil {
		return in, nil
	}
	go func() {
		for {
			in.register()
			time.Sleep(heartbeat)
		}
	}()
	return in, nil
}

func hashOf(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}

func (in *instance) role() string {
	if in.leads {
		return "primary"
	}
	return "replica"
}

// register writes the entry of the instance to the store.
func (in *instance) register() {
	s := in.service
	s.mu.Lock()
	if in.down || in.hidden {
		s.mu.Unlock()
		return
	}
	in.sequence++
	state := in.role()
	changed := state != in.registered
	in.registered = state
	value := document(entryJSON, map[string]any{
		"backend": s.name, "address": in.address, "zone": in.zone, "db_role": state, "seq": in.sequence, "born": in.born,
	})
	s.mu.Unlock()
	// A heartbeat alone does not change the entry.
	if changed {
		s.store.put(names["servers"]+in.id, value)
	}
}

// crash closes all connections; the entry is removed after three heartbeat intervals.
func (in *instance) crash() {
	s := in.service
	s.mu.Lock()
	in.down = true
	for c := range in.conns {
		_ = c.Close()
	}
	in.conns = map[net.Conn]bool{}
	s.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() {
		s.mu.Lock()
		down := in.down
		s.mu.Unlock()
		if down {
			s.store.remove(names["servers"] + in.id)
		}
	})
}

// hide cuts the instance off from the store only: its entry is removed after three heartbeat
// intervals of silence.
func (in *instance) hide() {
	s := in.service
	s.mu.Lock()
	in.hidden = true
	s.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { s.store.remove(names["servers"] + in.id) })
}

// setDeaf makes the instance receive nothing, or receive again.
func (in *instance) setDeaf(deaf bool) {
	in.service.mu.Lock()
	defer in.service.mu.Unlock()
	in.deaf = deaf
}

// setCut cuts the instance off from all gateways, or ends that. It still reaches the store and
// the other instances.
func (in *instance) setCut(cut bool) {
	in.service.mu.Lock()
	defer in.service.mu.Unlock()
	in.cut = cut
}

// awaitPath waits while the instance is cut off.
func (in *instance) awaitPath() {
	for {
		in.service.mu.Lock()
		cut := in.cut
		in.service.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (in *instance) accept() {
	for {
		c, err := in.listener.Accept()
		if err != nil {
			return
		}
		s := in.service
		s.mu.Lock()
		switch {
		case in.down:
			_ = c.Close()
		case len(in.conns) >= maxConns:
			_, _ = c.Write([]byte("ERROR MAXCONN full\r\n"))
			_ = c.Close()
		default:
			in.conns[c] = true
			go in.serve(c)
		}
		s.mu.Unlock()
	}
}

// failover is the stand-in for POST /failover of the platform.
func (s *service) failover(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseInt(r.Header.Get(names["token"]), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var target *instance
	for _, in := range s.instances {
		if in.id == order.ID && !in.down {
			target = in
		}
	}
	status := http.StatusOK
	if target == nil || order.Backend != s.name || token < s.lastToken {
		status = http.StatusConflict
	}
	s.rec.line("platform: %s orders the promotion of %s with token %d: %d", r.Header.Get(names["holder"]), order.ID, token, status)
	w.WriteHeader(status)
	if status != http.StatusOK {
		return
	}
	s.lastToken = token
	s.orders++
	if target.leads {
		return
	}
	time.AfterFunc(promoteTime, func() { s.promote(target) })
}

// promote makes an instance the primary with what it has received.
func (s *service) promote(target *instance) {
	s.mu.Lock()
	if target.leads || target.down {
		s.mu.Unlock()
		return
	}
	s.term++
	s.rec.line("platform: %s leads term %d with %d commits", target.id, s.term, len(target.log))
	s.promoted = append([]entry(nil), target.log...)
	s.promotions++
	for _, in := range s.instances {
		in.leads = in == target
		in.paused = 0
		in.term = s.term
		if in != target && !in.deaf {
			in.log = append([]entry(nil), target.log...)
		}
	}
	instances := append([]*instance(nil), s.instances...)
	s.mu.Unlock()
	for _, in := range instances {
		in.register()
	}
}

// dbSession is one connection to an instance.
type dbSession struct {
	in       *instance
	values   map[string]string
	prepared map[string][2]string
	inTx     bool
	failed   bool
	readOnly bool
	pending  []entry
}

func readLine(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
		if strings.HasSuffix(string(part), "\n") && strings.HasSuffix(string(line[max(0, len(line)-2):]), "\r\n") {
			return string(line[:len(line)-2]), nil
		}
		if len(line) > maxMessageBytes {
			return "", errors.New("message too long")
		}
	}
}

func (in *instance) serve(c net.Conn) {
	s := in.service
	defer func() {
		s.mu.Lock()
		delete(in.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	in.awaitPath()
	reader := bufio.NewReaderSize(c, 4096)
	line, err := readLine(reader)
	if err != nil {
		return
	}
	fields := strings.Split(line, " ")
	if len(fields) < 3 || fields[0] != "STARTUP" || fields[1] != s.name || len(fields) > 3 && fields[3] != in.id {
		_, _ = fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", in.id)
		return
	}
	session := &dbSession{in: in, values: map[string]string{}, prepared: map[string][2]string{}}
	time.Sleep(workTime)
	_, _ = fmt.Fprintf(c, "READY I %s\r\n", session.position())
	for {
		line, err := readLine(reader)
		in.awaitPath()
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer, ok := session.run(id, text)
		in.awaitPath()
		if !ok {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (d *dbSession) position() string {
	s := d.in.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return d.in.position()
}

// position returns the position of the applied log. The caller holds the lock.
func (in *instance) position() string { return fmt.Sprintf("%d.%d", in.term, in.applied()+1) }

// applied returns how many log entries the instance has applied. The caller holds the lock.
func (in *instance) applied() int {
	n := len(in.log)
	if in.leads {
		return n
	}
	for n > 0 && time.Since(in.log[n-1].receivedAt) < in.lag {
		n--
	}
	return n
}

// lacks reports whether the applied log lacks a position. The caller holds the lock.
func (in *instance) lacks(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.ParseUint(term, 10, 64)
	n, _ := strconv.Atoi(number)
	n--
	if t > in.term || n > in.applied() {
		return true
	}
	return n > 0 && in.log[n-1].term > t
}

func (d *dbSession) ready(message string) string {
	state := "I"
	switch {
	case d.failed:
		state = "E"
	case d.inTx:
		state = "T"
	}
	return fmt.Sprintf("%s\r\nREADY %s %s\r\n", message, state, d.in.position())
}

func (d *dbSession) fail(code string) string {
	if d.inTx {
		d.failed = true
	}
	return d.ready("ERROR " + code + " " + d.in.id)
}

func (d *dbSession) signature(id string) string {
	return fmt.Sprintf("COMPLETE %s.%08x", d.in.id, hashOf(d.in.id+id))
}

// run runs one statement. It reports false if the instance went down meanwhile.
func (d *dbSession) run(id, text string) (string, bool) {
	in, s := d.in, d.in.service
	word, _, _ := strings.Cut(text, " ")
	switch word {
	case "READ", "WRITE", "COMMIT", "EXECUTE", "AFTER":
		time.Sleep(s.workTime())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.down {
		return "", false
	}
	if s.logStatements && id != "-" {
		s.rec.line("%s runs %s: %s", in.id, id, shorten(text))
	}
	return d.execute(id, text)
}

// setWork sets how long an instance works on a statement.
func (s *service) setWork(work time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = work
}

func (s *service) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.work
}

// setResult sets the rows, as messages, that a read of an item has.
func (s *service) setResult(item, rows string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results[item] = rows
}

func shorten(text string) string {
	if len(text) <= 60 {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:40], len(text))
}

func (d *dbSession) execute(id, text string) (string, bool) {
	in, s := d.in, d.in.service
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, statement, _ := strings.Cut(rest, " ")
		if in.lacks(after) {
			return d.fail("LAGGING"), true
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if d.failed && word != "ROLLBACK" && word != "COMMIT" {
		return d.fail("MALFORMED"), true
	}
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		p, ok := d.prepared[name]
		if !ok {
			return d.fail("NOSTMT"), true
		}
		word, rest = p[0], args
	}
	lostLead := d.inTx && !d.readOnly && !in.leads
	if lostLead && word != "ROLLBACK" && (word != "COMMIT" || len(d.pending) > 0) {
		return d.fail("READONLY"), true
	}
	switch word {
	case "BEGIN":
		if rest == "" && !in.leads {
			return d.fail("READONLY"), true
		}
		d.inTx, d.readOnly, d.pending = true, rest == "READ", nil
	case "ROLLBACK":
		d.inTx, d.failed, d.pending = false, false, nil
	case "COMMIT":
		if d.failed {
			d.inTx, d.failed, d.pending = false, false, nil
			return d.fail("ABORTED"), true
		}
		pending := d.pending
		d.inTx, d.pending = false, nil
		if !s.commit(in, pending) {
			return "", false
		}
		return d.ready(d.signature(id)), true
	case "READ":
		if rows, ok := s.results[rest]; ok {
			return d.ready(rows + d.signature(id)), true
		}
		data := "none"
		for _, e := range append(in.log[:in.applied():in.applied()], d.pending...) {
			if e.item == rest {
				data = e.data
			}
		}
		return d.ready("ROW " + data + "\r\n" + d.signature(id)), true
	case "WRITE":
		if !in.leads || d.readOnly && d.inTx {
			return d.fail("READONLY"), true
		}
		item, data, _ := strings.Cut(rest, " ")
		if d.inTx {
			d.pending = append(d.pending, entry{item: item, data: data})
			return d.ready(d.signature(id)), true
		}
		if !s.commit(in, []entry{{item: item, data: data}}) {
			return "", false
		}
		return d.ready(d.signature(id)), true
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		d.values[name] = value
	case "PREPARE":
		fields := strings.SplitN(rest, " ", 3)
		if len(fields) == 3 {
			d.prepared[fields[0]] = [2]string{fields[1], fields[2]}
		}
	case "RESET":
		d.values, d.prepared = map[string]string{}, map[string][2]string{}
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return d.ready(in.control(word, rest)), true
	}
	return d.ready("COMPLETE -"), true
}

// control runs a STATUS, PAUSE, RESUME or DEMOTE. The caller holds the lock.
func (in *instance) control(word, rest string) string {
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && term > in.term:
		in.paused = term
	case word == "RESUME":
		in.paused = 0
	case word == "DEMOTE" && in.leads && in.term < term:
		in.leads = false
	}
	return fmt.Sprintf("ROW %s %d %d.%d %d %d 0 %d\r\nCOMPLETE -", in.role(), in.term, in.term, len(in.log)+1, in.paused, in.lag.Milliseconds(), len(in.conns))
}

// commit appends entries to the log of the primary and sends them to the replicas. It reports
// false if the commit is not confirmed: the instance then gives no answer. The caller holds the
// lock.
func (s *service) commit(in *instance, entries []entry) bool {
	if len(entries) == 0 {
		return true
	}
	now := time.Now()
	for _, e := range entries {
		e.term, e.receivedAt = in.term, now
		in.log = append(in.log, e)
	}
	end, confirmed := len(in.log), 0
	for _, r := range s.instances {
		if r == in || r.down || r.deaf || r.paused > in.term {
			continue
		}
		for n := len(r.log); n < end; n++ {
			e := in.log[n]
			e.receivedAt = now
			r.log = append(r.log, e)
		}
		confirmed++
	}
	return confirmed >= s.sync
}
