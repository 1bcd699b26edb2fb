package backend_test

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/position"
)

func TestBackend(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend")
}

const goodStatus = `{"instance":"i1","role":"primary","term":"2.1","last_log_term":"2.1","received":12,"applied":11,
	"confirmed":12,"history":[{"term":"1.1","start":0},{"term":"2.1","start":10}],"connections":3,"connection_limit":20}`

var _ = Describe("DecodeStatus", func() {
	It("reads a status", func() {
		st, err := backend.DecodeStatus([]byte(goodStatus))
		Expect(err).NotTo(HaveOccurred())
		Expect(st.Role).To(Equal(backend.RolePrimary))
		Expect(st.History).To(HaveLen(2))
	})

	// Guards against a malformed status that is accepted, and against errors that don't
	// name the invalid field.
	DescribeTable("names the invalid field", func(from, to, field string) {
		Expect(goodStatus).To(ContainSubstring(from))
		_, err := backend.DecodeStatus([]byte(strings.Replace(goodStatus, from, to, 1)))
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("role", `"primary"`, `"leader"`, `"role"`),
		Entry("instance", `"i1"`, `""`, `"instance"`),
		Entry("type", `"received":12`, `"received":"x"`, `"received"`),
		Entry("negative position", `"received":12`, `"received":-1`, `"received"`),
		Entry("term", `"term":"2.1"`, `"term":"2"`, `term "2"`),
		Entry("no term", `"term":"2.1"`, `"term":"0.0"`, `"term"`),
		Entry("last log term", `"last_log_term":"2.1"`, `"last_log_term":"3.1"`, `"last_log_term"`),
		Entry("applied", `"applied":11`, `"applied":13`, `"applied"`),
		Entry("confirmed", `"confirmed":12`, `"confirmed":13`, `"confirmed"`),
		Entry("history order", `{"term":"1.1"`, `{"term":"2.2"`, `"history"`),
		Entry("history end", `"start":10`, `"start":12`, `"history"`),
		Entry("connections", `"connections":3`, `"connections":-3`, `"connections"`),
		Entry("truncated", `"connection_limit":20}`, `"connection_limit"`, "status"),
	)
})

// FuzzDecodeStatus guards against a panic, and against a status that is accepted but
// rejected after it is encoded again.
func FuzzDecodeStatus(f *testing.F) {
	f.Add([]byte(goodStatus))
	f.Add([]byte(`{"instance":"i","role":"fenced","term":"0.0"}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		st, err := backend.DecodeStatus(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(st)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := backend.DecodeStatus(again); err != nil {
			t.Fatalf("%s: %v", again, err)
		}
	})
}

var _ = Describe("PGDialer", func() {
	ctx := context.Background()
	dialer := backend.PGDialer{Password: "p", Timeout: 200 * time.Millisecond}

	start := func() *standin.Instance {
		g, err := standin.NewGroup(1, standin.Config{Password: "p"})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.Close)
		return g.Primary()
	}
	unusedAddress := func() string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		return listener.Addr().String()
	}

	// Guards against a failed connection attempt that is reported with an unknown
	// outcome, or without the address of the peer.
	DescribeTable("reports a failed connection attempt as not run", func(address func() string, d backend.PGDialer) {
		peer := address()
		_, err := d.DialControl(ctx, peer)
		Expect(err).To(MatchError(outcome.ErrNotRun))
		Expect(err).To(MatchError(ContainSubstring("open control connection: peer " + peer)))
	},
		Entry("no listener", unusedAddress, dialer),
		Entry("malformed address", func() string { return "127.0.0.1" }, dialer),
		Entry("malformed port", func() string { return "127.0.0.1:0" }, dialer),
		Entry("wrong password", func() string { return start().Address() }, backend.PGDialer{Password: "q"}),
		Entry("malformed local address", func() string { return start().Address() }, backend.PGDialer{LocalAddress: "x"}),
		Entry("frozen", func() string {
			i := start()
			i.Freeze()
			return i.Address()
		}, dialer),
	)

	// Guards against a statement that is reported as not run although it was sent: a
	// retry could run it twice.
	It("reports a missing response as unknown and later calls as not run", func() {
		i := start()
		control, err := dialer.DialControl(ctx, i.Address())
		Expect(err).NotTo(HaveOccurred())
		i.Freeze()
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = control.RaiseTerm(short, position.Term{Epoch: 9})
		Expect(err).To(MatchError(outcome.ErrUnknown))
		Expect(outcome.RetrySafe(err)).To(BeFalse())
		Expect(err).To(MatchError(ContainSubstring("raise term: peer " + i.Address())))
		_, err = control.Status(ctx)
		Expect(err).To(MatchError(outcome.ErrNotRun))
		_ = control.Close()
	})

	// Guards against a stale term that is reported as another refusal: both have the
	// same SQLSTATE.
	It("distinguishes a stale term from other refusals", func() {
		control, err := dialer.DialControl(ctx, start().Address())
		Expect(err).NotTo(HaveOccurred())
		defer control.Close()
		_, err = control.RaiseTerm(ctx, position.Term{Epoch: 1})
		Expect(err).To(MatchError(outcome.ErrStaleTerm))
		_, err = control.Promote(ctx, position.Term{Epoch: 7})
		Expect(err).To(MatchError(backend.ErrRefused))
		Expect(err).NotTo(MatchError(outcome.ErrStaleTerm))
	})

	// Guards against a dialer that ignores LocalAddress: a simulated network partition,
	// which selects connections by source address, would not affect its connections.
	It("dials from the local address", func() {
		i := start()
		control, err := backend.PGDialer{Password: "p", LocalAddress: "127.0.0.77"}.DialControl(ctx, i.Address())
		Expect(err).NotTo(HaveOccurred())
		defer control.Close()
		Expect(i.Cut(netip.MustParsePrefix("127.0.0.77/32"))).To(Succeed())
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = control.Status(short)
		Expect(err).To(MatchError(outcome.ErrUnknown))
		other, err := dialer.DialControl(ctx, i.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(other.Close()).To(Succeed())
	})
})
