package failover

import (
	"context"
	"slices"
	"testing"
	"time"
)

// BenchmarkGap measures the time from a frozen primary, and from the request
// of a switchover, until every host knows the next primary. The instances are
// the fake group, so connection and statement times are not in it.
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
				before := f.everywhere()
				start := time.Now()
				b.StartTimer()
				f.change(planned, before.Primary)
				for g := f.everywhere(); g == before || g.Primary == ""; g = f.everywhere() {
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
		g := f.everywhere()
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
