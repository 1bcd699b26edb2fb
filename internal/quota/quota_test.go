package quota

import (
	"context"
	"flag"
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/hosts"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/platformtest"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quota")
}

// fleet is a number of limiters that share a store and a clock.
type fleet struct {
	memory   *platformtest.Memory
	now      time.Time
	limiters []*Limiter
	account  *catalog.Account
	// absent is the hosts that are not registered, although they may be running.
	absent map[string]bool
	// calls is the number of calls to lenders.
	calls int
}

func newFleet(hosts int, rate float64) *fleet {
	f := &fleet{now: time.Now(), account: &catalog.Account{Name: "a", Rate: rate, Burst: rate}}
	f.memory = platformtest.NewMemory(func() time.Time { return f.now })
	for i := range hosts {
		f.limiters = append(f.limiters, f.start(fmt.Sprintf("host-%d", i), hosts))
	}
	return f
}

func (f *fleet) start(name string, hosts int) *Limiter {
	l := NewLimiter(Options{
		Host: name, Store: f.memory, HostCount: func() int { return hosts },
		Accounts: func() map[string]*catalog.Account { return map[string]*catalog.Account{"a": f.account} },
		Slack:    func() Slack { return Slack{Window: 5 * time.Second, Overshoot: 0.1, Operations: 20} },
		Hosts:    f.peers, Lender: f,
		Log: zap.NewNop(), Registry: metrics.NewRegistry(),
	})
	l.now = func() time.Time { return f.now }
	l.started = f.now
	return l
}

func (f *fleet) peers() []hosts.Host {
	var out []hosts.Host
	for _, l := range f.limiters {
		if f.absent[l.options.Host] {
			continue
		}
		out = append(out, hosts.Host{Name: l.options.Host, Address: "host:1"})
	}
	return out
}

// Borrow implements Lender.
func (f *fleet) Borrow(_ context.Context, host hosts.Host, account string, class catalog.Class) (bool, time.Duration, error) {
	f.calls++
	for _, l := range f.limiters {
		if l.options.Host == host.Name {
			granted, wait := l.lend(account, class)
			return granted, wait, nil
		}
	}
	return false, 0, platform.ErrUnavailable
}

// step advances the clock and lets every limiter that reaches the store write its
// allocations if they are due.
func (f *fleet) step(d time.Duration, cut map[int]bool) {
	f.now = f.now.Add(d)
	for i, l := range f.limiters {
		if !cut[i] {
			l.tick(context.Background())
		}
	}
}

// admit reports whether a host admits one operation from its own tokens.
func (f *fleet) admit(i int) bool { return f.admitAt(f.limiters[i]) }

// serve reports whether a host admits one operation, with a borrowed token if needed.
func (f *fleet) serve(l *Limiter) bool {
	return l.mayAllocate("a") && f.admitAt(l) || l.borrow("a", 0)
}

func (f *fleet) admitAt(l *Limiter) bool {
	a := l.account("a")
	a.limit, a.hosts, a.equal = l.limit(f.account), l.allocationHostCount(), l.allocatesEqually("a")
	return a.admit(0, f.now)
}

var _ = Describe("Limiter", func() {
	// Guards against refusals within the rate when the demand of an account is on few
	// hosts: with equal parts of the limit, 40% of the operations were refused.
	It("follows demand that is uneven across hosts", func() {
		f := newFleet(9, 40)
		refused, asked := 0, 0
		const settled = 1000 // ticks: 10 s, the time between the start of hosts and that of traffic
		for tick := range 4000 {
			f.step(10*time.Millisecond, nil)
			// 25 operations/s: 16 on host 0, 8 on host 1, 1 elsewhere.
			host := map[bool]int{true: 0, false: 1}[tick%6 != 2 && tick%6 != 5]
			if tick%100 == 99 {
				host = 5
			}
			if tick%4 != 0 {
				continue
			}
			if tick > settled {
				asked++
				if !f.admit(host) {
					refused++
				}
			} else {
				f.admit(host)
			}
		}
		Expect(asked).To(BeNumerically(">", 500))
		Expect(float64(refused) / float64(asked)).To(BeNumerically("<", 0.001))
	})

	// Guards against an outage of the store that stops a host that has an allocation.
	It("keeps using its allocation while the store is unavailable", func() {
		f := newFleet(3, 30)
		for range 500 {
			f.step(20*time.Millisecond, nil)
			f.admit(0)
		}
		f.memory.SetFault(platformtest.Fault{Err: platform.ErrUnavailable})
		admitted := 0
		for range 100 {
			f.step(100*time.Millisecond, nil)
			if f.admit(0) {
				admitted++
			}
		}
		Expect(admitted).To(Equal(100))
	})

	// Guards against refusals at one host while other hosts have tokens left: with 9
	// hosts, 40% of a limit of 24/s stayed unused.
	It("takes exactly one token from another host when it borrows", func() {
		f := newFleet(3, 30)
		for range 500 {
			f.step(20*time.Millisecond, nil)
			f.admit(1)
		}
		for f.admit(0) {
			continue
		}
		for _, lender := range f.limiters[1:] {
			for granted := true; granted; granted, _ = lender.lend("a", 0) {
				continue
			}
		}
		Expect(f.limiters[0].borrow("a", 0)).To(BeFalse())
		f.step(time.Second, nil)
		lenderTokens := func() float64 {
			sum := 0.0
			for _, l := range f.limiters[1:] {
				l.account("a").refill(f.now)
				sum += l.account("a").tokens
			}
			return sum
		}
		before := lenderTokens()
		Expect(f.limiters[0].borrow("a", 0)).To(BeTrue())
		Expect(lenderTokens()).To(BeNumerically("~", before-1, 1e-9))
	})

	// Guards against refusals within the rate after a restart of all hosts: of 20 s of
	// traffic, 258 operations were refused in the two seconds after the restart.
	It("starts with the tokens that its allocation earned during the restart", func() {
		f := newFleet(1, 100)
		for range 500 {
			f.step(20*time.Millisecond, nil)
			f.admit(0)
		}
		f.limiters[0] = f.start("host-0", 1)
		f.limiters[0].restore(context.Background())
		admitted := 0
		for f.admit(0) {
			admitted++
		}
		Expect(admitted).To(BeNumerically(">=", 25))
		Expect(admitted).To(BeNumerically("<=", 100*minRestartTime.Seconds()+initialTokens))
	})

	// Guards against an allocation that nobody uses because its host is gone.
	It("reclaims the allocation of a host that is gone", func() {
		f := newFleet(2, 100)
		for range 1000 {
			f.step(10*time.Millisecond, nil)
			f.admit(1)
		}
		Expect(f.limiters[1].account("a").fraction).To(BeNumerically(">", 0.3))
		for range 4000 {
			f.step(10*time.Millisecond, map[int]bool{1: true})
			f.admit(0)
		}
		Expect(f.limiters[0].account("a").fraction).To(BeNumerically("~", 1-floorFraction, 0.01))
	})

	// Guards against a part of the limit that is used twice: a host restarts and uses its
	// stored allocation while the other hosts reclaim it, because it was not renewed.
	It("renews a restored allocation before other hosts can reclaim it", func() {
		f := newFleet(2, 100)
		for tick := range 1000 {
			f.step(10*time.Millisecond, nil)
			if tick%3 == 0 {
				f.admit(1)
			}
		}
		host := f.limiters[1].options.Host
		// The other host has an allocation too, so it observes the last renewal.
		for range 100 {
			f.admit(0)
		}
		f.limiters[0].write(context.Background(), 1<<shardOf("a"))
		for range int(reclaimAfter/(10*time.Millisecond)) - 100 {
			f.step(10*time.Millisecond, map[int]bool{1: true})
		}
		f.limiters[1] = f.start(host, 2)
		f.limiters[1].restore(context.Background())
		Expect(f.limiters[1].account("a").fraction).To(BeNumerically(">", 0))
		for range 600 {
			f.step(10*time.Millisecond, nil)
			f.admit(0)
			sum := 0.0
			for _, l := range f.limiters {
				sum += l.account("a").usableFraction(f.now)
			}
			Expect(sum).To(BeNumerically("<=", 1+1e-9))
		}
	})

	// Guards against store calls that grow with the noise of the demand: 22 hosts wrote
	// 653 times in 55 s, and half of the writes conflicted with those of other hosts.
	It("writes the allocations of a large fleet only to renew them", func() {
		const fleetSize = 24
		f := newFleet(fleetSize, 60)
		random := rand.New(rand.NewPCG(1, 2))
		// Random arrivals at 40/s of a limit of 60/s.
		run := func(d time.Duration) (asked, refused int) {
			for end := f.now.Add(d); f.now.Before(end); f.step(20*time.Millisecond, nil) {
				for range 8 {
					if random.IntN(10) == 0 {
						asked++
						if !f.serve(f.limiters[random.IntN(fleetSize)]) {
							refused++
						}
					}
				}
			}
			return asked, refused
		}
		run(10 * time.Second)
		writes := func() (sum int64) {
			for _, l := range f.limiters {
				sum += l.writes.Count()
			}
			return sum
		}
		before := writes()
		asked, refused := run(40 * time.Second)
		Expect(asked).To(BeNumerically(">", 1400))
		Expect(float64(refused) / float64(asked)).To(BeNumerically("<", 0.005))
		// A renewal may take two calls, because another host's write makes the first conflict.
		renewals := allocationsPerAccount * (1 + int(40*time.Second/equalRenewAfter))
		Expect(writes() - before).To(BeNumerically("<=", 2*renewals))
	})

	// Guards against an allocation that stays unused at a host that is no longer among
	// the hosts with allocations.
	It("releases its allocation when it is no longer one of the account's allocation hosts", func() {
		f := newFleet(hosts.MaxSmallFleet+3, 60)
		for range 500 {
			f.step(20*time.Millisecond, nil)
		}
		allocated := func() (names []string) {
			for _, l := range f.limiters {
				if l.account("a").fraction > 0 {
					names = append(names, l.options.Host)
				}
			}
			return names
		}
		before := allocated()
		Expect(before).To(HaveLen(allocationsPerAccount))
		f.absent = map[string]bool{before[0]: true}
		for range 600 {
			f.step(20*time.Millisecond, nil)
		}
		Expect(allocated()).To(HaveLen(allocationsPerAccount))
		Expect(allocated()).NotTo(ContainElement(before[0]))
	})

	// Guards against a limit that is used more than once while a host is replaced. The old
	// and the new host together made the fleet larger than a small fleet, so the hosts
	// divided the floor by three, although each of them used its part.
	It("divides the floor by all hosts while a host is replaced", func() {
		const fleetSize = 9
		f := newFleet(fleetSize, 60)
		for _, l := range f.limiters {
			l.options.HostCount = func() int { return hosts.MaxSmallFleet + 1 }
			f.admitAt(l)
		}
		sum := 0.0
		for _, l := range f.limiters {
			sum += l.account("a").usableFraction(f.now)
		}
		Expect(sum).To(BeNumerically("<=", floorFraction+fractionEpsilon))
	})

	// Guards against conflicting writes when a fleet starts: 676 of 1,128 transactions of
	// 21 hosts conflicted, because all hosts wrote their first allocations at once.
	It("spreads the first writes of hosts that start together", func() {
		const fleetSize = 24
		f := newFleet(fleetSize, 60)
		first := map[time.Duration]bool{}
		started := f.now
		for f.now.Sub(started) < startupDelay+renewCheckInterval+time.Second {
			f.now = f.now.Add(tickInterval)
			for _, l := range f.limiters {
				if shards := l.dueShards(); shards != 0 {
					first[f.now.Sub(started)] = true
					l.write(context.Background(), shards)
				}
			}
		}
		Expect(len(first)).To(BeNumerically(">=", allocationsPerAccount))
	})

	// Guards against allocations that are never renewed because more documents are due
	// than one transaction may change.
	It("splits writes that do not fit into one transaction", func() {
		all := shardSet(math.MaxUint64)
		seen := shardSet(0)
		for range shardCount / maxTxnDocuments {
			part := (all &^ seen).firstN(maxTxnDocuments)
			Expect(bits.OnesCount64(uint64(part))).To(Equal(maxTxnDocuments))
			seen |= part
		}
		Expect(seen).To(Equal(all))
		Expect(shardSet(5).firstN(maxTxnDocuments)).To(Equal(shardSet(5)))
	})

	// Guards against a damaged document that raises a limit.
	It("rejects a fraction above 1", func() {
		_, err := decodeLedger([]byte(`{"a":{"h":{"fraction":1.5,"sequence":1}}}`))
		Expect(err).To(MatchError(ContainSubstring(`account "a", host "h"`)))
	})
})

// BenchmarkDue shows the cost of one tick with the hosts and accounts of a large fleet;
// there are ten ticks a second.
func BenchmarkDue(b *testing.B) {
	const fleetSize, accounts = 73, 79
	f := newFleet(fleetSize, 60)
	l := f.limiters[0]
	for i := range accounts {
		l.account(fmt.Sprintf("account-%d", i))
	}
	for b.Loop() {
		f.now = f.now.Add(tickInterval)
		l.dueShards()
	}
}
