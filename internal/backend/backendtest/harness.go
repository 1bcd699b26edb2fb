package backendtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2" //nolint:staticcheck // the suite is written as ginkgo specs
	. "github.com/onsi/gomega"    //nolint:staticcheck // see above

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/position"
)

const (
	// eventuallyTimeout bounds the wait for an expected event.
	eventuallyTimeout = 5 * time.Second
	// consistentlyDuration is how long a spec checks that an event does not happen.
	consistentlyDuration = 200 * time.Millisecond
)

// cluster is a group of instances with a control connection to each.
type cluster struct {
	group    Group
	controls []backend.Control
}

// term returns term 1.n.
func term(n uint64) position.Term { return position.Term{Epoch: 1, Sequence: n} }

func (c *cluster) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 2*eventuallyTimeout)
	DeferCleanup(cancel)
	return ctx
}

// start starts n instances and forms a group of them in term 1.1 with instance 0 as its
// primary.
func start(impl Implementation, n int) *cluster {
	GinkgoHelper()
	c := startFenced(impl, n)
	c.raise(term(1), c.all()...)
	c.promote(term(1), 0)
	for k := 1; k < n; k++ {
		c.follow(term(1), k, 0)
	}
	for k := range n {
		Eventually(func() position.LSN { return c.status(k).Received }, eventuallyTimeout).Should(BeNumerically(">=", 1))
	}
	return c
}

// startFenced starts n instances, all of them fenced.
func startFenced(impl Implementation, n int) *cluster {
	GinkgoHelper()
	group, err := impl.Start(n)
	Expect(err).NotTo(HaveOccurred())
	c := &cluster{group: group}
	DeferCleanup(func() {
		for _, control := range c.controls {
			_ = control.Close()
		}
		group.Close()
	})
	for _, address := range group.Addresses() {
		control, err := impl.Dialer.DialControl(c.context(), address)
		Expect(err).NotTo(HaveOccurred())
		c.controls = append(c.controls, control)
	}
	return c
}

func (c *cluster) all() []int {
	out := make([]int, len(c.controls))
	for k := range out {
		out[k] = k
	}
	return out
}

func (c *cluster) status(k int) backend.Status {
	GinkgoHelper()
	st, err := c.controls[k].Status(c.context())
	Expect(err).NotTo(HaveOccurred())
	return st
}

func (c *cluster) raise(t position.Term, instances ...int) {
	GinkgoHelper()
	for _, k := range instances {
		_, err := c.controls[k].RaiseTerm(c.context(), t)
		Expect(err).NotTo(HaveOccurred())
	}
}

func (c *cluster) promote(t position.Term, k int) {
	GinkgoHelper()
	_, err := c.controls[k].Promote(c.context(), t)
	Expect(err).NotTo(HaveOccurred())
}

func (c *cluster) follow(t position.Term, k, primary int) {
	GinkgoHelper()
	_, err := c.controls[k].Follow(c.context(), t, c.group.Addresses()[primary])
	Expect(err).NotTo(HaveOccurred())
}

// failOver raises the term on the given instances, promotes the first of them and makes
// the others follow it.
func (c *cluster) failOver(t position.Term, instances ...int) {
	GinkgoHelper()
	c.raise(t, instances...)
	c.promote(t, instances[0])
	for _, k := range instances[1:] {
		c.follow(t, k, instances[0])
	}
}

// dataConnection is a data connection to an instance.
type dataConnection struct {
	conn *pgconn.PgConn
	ctx  context.Context
}

func (c *cluster) connect(k int) *dataConnection {
	GinkgoHelper()
	conn, err := c.group.Connect(c.context(), k)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), consistentlyDuration)
		defer cancel()
		_ = conn.Close(ctx)
	})
	return &dataConnection{conn: conn, ctx: c.context()}
}

// query runs SQL and returns the first column of the last statement's result.
func (c *dataConnection) query(sql string) ([]string, error) {
	results, err := c.conn.Exec(c.ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	var out []string
	for _, row := range results[len(results)-1].Rows {
		out = append(out, string(row[0]))
	}
	return out, nil
}

func (c *dataConnection) mustQuery(sql string) []string {
	GinkgoHelper()
	out, err := c.query(sql)
	Expect(err).NotTo(HaveOccurred(), sql)
	return out
}

// expectSQLState runs SQL and expects an error with the given SQLSTATE.
func (c *dataConnection) expectSQLState(state, sql string) {
	GinkgoHelper()
	_, err := c.query(sql)
	Expect(sqlStateOf(err)).To(Equal(state), "%s: %v", sql, err)
}

// sqlStateOf returns the SQLSTATE of an error, or an empty string if it has none.
func sqlStateOf(err error) string {
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return ""
}

// lastCommit returns the commit position that the instance last reported on the
// connection.
func (c *dataConnection) lastCommit() position.Position {
	GinkgoHelper()
	p, err := position.Parse(c.conn.ParameterStatus(backend.ParameterCommitPosition))
	Expect(err).NotTo(HaveOccurred())
	return p
}

func readGuardSQL(p position.Position, wait, maxAge time.Duration) string {
	age := int64(-1)
	if maxAge >= 0 {
		age = maxAge.Milliseconds()
	}
	return fmt.Sprintf("SELECT cluster_read_guard('%s', %d, %d)", p, wait.Milliseconds(), age)
}

func waitReplicatedSQL(wait time.Duration) string {
	return fmt.Sprintf("SELECT cluster_wait_replicated('last', %d)", wait.Milliseconds())
}

// readGuardResult is the JSON result of cluster_read_guard.
type readGuardResult struct {
	Applied position.Position `json:"applied"`
	AgeMS   int64             `json:"age_ms"`
}

func decodeReadGuard(text string) readGuardResult {
	GinkgoHelper()
	var out readGuardResult
	Expect(json.Unmarshal([]byte(text), &out)).To(Succeed())
	return out
}

// createTable creates the table contract on instance 0, the primary, and waits until
// all instances have applied it. It returns the connection that it used.
func (c *cluster) createTable() *dataConnection {
	GinkgoHelper()
	writer := c.connect(0)
	writer.mustQuery("CREATE TABLE contract (id bigint PRIMARY KEY, n bigint)")
	writer.mustQuery(waitReplicatedSQL(eventuallyTimeout))
	for k := range c.controls {
		c.awaitApplied(k, writer.lastCommit())
	}
	return writer
}

func (c *cluster) awaitApplied(k int, p position.Position) {
	GinkgoHelper()
	Eventually(func() bool {
		st := c.status(k)
		return st.History.Satisfies(st.Applied, p)
	}, eventuallyTimeout).Should(BeTrue())
}
