package position_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bramleylever/bramleylever/position"
)

func TestPosition(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "position")
}

func at(epoch, sequence, lsn uint64) position.Position {
	return position.Position{
		Term: position.Term{Epoch: epoch, Sequence: sequence},
		LSN:  position.LSN(lsn),
	}
}

var _ = Describe("History", func() {
	history := position.History{
		{Term: position.Term{Epoch: 1, Sequence: 1}, Start: 0},
		{Term: position.Term{Epoch: 2, Sequence: 1}, Start: 10},
	}

	// Guards against a session that reads from a log without its last write: one that
	// has not applied the write yet, or one that lost it in a failover.
	DescribeTable("satisfies a session only if the log contains its position",
		func(applied int, wanted position.Position, expected bool) {
			Expect(history.Satisfies(position.LSN(applied), wanted)).To(Equal(expected))
		},
		Entry("zero position", 0, position.Position{}, true),
		Entry("old term before the fork", 12, at(1, 1, 10), true),
		Entry("old term past the fork", 12, at(1, 1, 11), false),
		Entry("new term applied", 12, at(2, 1, 12), true),
		Entry("new term not applied yet", 11, at(2, 1, 12), false),
		Entry("later term that is not in the history", 12, at(3, 1, 11), false),
		Entry("earlier term that is not in the history", 12, at(1, 0, 1), false),
	)
})

var _ = Describe("ParseVector", func() {
	// Guards against accepting malformed input of callers as a position.
	DescribeTable("refuses malformed text", func(text string) {
		_, err := position.ParseVector(text)
		Expect(err).To(HaveOccurred())
	},
		Entry("no position", "ledger1"),
		Entry("no name", "=1.1/2"),
		Entry("empty position", "ledger1="),
		Entry("sign", "ledger1=+1.1/2"),
		Entry("leading zero", "ledger1=01.1/2"),
		Entry("no lsn", "ledger1=1.1"),
		Entry("too large", "ledger1=1.1/18446744073709551616"),
		Entry("twice", "a=1.1/2,a=1.1/3"),
		Entry("trailing comma", "a=1.1/2,"),
	)
})

// Guards against a position that changes when it is passed as text from one proxy to
// another.
func TestVectorTextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := position.Vector{}
		count := rapid.IntRange(0, 5).Draw(t, "count")
		for range count {
			name := rapid.StringMatching(`[a-z][a-z0-9_]{0,8}`).Draw(t, "name")
			v[name] = at(rapid.Uint64().Draw(t, "epoch"), rapid.Uint64().Draw(t, "sequence"),
				rapid.Uint64Min(1).Draw(t, "lsn"))
		}
		parsed, err := position.ParseVector(v.String())
		if err != nil {
			t.Fatal(err)
		}
		if parsed.String() != v.String() {
			t.Fatalf("got %s, want %s", parsed, v)
		}
	})
}

func FuzzParseVector(f *testing.F) {
	f.Add("ledger1=1.2/3,ledger2=4.5/6")
	f.Add("=,")
	f.Fuzz(func(t *testing.T, text string) {
		v, err := position.ParseVector(text)
		if err != nil {
			return
		}
		again, err := position.ParseVector(v.String())
		if err != nil || again.String() != v.String() {
			t.Fatalf("%q does not survive a round trip: %v", text, err)
		}
	})
}
