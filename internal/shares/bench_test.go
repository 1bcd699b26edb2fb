package shares

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/records"
)

// BenchmarkAdmit measures the hot path while tokens are available.
func BenchmarkAdmit(b *testing.B) {
	f := newTestFleet(1)
	f.limit.RequestsPerSecond, f.limit.Burst = 1e9, 1e9
	f.hosts[0].feed.Publish(f.snapshot(2))
	f.run(5 * time.Second)
	h := f.hosts[0]
	now := h.clock()
	b.ReportAllocs()
	for b.Loop() {
		h.runner.Admit(testAccount, now)
	}
}

// BenchmarkAdmitParallel measures lock contention on one account.
func BenchmarkAdmitParallel(b *testing.B) {
	f := newTestFleet(1)
	f.run(5 * time.Second)
	h := f.hosts[0]
	now := h.clock()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			h.runner.Admit(testAccount, now)
		}
	})
}

// BenchmarkBorrow measures the handling of one call, by the number of accounts in the
// call and of hosts that the owner knows.
func BenchmarkBorrow(b *testing.B) {
	for _, accounts := range []int{1, 8, 64} {
		for _, hosts := range []int{8, 100, 1200} {
			b.Run(fmt.Sprintf("accounts%d/hosts%d", accounts, hosts), func(b *testing.B) {
				benchmarkBorrow(b, accounts, hosts)
			})
		}
	}
}

func benchmarkBorrow(b *testing.B, accounts, hosts int) {
	f := newTestFleet(1)
	owner := f.hosts[0]
	snapshot := &records.Snapshot{Revision: 2, Accounts: map[string]records.Account{}}
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		snapshot.Accounts[name] = records.Account{Name: name, RequestsPerSecond: 1e5, Burst: 1e5}
	}
	owner.feed.Publish(snapshot)
	owner.runner.owners.refresh(owner.clock())
	requests := make([]*peerv1.BorrowRequest, hosts)
	for h := range requests {
		in := &peerv1.BorrowRequest{Sender: &peerv1.Sender{
			Host: fmt.Sprintf("host-%d", h), Domain: "domain-1", Incarnation: 1, Address: "10.0.0.1:7000",
		}}
		for name := range snapshot.Accounts {
			in.Demands = append(in.Demands, &peerv1.Demand{
				Kind: peerv1.ShareKind_SHARE_KIND_RATE, Resource: name, Wanted: 50,
			})
		}
		requests[h] = in
	}
	bytes, calls := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		in := requests[calls%hosts]
		if calls%hosts == 0 {
			f.now += time.Second
		}
		for i := range in.Demands {
			in.Demands[i].Sequence++
		}
		reply, err := (&server{runner: owner.runner}).Borrow(context.Background(), in)
		if err != nil {
			b.Fatal(err)
		}
		bytes += proto.Size(in) + proto.Size(reply)
		for i, g := range reply.GetGrants() {
			in.Demands[i].Held = g.GetGrants()
			in.Demands[i].Epoch = g.GetEpoch()
		}
		calls++
	}
	b.ReportMetric(float64(bytes)/float64(calls), "bytes/call")
}
