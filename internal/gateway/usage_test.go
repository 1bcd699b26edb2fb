package gateway

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/statement"
)

// countedOperations counts the operations of all accounts.
type countedOperations struct {
	mu    sync.Mutex
	count int
}

// Count implements OperationCounter.
func (c *countedOperations) Count(string, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
}

var _ = Describe("The count of operations", func() {
	// Guards against accounts that are charged for what no instance began, for the gateway's
	// own statements or for each statement of a transaction, and against operations that are
	// not charged because their answer was lost.
	DescribeTable("counts what an instance began",
		func(fault fault, statements []statement.Statement, expected int) {
			s := newFixture()
			counted := &countedOperations{}
			s.gateway.options.Usage = counted
			s.group.set("p", func(i *fakeInstance) { i.fault = fault })
			session := s.session("strong")
			for _, st := range statements {
				session.handle(st)
			}
			Expect(counted.count).To(Equal(expected))
		},
		Entry("a write", noFault, []statement.Statement{write("1")}, 1),
		Entry("a read that needs a proof of leadership", noFault, []statement.Statement{read("1")}, 1),
		Entry("a transaction of three statements", noFault, []statement.Statement{
			simple("0", statement.Begin), write("1"), read("2"), write("3"), simple("4", statement.Commit)}, 1),
		Entry("an empty transaction that is rolled back", noFault, []statement.Statement{
			simple("0", statement.Begin), simple("1", statement.Rollback)}, 0),
		Entry("a write that is refused once", busy, []statement.Statement{write("1")}, 1),
		Entry("a write that was not sent the first time", breakBeforeSend, []statement.Statement{write("1")}, 1),
		Entry("a write whose answer is lost", loseAnswer, []statement.Statement{write("1")}, 1),
		Entry("a write that no instance takes", unreachable, []statement.Statement{write("1")}, 0),
	)
})
