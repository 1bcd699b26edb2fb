package failover

import (
	"context"
	"slices"
	"testing"
	"time"
)

// BenchmarkGap measures the time from the failure of the primary, or from the request of a
// switchover, until every host knows the next primary. It uses the in-memory fake group, so
// connection and statement times are not included.
func BenchmarkGap(b *testing.B) {
	for _, planned := range []bool{false, true} {
		name := "unplanned"
		if planned {
			name = "planned"
		}
		b.Run(name, func(b *testing.B) {
			f := startFleet(b)
			var gaps []time.Duration
			for b.Loop() {
				b.StopTimer()
				f.settle()
				before := f.agreedTopology()
				start := time.Now()
				b.StartTimer()
				f.change(planned, before.Primary)
				for g := f.agreedTopology(); g == before || g.Primary == ""; g = f.agreedTopology() {
					time.Sleep(time.Millisecond)
				}
				gaps = append(gaps, time.Since(start))
			}
			slices.Sort(gaps)
			b.ReportMetric(gaps[len(gaps)/2].Seconds()*1000, "ms-median")
			b.ReportMetric(gaps[len(gaps)-1].Seconds()*1000, "ms-worst")
		})
	}
}

// settle waits until all instances run and follow the primary.
func (f *testFleet) settle() {
	for {
		f.group.mu.Lock()
		following := 0
		g := f.agreedTopology()
		for _, in := range f.group.instances {
			in.frozen = false
			if in.follows == g.Primary && g.Primary != "" {
				following++
			}
		}
		f.group.mu.Unlock()
		if following == 2 {
			time.Sleep(ReportInterval)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *testFleet) change(planned bool, primary string) {
	if planned {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = f.runners[3].RequestSwitchover(ctx, "ledger", "")
		return
	}
	f.group.mu.Lock()
	f.group.get(primary).frozen = true
	f.group.mu.Unlock()
}

// BenchmarkCore measures the cost of a healthy database: the coordinator per report with
// ten failure domains, and the prober per tick.
func BenchmarkCore(b *testing.B) {
	sim := newSimulation("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	sim.elect(0)
	sim.rounds(20)
	b.Run("report", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			sim.step(sim.coordinators[0], sim.reports["a"])
		}
	})
	b.Run("prober tick", func(b *testing.B) {
		p := NewProber()
		now := time.Unix(0, 0)
		p.Configure(now, sim.coordinators[0].core.instances)
		b.ReportAllocs()
		for b.Loop() {
			now = now.Add(tickInterval)
			calls, _ := p.Tick(now)
			for _, call := range calls {
				p.Result(now, call, sim.group.instances[0].status(), nil)
			}
		}
	})
}
