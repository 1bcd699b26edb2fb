package membership

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
)

// TestMain sets the default seed and number of the generated test cases; flags on
// the command line override both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fleet simulates a fleet: it delivers the messages between many cores in memory
// and in virtual time.
type fleet struct {
	now   time.Time
	cores map[string]*Core
	names []string
	// partitioned holds pairs of hosts that cannot reach each other.
	partitioned map[[2]string]bool
	// incarnation is that of the host that was started last.
	incarnation uint64
	exchanges   int
	bytes       int
	measure     bool
}

var errNoAnswer = errors.New("no answer")

func newFleet(domains, hosts int) *fleet {
	f := &fleet{now: time.Unix(0, 0), cores: map[string]*Core{}, partitioned: map[[2]string]bool{}}
	for i := range hosts {
		f.start(fmt.Sprintf("host-%04d.d%d", i, i%domains), "host-0000.d0", "host-0001.d1")
	}
	return f
}

// start starts or restarts a host with a higher incarnation than any before.
func (f *fleet) start(name string, seeds ...string) {
	f.incarnation++
	_, domain, _ := strings.Cut(name, ".")
	if !slices.Contains(f.names, name) {
		f.names = append(f.names, name)
	}
	f.cores[name] = NewCore(Config{
		Self:  Member{Host: name, Domain: domain, Address: name, Incarnation: f.incarnation},
		Seeds: slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == name }),
		Seed:  f.incarnation,
	})
}

func (f *fleet) execute(from string, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case ExchangeCall:
			reply, err := f.exchange(from, a)
			f.execute(from, f.cores[from].ExchangeDone(f.now, a, reply, err))
		case ProbeCall:
			reached := f.reaches(from, a.Via) && f.reaches(a.Via, a.TargetAddress)
			f.cores[from].ProbeDone(f.now, a, reached)
		}
	}
}

func (f *fleet) reaches(a, b string) bool {
	return f.cores[a] != nil && f.cores[b] != nil && !f.partitioned[[2]string{a, b}] && !f.partitioned[[2]string{b, a}]
}

func (f *fleet) exchange(from string, call ExchangeCall) (Message, error) {
	if !f.reaches(from, call.Address) {
		return Message{}, errNoAnswer
	}
	reply := f.cores[call.Address].Receive(f.now, call.Message)
	if f.measure {
		f.exchanges++
		request := &peerv1.ExchangeRequest{
			Sender:  &peerv1.Sender{Host: from, Domain: "d0", Incarnation: 1 << 60, Address: "10.0.0.1:7000"},
			Members: membersToProto(call.Message.Members), Digest: digestToProto(Digest{Revision: 1 << 20, TopologyHash: 1 << 63}),
		}
		answer := &peerv1.ExchangeReply{Sender: request.Sender, Members: membersToProto(reply.Members), Digest: request.Digest}
		f.bytes += proto.Size(request) + proto.Size(answer)
	}
	return reply, nil
}

func (f *fleet) advance(d, tick time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tick)
		for _, name := range f.names {
			if core := f.cores[name]; core != nil {
				f.execute(name, core.Tick(f.now))
			}
		}
	}
}

// differences compares the table of each running host with the entries that the
// hosts hold of themselves. It lists stopped hosts that a table of their domain
// has as alive, and running hosts whose entry is missing or outdated in a table
// that must have it: those of the same domain and those with a role.
func (f *fleet) differences() []string {
	var out []string
	for _, viewer := range f.names {
		core := f.cores[viewer]
		if core == nil {
			continue
		}
		known := map[string]Member{}
		for _, m := range core.Members() {
			known[m.Host] = m
			if f.cores[m.Host] == nil && m.Domain == core.Self().Domain && m.State == StateAlive {
				out = append(out, fmt.Sprintf("%s has %s as alive, but it is stopped", viewer, m.Host))
			}
		}
		for _, name := range f.names {
			if f.cores[name] == nil {
				continue
			}
			actual := f.cores[name].Self()
			m, ok := known[name]
			needed := actual.Domain == core.Self().Domain || hasRole(actual)
			if needed && (!ok || m.State != actual.State || !slices.Equal(m.Buckets, actual.Buckets) || m.Relay != actual.Relay || m.Draining != actual.Draining) {
				out = append(out, fmt.Sprintf("%s has for %s the entry %+v instead of %+v", viewer, name, m, actual))
			}
		}
	}
	return out
}

// Guards against tables that stay different once the faults have ended, and
// against an entry that is replaced by an older one, in random sequences of
// kills, restarts, partitions and changes of entries.
func TestTablesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(2, 6)
		f.advance(5*time.Second, time.Second/2)
		newestSeen := map[[2]string]Member{}
		for range rapid.IntRange(3, 15).Draw(t, "length") {
			step := rapid.IntRange(0, 7).Draw(t, "step")
			name := f.names[rapid.IntRange(0, len(f.names)-1).Draw(t, "host")]
			other := f.names[rapid.IntRange(0, len(f.names)-1).Draw(t, "other")]
			f.injectFault(step, name, other)
			f.advance(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds"))*time.Second, time.Second/2)
			for _, viewer := range f.names {
				if core := f.cores[viewer]; core != nil {
					for host, e := range core.entries {
						key := [2]string{fmt.Sprint(viewer, core.self.member.Incarnation), host}
						if newer(newestSeen[key], e.member) {
							t.Fatalf("%s replaced the entry of %s with an older one: %+v, then %+v", viewer, host, newestSeen[key], e.member)
						}
						newestSeen[key] = e.member
					}
				}
			}
		}
		clear(f.partitioned)
		for _, name := range f.names {
			if f.cores[name] == nil {
				f.start(name, f.names...)
			}
		}
		f.advance(40*time.Second, time.Second/2)
		if d := f.differences(); len(d) > 0 {
			t.Fatalf("after 40 s without faults: %s", strings.Join(d, "; "))
		}
	})
}

func (f *fleet) injectFault(step int, name, other string) {
	core := f.cores[name]
	switch {
	case step == 0:
		f.cores[name] = nil
	case step == 1:
		f.start(name, f.names...)
	case step == 2 && name != other:
		f.partitioned[[2]string{name, other}] = true
	case step == 3:
		clear(f.partitioned)
	case step == 4:
		for _, h := range f.names {
			f.partitioned[[2]string{name, h}] = h != name
		}
	case core == nil:
	case step == 5:
		core.SetBuckets([]BucketClaim{{Bucket: 3, Epoch: f.incarnation + uint64(f.now.Unix())}})
	case step == 6:
		core.SetRelay(!core.Self().Relay)
		core.SetRevision(f.now.Unix())
	case step == 7:
		core.SetDraining(!core.Self().Draining)
	}
}

// Guards against a failed host that stays alive in the tables, and against a
// live one that is declared dead because one other host cannot reach it.
func TestFailureDetection(t *testing.T) {
	f := newFleet(3, 30)
	f.advance(20*time.Second, 100*time.Millisecond)
	if d := f.differences(); len(d) > 0 {
		t.Fatalf("20 s after the start: %s", d[0])
	}
	f.partitioned[[2]string{"host-0003.d0", "host-0006.d0"}] = true
	f.advance(15*time.Second, 100*time.Millisecond)
	if d := f.differences(); len(d) > 0 {
		t.Fatalf("15 s after two hosts were partitioned: %s", d[0])
	}
	f.cores["host-0009.d0"] = nil
	f.advance(15*time.Second, 100*time.Millisecond)
	if d := f.differences(); len(d) > 0 {
		t.Fatalf("15 s after a host failed: %s", d[0])
	}
	f.execute("host-0012.d0", f.cores["host-0012.d0"].Leave())
	f.cores["host-0012.d0"] = nil
	f.advance(3*time.Second, 100*time.Millisecond)
	if d := f.differences(); len(d) > 0 {
		t.Fatalf("3 s after a host left: %s", d[0])
	}
}

// BenchmarkRound reports the traffic and CPU time of one host per second, with
// 16 bucket holders and two relays per domain. Message sizes exclude transport
// headers. The warm-up grows with the fleet, because the updates that the common
// start of all hosts caused must have been sent before.
func BenchmarkRound(b *testing.B) {
	for _, size := range []struct{ hosts, domains int }{{9, 3}, {100, 10}, {400, 10}, {1200, 10}} {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			f := newFleet(size.domains, size.hosts)
			for i, name := range f.names[:min(2*size.domains, size.hosts)] {
				f.cores[name].SetRelay(true)
				if i < 16 {
					f.cores[name].SetBuckets([]BucketClaim{{Bucket: uint32(i), Epoch: 1 << 20}})
				}
			}
			f.advance(time.Duration(150+size.hosts/3)*time.Second, 500*time.Millisecond)
			missing := f.differences()
			b.Logf("%d differences: %.400s", len(missing), strings.Join(missing, "; "))
			f.measure = true
			seconds := 0
			for b.Loop() {
				f.advance(time.Second, 100*time.Millisecond)
				seconds++
			}
			hostSeconds := float64(seconds * size.hosts)
			b.ReportMetric(float64(f.bytes)/float64(max(1, f.exchanges)), "B/exchange")
			b.ReportMetric(2*float64(f.bytes)/hostSeconds, "B/host/s")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/hostSeconds/1000, "us-CPU/host/s")
			b.ReportMetric(float64(len(missing)), "differences")
		})
	}
}
