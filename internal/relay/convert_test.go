package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/connpool"
	"github.com/bramleylever/bramleylever/internal/statement"
)

// anyText draws texts of any bytes, also those that are not UTF-8.
func anyText(t *rapid.T, label string) string {
	return string(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, label))
}

// Guards against texts that cannot be sent to another host: a write that was not UTF-8 ended
// in doubt, and the owner of the connection counted as failed.
func TestWorkAndAnswersOfAnyBytesReachAnotherHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		st := statement.Statement{
			ID: anyText(t, "id"), Kind: statement.Write, Name: anyText(t, "name"), Value: anyText(t, "value"),
			Args: anyText(t, "args"), Text: anyText(t, "text"),
		}
		work := connpool.Work{
			Values:   connpool.Values{anyText(t, "variable"): anyText(t, "its value")},
			Prepared: &connpool.Prepared{Shape: anyText(t, "shape")}, Statements: []statement.Statement{st},
		}
		data, err := proto.Marshal(toRequest(&work, time.Second))
		g.Expect(err).NotTo(HaveOccurred())
		request := &peerv1.LeaseRequest{}
		g.Expect(proto.Unmarshal(data, request)).To(Succeed())
		g.Expect(fromRequest(request)).To(Equal(work))

		answer := connpool.Answer{Results: []statement.Result{{
			Rows: []string{anyText(t, "row")}, Signature: anyText(t, "signature"), Code: statement.Code(anyText(t, "code")),
			Detail: anyText(t, "detail"),
		}}}
		refusal := &connpool.Refusal{Code: statement.Code(anyText(t, "refusal")), Detail: anyText(t, "its detail")}
		data, err = proto.Marshal(failureReply(&answer, refusal))
		g.Expect(err).NotTo(HaveOccurred())
		reply := &peerv1.LeaseReply{}
		g.Expect(proto.Unmarshal(data, reply)).To(Succeed())
		g.Expect(fromReply(reply)).To(Equal(answer))
		g.Expect(string(reply.GetError())).To(Equal(refusal.Error()))
	})
}
