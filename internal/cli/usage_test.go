package cli

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/usage"
)

// Guards against an operator who cannot see which hosts' counts a window lacks.
func TestWriteUsage(t *testing.T) {
	g := NewWithT(t)
	ends := time.Unix(1_800_000_000, 0)
	records := []*usage.Record{{
		Window: 7, Ends: ends, Counts: usage.Counts{"billing": 5, "reports": 2}, Holder: "h1", Token: 12,
		SealedAt: ends.Add(1200 * time.Millisecond), Hosts: 3, Missing: []string{"h2"},
	}}
	var out bytes.Buffer
	g.Expect(writeUsage(&out, records, "billing")).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`7\s+2027-01-15T08:00:00Z\s+5\s+h1\s+12\s+1\.2s\s+3\s+\[h2\]\s+\[\]`))
	out.Reset()
	g.Expect(writeUsage(&out, records, "")).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`\s7\s+h1`))
}
