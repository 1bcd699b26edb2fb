package shares

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/peer"
	"github.com/bramleylever/bramleylever/internal/records"
)

// grpcHosts starts an owner and a holder that communicate over loopback.
func grpcHosts(t *testing.T) (owner, holder *Runner) {
	t.Helper()
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	members := []membership.Member{
		{Host: "owner", Address: listener.Addr().String(), State: membership.StateAlive},
		{Host: "holder", Address: "127.0.0.1:1", State: membership.StateAlive},
	}
	for b := range uint32(control.BucketCount) {
		members[0].Buckets = append(members[0].Buckets, membership.BucketClaim{Bucket: b, Epoch: 1})
	}
	peers := peer.NewPool()
	t.Cleanup(func() { _ = peers.Close() })
	start := func(m membership.Member, held bool) *Runner {
		feed := records.NewFeed()
		feed.Publish(newTestFleet(1).snapshot(1))
		view := &testMembers{self: m, members: members, held: held}
		return New(Options{
			Identity: peer.Identity{Host: m.Host, Address: m.Address, Incarnation: 1},
			Feed:     feed, Members: view, Buckets: view, Peers: peers,
		})
	}
	owner, holder = start(members[0], true), start(members[1], false)
	server := grpc.NewServer()
	owner.Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	for _, r := range []*Runner{owner, holder} {
		go func() { _ = r.Run(ctx); done <- struct{}{} }()
	}
	t.Cleanup(func() { cancel(); <-done; <-done })
	return owner, holder
}

// Guards against grants that are lost in the conversion to or from messages.
func TestBorrowOverGRPC(t *testing.T) {
	g := NewWithT(t)
	owner, holder := grpcHosts(t)
	for _, r := range []*Runner{owner, holder} {
		g.Eventually(func() bool { return r.Admit(testAccount, time.Now()) }, "10s", "5ms").Should(BeTrue())
		r.Report(testInstance, 0, 2)
		g.Eventually(func() int { return r.Limit(testInstance, time.Now()) }, "10s", "5ms").Should(BeNumerically(">=", 1))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for holder.Admit(testAccount, time.Now()) {
	}
	g.Expect(holder.AdmitWithin(ctx, testAccount)).To(BeTrue())
	holder.Report(testInstance, 0, 0)
	g.Expect(holder.Drain(ctx)).To(Succeed())
}

// Guards against malformed or misdirected calls that crash a host or are answered
// with grants.
func TestBorrowRefusesMalformedCalls(t *testing.T) {
	owner := newTestFleet(2).hosts[0].runner
	other := newTestFleet(2).hosts[1].runner
	sender := &peerv1.Sender{Host: "x", Incarnation: 1}
	demand := func(change func(*peerv1.Demand)) *peerv1.BorrowRequest {
		d := &peerv1.Demand{Kind: peerv1.ShareKind_SHARE_KIND_RATE, Resource: testAccount, Sequence: 1}
		change(d)
		return &peerv1.BorrowRequest{Sender: sender, Demands: []*peerv1.Demand{d}}
	}
	grant := func(g *peerv1.Grant) func(*peerv1.Demand) {
		return func(d *peerv1.Demand) { d.Held = []*peerv1.Grant{g} }
	}
	base := peerv1.GrantClass_GRANT_CLASS_BASE
	rows := []struct {
		name   string
		runner *Runner
		in     *peerv1.BorrowRequest
		code   codes.Code
	}{
		{"no sender", owner, &peerv1.BorrowRequest{}, codes.InvalidArgument},
		{"no demands", owner, &peerv1.BorrowRequest{Sender: sender}, codes.NotFound},
		{"unknown account", owner, demand(func(d *peerv1.Demand) { d.Resource = "nobody" }), codes.NotFound},
		{"unknown kind", owner, demand(func(d *peerv1.Demand) { d.Kind = 7 }), codes.NotFound},
		{"not the owner", other, demand(func(*peerv1.Demand) {}), codes.NotFound},
		{"negative demand", owner, demand(func(d *peerv1.Demand) { d.Wanted = -1 }), codes.InvalidArgument},
		{"no class", owner, demand(grant(&peerv1.Grant{})), codes.InvalidArgument},
		{"huge rate", owner, demand(grant(&peerv1.Grant{Class: base, Rate: 1e300})), codes.InvalidArgument},
		{"long validity", owner, demand(grant(&peerv1.Grant{Class: base, ValidityMs: 1 << 60})), codes.InvalidArgument},
		{"two of a class", owner, demand(func(d *peerv1.Demand) {
			d.Held = []*peerv1.Grant{{Class: base}, {Class: base}}
		}), codes.InvalidArgument},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := (&server{runner: row.runner}).Borrow(context.Background(), row.in)
			NewWithT(t).Expect(status.Code(err)).To(Equal(row.code))
		})
	}
}
