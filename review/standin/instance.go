//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// maxSilence is the silence after which the platform removes an instance's entry.
	maxSilence  = 3 * heartbeat
	slots       = 3
	maxQueued   = 24
	maxConns    = 22
	applyLag    = 60 * time.Millisecond
	promoteTime = 600 * time.Millisecond
	openTime    = 12 * time.Millisecond
	serviceName = "ledger"
)

// entry is a committed write.
type entry struct {
	item, data, id string
	at             time.Time
}

// group is a stand-in for one service: instances that share a log. A replica receives each
// commit at once and applies it after applyLag.
type group struct {
	record *recorder
	store  *store
	// work is how long an instance works on a statement.
	work func(word, id string) time.Duration

	mu        sync.Mutex
	term      uint64
	log       []entry
	instances []*instance
	primary   *instance
	token     int64
	// runs holds what the instances ran, in order, and received where and when a request
	// reached an instance first.
	runs     []statementRun
	received map[string]statementRun
}

// statementRun is a statement that an instance ran.
type statementRun struct {
	at             time.Time
	id, text, host string
	tenant         string
}

type instance struct {
	group    *group
	id, zone string
	listener net.Listener
	born     int64
	slots    chan struct{}

	// The fields below are guarded by the lock of the group.
	down   bool
	conns  map[net.Conn]bool
	queued int
	seq    int
}

func newGroup(record *recorder, s *store) *group {
	return &group{record: record, store: s, term: 3, received: map[string]statementRun{}, work: func(string, string) time.Duration { return 6 * time.Millisecond }}
}

// add starts an instance; the first one is the primary.
func (g *group) add(zone string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	in := &instance{
		group: g, id: fmt.Sprintf("i-%s-%d", zone, len(g.instances)+1), zone: zone, listener: listener,
		born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), conns: map[net.Conn]bool{},
	}
	g.instances = append(g.instances, in)
	if g.primary == nil {
		g.primary = in
	}
	go in.accept()
	in.beat()
	go in.beats()
}

func (in *instance) beats() {
	for {
		time.Sleep(heartbeat)
		in.beat()
	}
}

// beat writes the instance's entry to the store.
func (in *instance) beat() {
	g := in.group
	g.mu.Lock()
	role := "replica"
	if g.primary == in {
		role = "primary"
	}
	in.seq++
	value, err := json.Marshal(map[string]any{
		"backend": serviceName, "address": in.listener.Addr().String(), "zone": in.zone, "version": "v1", "slots": slots,
		"state": "ready", "warmup_" + "left_ms": 0, "db_role": role, "seq": in.seq, "born": in.born,
	})
	down := in.down
	g.mu.Unlock()
	if err != nil {
		fail("entry: %v", err)
	}
	if !down {
		g.store.put(names.ServerPrefix+in.id, value)
	}
}

// crash ends the instance for good; its entry is removed after the silence.
func (in *instance) crash() {
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	in.down = true
	for conn := range in.conns {
		_ = conn.Close()
	}
	_ = in.listener.Close()
	time.AfterFunc(maxSilence, func() { g.store.remove(names.ServerPrefix + in.id) })
	g.record.add("instance %s crashed", in.id)
}

func (in *instance) accept() {
	for {
		conn, err := in.listener.Accept()
		if err != nil {
			return
		}
		go in.serve(conn)
	}
}

// instanceConn is the state of one connection to an instance.
type instanceConn struct {
	in       *instance
	tenant   string
	prepared map[string]string
	open     bool
	writes   bool
	pending  []entry
}

// readLine reads a line that ends with CR LF.
func readLine(r *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := r.ReadString('\n')
		line.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(line.String(), "\r\n"), nil
		}
	}
}

func (in *instance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	line, err := readLine(reader)
	fields := strings.Split(line, " ")
	if err != nil || len(fields) < 3 || fields[1] != serviceName || len(fields) > 3 && fields[3] != in.id {
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", in.id)
		return
	}
	g := in.group
	g.mu.Lock()
	full := len(in.conns) >= maxConns
	if !full {
		in.conns[conn] = true
	}
	g.mu.Unlock()
	if full {
		fmt.Fprintf(conn, "ERROR MAXCONN %s\r\n", in.id)
		return
	}
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(in.conns, conn)
	}()
	time.Sleep(openTime)
	fmt.Fprintf(conn, "READY I %s\r\n", in.position())
	c := &instanceConn{in: in, tenant: fields[2], prepared: map[string]string{}}
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		rest, ok := strings.CutPrefix(line, "QUERY ")
		id, text, ok2 := strings.Cut(rest, " ")
		if !ok || !ok2 {
			return
		}
		if _, err := conn.Write([]byte(c.answer(id, text))); err != nil {
			return
		}
	}
}

func (in *instance) position() string {
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	return fmt.Sprintf("%d.%d", g.term, in.applied())
}

// applied returns the number of log entries that the instance has applied. The caller holds
// the lock of the group.
func (in *instance) applied() int {
	n := len(in.group.log)
	if in.group.primary == in {
		return n
	}
	for n > 0 && time.Since(in.group.log[n-1].at) < applyLag {
		n--
	}
	return n
}

// answer runs a statement and returns the lines of its answer.
func (c *instanceConn) answer(id, text string) string {
	word, _, _ := strings.Cut(strings.TrimPrefix(text, "AFTER "), " ")
	takesSlot := map[string]bool{"READ": true, "WRITE": true, "COMMIT": true, "EXECUTE": true, "STATUS": true}[word] || strings.HasPrefix(text, "AFTER ")
	if id != "-" {
		c.in.group.receive(c, id, text)
	}
	if takesSlot && !c.in.takeSlot() {
		return c.finish(id, text, "ERROR BUSY "+c.in.id)
	}
	if takesSlot {
		defer func() { <-c.in.slots }()
	}
	if id != "-" {
		c.in.group.arrived(c, id, text)
		time.Sleep(c.in.group.work(word, id))
	}
	return c.finish(id, text, c.run(id, text))
}

func (in *instance) takeSlot() bool {
	g := in.group
	g.mu.Lock()
	if in.queued >= maxQueued {
		g.mu.Unlock()
		return false
	}
	in.queued++
	g.mu.Unlock()
	in.slots <- struct{}{}
	g.mu.Lock()
	in.queued--
	g.mu.Unlock()
	return true
}

// arrived records that a statement has begun to run.
func (g *group) arrived(c *instanceConn, id, text string) {
	g.mu.Lock()
	g.runs = append(g.runs, statementRun{at: time.Now(), id: id, text: text, host: c.in.id, tenant: c.tenant})
	g.mu.Unlock()
	g.record.add("instance %s runs id %s for %s: %q", c.in.id, id, c.tenant, text)
}

// finish adds READY to an answer.
func (c *instanceConn) finish(id, text, answer string) string {
	state := "I"
	if c.open {
		state = "T"
	}
	if id != "-" && strings.HasPrefix(answer, "ERROR") {
		c.in.group.record.add("instance %s answers id %s %q: %q", c.in.id, id, text, answer)
	}
	return fmt.Sprintf("%s\r\nREADY %s %s\r\n", answer, state, c.in.position())
}

// run runs a statement after its work has been done.
func (c *instanceConn) run(id, text string) string {
	g := c.in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(after, ".")
		t, _ := strconv.ParseUint(term, 10, 64)
		n, _ := strconv.Atoi(number)
		if t > g.term || n > c.in.applied() {
			return "ERROR LAGGING " + c.in.id
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		mode, ok := c.prepared[name]
		if !ok {
			return "ERROR NOSTMT " + name
		}
		word, rest = mode, args
	}
	leads := g.primary == c.in
	if c.open && c.writes && !leads && word != "ROLLBACK" && (word != "COMMIT" || len(c.pending) > 0) {
		return "ERROR READONLY " + c.in.id
	}
	signature := "COMPLETE s." + c.in.id + "." + id
	switch word {
	case "BEGIN":
		if rest == "" && !leads {
			return "ERROR READONLY " + c.in.id
		}
		c.open, c.writes, c.pending = true, rest == "", nil
	case "COMMIT":
		g.commit(c.pending)
		c.open, c.pending = false, nil
	case "ROLLBACK":
		c.open, c.pending = false, nil
	case "WRITE":
		if !leads {
			return "ERROR READONLY " + c.in.id
		}
		item, data, _ := strings.Cut(rest, " ")
		c.pending = append(c.pending, entry{item: item, data: data, id: id})
		if !c.open {
			g.commit(c.pending)
			c.pending = nil
		}
	case "READ":
		value := "none"
		for _, e := range append(g.log[:c.in.applied():c.in.applied()], c.pending...) {
			if e.item == rest {
				value = e.data
			}
		}
		return "ROW " + value + "\r\n" + signature
	case "PREPARE":
		fields := strings.SplitN(rest, " ", 3)
		c.prepared[fields[0]] = fields[1]
		return "COMPLETE -"
	case "RESET":
		clear(c.prepared)
		return "COMPLETE -"
	case "SET", "RESUME":
		return "COMPLETE -"
	case "STATUS":
		role := "replica"
		if leads {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %d.%d 0 %d 0 %d\r\nCOMPLETE -", role, g.term, g.term, len(g.log), applyLag.Milliseconds(), len(c.in.conns))
	default:
		return "ERROR MALFORMED " + word
	}
	return signature
}

// commit appends writes to the log. The caller holds the lock.
func (g *group) commit(writes []entry) {
	for _, e := range writes {
		e.at = time.Now()
		g.log = append(g.log, e)
		g.record.add("commit %d.%d id %s: %s = %q", g.term, len(g.log), e.id, e.item, e.data)
	}
}

// ServeHTTP is the platform's API for orders to promote an instance.
func (g *group) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Backend string `json:"backend"`
		ID      string `json:"id"`
	}
	token, err := strconv.ParseInt(r.Header.Get(names.FenceHeader), 10, 64)
	if err != nil || r.URL.Path != names.FailoverPath || json.NewDecoder(r.Body).Decode(&order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var target *instance
	for _, in := range g.instances {
		if in.id == order.ID && !in.down {
			target = in
		}
	}
	g.record.add("platform: order to promote %s from %s with token %d", order.ID, r.Header.Get(names.HolderHeader), token)
	if token < g.token || target == nil || order.Backend != serviceName {
		w.WriteHeader(http.StatusConflict)
		return
	}
	g.token = token
	if target != g.primary {
		time.AfterFunc(promoteTime, func() { g.promote(target) })
	}
}

func (g *group) promote(target *instance) {
	g.mu.Lock()
	old := g.primary
	if target == old || target.down {
		g.mu.Unlock()
		return
	}
	g.primary = target
	g.term++
	g.record.add("instance %s leads term %d", target.id, g.term)
	g.mu.Unlock()
	target.beat()
	old.beat()
}

// receive records that a request has reached an instance.
func (g *group) receive(c *instanceConn, id, text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.received[id]; !known {
		g.received[id] = statementRun{at: time.Now(), id: id, text: text, host: c.in.id, tenant: c.tenant}
	}
}

// receivedAt returns where and when a request reached an instance first.
func (g *group) receivedAt(id string) (statementRun, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, ok := g.received[id]
	return r, ok
}
