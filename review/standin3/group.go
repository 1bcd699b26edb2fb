package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// entry is a commit in a log: the term in which it was made, and the statement ids and data.
type entry struct {
	term  uint64
	id    string
	items map[string]string
}

// group is a service: one primary and its replicas.
type group struct {
	record *record
	store  *store
	name   string
	// sync is the number of replicas that confirm a commit; promoteTime is how long a promotion
	// takes.
	sync        int
	promoteTime time.Duration

	mu        sync.Mutex
	term      uint64
	token     int64
	instances []*instance
	changed   *sync.Cond
	// promoted is called with the lock held when an instance has become the primary.
	promoted func(*instance)
}

// instance is one instance of a group.
type instance struct {
	group   *group
	id      string
	zone    string
	address string
	born    int64

	up       bool
	draining bool
	primary  bool
	log      []entry
	// held is the term of a pause, 0 without one. deaf says that nothing is received.
	held uint64
	deaf bool
	seq  int
	// conns are the open connections, and arrivals the clients' statements.
	conns    map[net.Conn]bool
	arrivals []arrival
}

// arrival is a client's statement that reached an instance.
type arrival struct {
	at   time.Time
	id   string
	text string
	// tenant is the client account that the instance was told at STARTUP.
	tenant string
}

// receiveTime is how long a commit takes to a replica.
const receiveTime = 8 * time.Millisecond

// heartbeats are the intervals after which the entry of a silent instance is removed.
const silenceTime = 3 * 1200 * time.Millisecond

func newGroup(r *record, s *store, name string, syncReplicas int) *group {
	g := &group{record: r, store: s, name: name, sync: syncReplicas, promoteTime: 600 * time.Millisecond, term: 1}
	g.changed = sync.NewCond(&g.mu)
	go g.replicate()
	return g
}

// add starts an instance. The first one is the primary.
func (g *group) add(id, zone, address string) (*instance, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	in := &instance{
		group: g, id: id, zone: zone, address: address, born: time.Now().UnixMilli(), up: true,
		conns: map[net.Conn]bool{},
	}
	g.mu.Lock()
	in.primary = len(g.instances) == 0
	g.instances = append(g.instances, in)
	in.register()
	g.mu.Unlock()
	go in.accept(listener)
	return in, nil
}

// register writes the instance's entry. The caller holds the lock.
func (in *instance) register() {
	if !in.up {
		return
	}
	in.seq++
	role, state := "replica", "ready"
	if in.primary {
		role = "primary"
	}
	if in.draining {
		state = "draining"
	}
	in.group.store.set(serverPrefix+in.id, serverEntry(in.group.name, in.address, in.zone, state, role, in.born, in.seq))
}

func serverEntry(service, address, zone, state, role string, born int64, seq int) map[string]any {
	return map[string]any{
		"backend": service, "address": address, "zone": zone, "version": "1.0", "slots": 3, "state": state,
		"warmup_" + "left_ms": 0, "seq": seq, "db_role": role, "born": born,
	}
}

func (in *instance) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		in.group.mu.Lock()
		if in.up {
			in.conns[conn] = true
			go in.serve(conn)
		} else {
			_ = conn.Close()
		}
		in.group.mu.Unlock()
	}
}

// crash ends all connections; the log is kept. The entry is removed after silenceTime unless
// the instance is back by then.
func (in *instance) crash() {
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	in.up = false
	for conn := range in.conns {
		_ = conn.Close()
		delete(in.conns, conn)
	}
	g.changed.Broadcast()
	born := in.born
	time.AfterFunc(silenceTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !in.up && in.born == born {
			g.store.remove(serverPrefix + in.id)
		}
	})
}

// restart brings a crashed instance back with its log, as a replica if another one was promoted.
func (in *instance) restart() {
	g := in.group
	g.mu.Lock()
	defer g.mu.Unlock()
	in.up, in.held, in.born, in.seq = true, 0, time.Now().UnixMilli(), 0
	if p := g.primary(); p != nil && p != in {
		in.primary = false
	}
	in.register()
}

// setDeaf starts or ends that a replica receives nothing.
func (in *instance) setDeaf(deaf bool) {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.deaf = deaf
}

// drain reports that the instance is draining and returns when the store has accepted that.
func (in *instance) drain() time.Time {
	in.group.mu.Lock()
	defer in.group.mu.Unlock()
	in.draining = true
	in.register()
	return time.Now()
}

// leave ends a draining instance.
func (in *instance) leave() {
	in.crash()
	in.group.store.remove(serverPrefix + in.id)
}

// primary returns the leader of the newest term, or nil. The caller holds the lock.
func (g *group) primary() *instance {
	for _, in := range g.instances {
		if in.primary {
			return in
		}
	}
	return nil
}

// leader returns the leader of the newest term, or nil.
func (g *group) leader() *instance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary()
}

// replicate sends the primary's log to the replicas that receive.
func (g *group) replicate() {
	for range time.Tick(receiveTime) {
		g.mu.Lock()
		if p := g.primary(); p != nil && p.up {
			for _, in := range g.instances {
				if in != p && in.up && !in.deaf && in.held == 0 && in.follow(p.log) {
					g.changed.Broadcast()
				}
			}
		}
		g.mu.Unlock()
	}
}

// follow makes the log that of the primary, and reports whether it has changed.
func (in *instance) follow(log []entry) bool {
	common := 0
	for common < len(in.log) && common < len(log) && in.log[common].id == log[common].id && in.log[common].term == log[common].term {
		common++
	}
	if common == len(log) && common == len(in.log) {
		return false
	}
	in.log = slices.Clone(log)
	return true
}

// promotionOrder is an order to make an instance the primary.
type promotionOrder struct {
	Backend string `json:"backend"`
	ID      string `json:"id"`
	token   int64
	holder  string
}

// order takes a promotion order and returns the status of the answer.
func (g *group) order(o promotionOrder) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	var target *instance
	for _, in := range g.instances {
		if in.id == o.ID && in.up {
			target = in
		}
	}
	g.record.say("order: promote %s, token %d of %s", o.ID, o.token, o.holder)
	if o.token < g.token || target == nil {
		return http.StatusConflict
	}
	g.token = o.token
	if !target.primary {
		time.AfterFunc(g.promoteTime, func() { g.promote(target, o.token) })
	}
	return http.StatusOK
}

// promote makes an instance the leader of the next term with the log that it has. The other
// logs are cut back to it when they follow.
func (g *group) promote(target *instance, token int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if token < g.token || !target.up || target.primary {
		return
	}
	old := g.primary()
	g.term++
	if old != nil {
		old.primary = false
	}
	target.primary = true
	for _, in := range g.instances {
		// A promotion ends the pauses.
		in.held = 0
	}
	g.record.say("%s leads term %d with a log of %d entries that ends at %s", target.id, g.term, len(target.log), target.end())
	if g.promoted != nil {
		g.promoted(target)
	}
	if old != nil {
		old.register()
	}
	target.register()
	g.changed.Broadcast()
}

// end returns the position of the log's last entry.
func (in *instance) end() string {
	if len(in.log) == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", in.log[len(in.log)-1].term, len(in.log))
}

// has reports whether the log has a position.
func (in *instance) has(position string) bool {
	termText, numberText, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(termText, 10, 64)
	number, _ := strconv.Atoi(numberText)
	return number == 0 || number <= len(in.log) && in.log[number-1].term == term
}

// connection is a session at an instance.
type connection struct {
	in       *instance
	open     bool
	readOnly bool
	term     uint64
	pending  map[string]string
	prepared map[string]string
	lastID   string
}

func (in *instance) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	fields, err := readFields(reader)
	if err != nil || len(fields) != 4 || fields[0] != "STARTUP" || fields[1] != in.group.name || fields[3] != in.id {
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", in.id)
		return
	}
	fmt.Fprintf(conn, "READY I -\r\n")
	c := &connection{in: in, prepared: map[string]string{}}
	for {
		line, err := readLine(reader)
		if err != nil {
			return
		}
		parts := strings.SplitN(line, " ", 3)
		if parts[0] != "QUERY" || len(parts) != 3 {
			return
		}
		in.group.mu.Lock()
		if parts[1] != "-" {
			in.arrivals = append(in.arrivals, arrival{time.Now(), parts[1], parts[2], fields[2]})
		}
		answer := c.run(parts[1], parts[2])
		state := "I"
		if c.open {
			state = "T"
		}
		ready := fmt.Sprintf("READY %s %s\r\n", state, in.end())
		alive := in.up
		in.group.mu.Unlock()
		if !alive {
			return
		}
		if _, err := fmt.Fprint(conn, answer+"\r\n"+ready); err != nil {
			return
		}
	}
}

// run runs a statement with the lock held, which it gives up while it waits for replicas.
func (c *connection) run(id, text string) string {
	in := c.in
	g := in.group
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		after, statement, _ := strings.Cut(rest, " ")
		if !in.has(after) {
			return "ERROR LAGGING behind"
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if word == "EXECUTE" {
		name, args, _ := strings.Cut(rest, " ")
		if c.prepared[name] == "" {
			return "ERROR NOSTMT " + name
		}
		word, rest = c.prepared[name], args
	}
	signed := "COMPLETE " + in.id + "." + id
	lostLead := c.open && !c.readOnly && (!in.primary || c.term != g.term)
	if lostLead && word != "ROLLBACK" && (word != "COMMIT" || len(c.pending) > 0) {
		return "ERROR READONLY " + in.id
	}
	switch word {
	case "BEGIN":
		if rest == "" && !in.primary {
			return "ERROR READONLY " + in.id
		}
		c.open, c.readOnly, c.term, c.pending = true, rest != "", g.term, map[string]string{}
	case "ROLLBACK":
		c.open = false
	case "COMMIT":
		c.open = false
		if len(c.pending) > 0 && !c.commit(id, c.pending) {
			return "ERROR FAILED not confirmed"
		}
	case "WRITE":
		if !in.primary {
			return "ERROR READONLY " + in.id
		}
		item, data, _ := strings.Cut(rest, " ")
		if c.open {
			c.pending[item] = data
		} else if !c.commit(id, map[string]string{item: data}) {
			return "ERROR FAILED not confirmed"
		}
	case "READ":
		return "ROW " + c.read(rest) + "\r\n" + signed
	case "PREPARE":
		fields := strings.Fields(rest)
		c.prepared[fields[0]] = fields[1]
	case "RESET":
		clear(c.prepared)
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return c.control(word, rest)
	}
	return signed
}

func (c *connection) read(item string) string {
	if data, ok := c.pending[item]; c.open && ok {
		return data
	}
	for i := len(c.in.log) - 1; i >= 0; i-- {
		if data, ok := c.in.log[i].items[item]; ok {
			return data
		}
	}
	return "none"
}

// control runs STATUS, PAUSE, RESUME and DEMOTE, which return the same row. A pause stops a
// replica only if its term is above the newest one.
func (c *connection) control(word, rest string) string {
	in, g := c.in, c.in.group
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case word == "PAUSE" && !in.primary && term > g.term:
		in.held = term
	case word == "RESUME":
		in.held = 0
	case word == "DEMOTE" && in.primary && term > g.term:
		in.primary = false
		in.register()
	}
	role := "replica"
	if in.primary {
		role = "primary"
	}
	row := fmt.Sprintf("ROW %s %d %s %d 0 0 %d", role, g.term, in.end(), in.held, len(in.conns))
	if word != "STATUS" {
		g.record.say("%s: %s %s -> %s", in.id, word, rest, row)
	}
	return row + "\r\nCOMPLETE -"
}

// commit appends an entry and waits until enough replicas have it. It reports false if the
// instance has lost the lead before.
func (c *connection) commit(id string, items map[string]string) bool {
	in, g := c.in, c.in.group
	term := g.term
	in.log = append(in.log, entry{term, id, items})
	number := len(in.log)
	for {
		if !in.up || !in.primary || g.term != term {
			return false
		}
		confirmed := 0
		for _, other := range g.instances {
			if other != in && other.up && len(other.log) >= number && other.log[number-1].id == id {
				confirmed++
			}
		}
		if confirmed >= g.sync {
			return true
		}
		g.changed.Wait()
	}
}

// contains reports whether the log has the commit of a statement.
func (in *instance) contains(id string) bool {
	return slices.ContainsFunc(in.log, func(e entry) bool { return e.id == id })
}
