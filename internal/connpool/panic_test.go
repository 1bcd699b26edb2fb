package connpool

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/catalog"
	"github.com/bramleylever/bramleylever/internal/statement"
)

// panickingLink panics in the middle of an exchange.
type panickingLink struct{ fakeLink }

func (*panickingLink) Exchange(time.Time, func() bool, ...statement.Statement) ([]statement.Result, error) {
	panic("fault in the decoder")
}

var _ = Describe("A connection whose exchange panics", func() {
	// Guards against a connection with unread answers that serves another session.
	It("does not return to the pool", func() {
		p := &Pool{now: time.Now, instances: map[string]*instance{}}
		link := &panickingLink{}
		in := &instance{open: 1, inUse: 1, limit: Limit{MaxOpen: 1, MaxIdle: 1}}
		handle := &localHandle{Conn: &Conn{Link: link, Server: &catalog.Server{ID: "i1"}, instance: in, state: statement.Idle}, pool: p}
		func() {
			defer func() { _ = recover() }()
			defer handle.Release()
			_, _ = handle.Do(time.Now().Add(time.Second), Work{Statements: []statement.Statement{{Kind: statement.Read}}})
		}()
		Expect(link.closed).To(BeTrue())
		Expect(in.idle).To(BeEmpty())
	})
})
