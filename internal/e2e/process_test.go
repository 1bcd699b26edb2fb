package e2e_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const readyTimeout = 30 * time.Second

// process is a running binary with the addresses that it printed, by name.
type process struct {
	command   *exec.Cmd
	addresses map[string]string
}

// start runs the binary and reads its output up to the line that begins with last.
func start(binary, last string, args ...string) *process {
	command := exec.Command(binary, args...)
	out, err := command.StdoutPipe()
	Expect(err).NotTo(HaveOccurred())
	command.Stderr = GinkgoWriter
	Expect(command.Start()).To(Succeed())
	p := &process{command: command, addresses: map[string]string{}}
	DeferCleanup(p.kill)
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 1 {
			p.addresses[fields[0]] = fields[len(fields)-1]
			if fields[0] == last {
				return p
			}
		}
	}
	Fail("process ended early: " + strings.Join(args, " "))
	return nil
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *process) signal(s os.Signal) { Expect(p.command.Process.Signal(s)).To(Succeed()) }

// fleet is a platform store, one database with three instances, and a proxy in
// each of two failure domains. Each runs in its own process.
type fleet struct {
	binary    string
	folder    string
	platform  *process
	instances map[string]*process
	proxies   []*process
	keyID     string
	secret    string
}

func (f *fleet) run(args ...string) string {
	out, err := exec.Command(f.binary, args...).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return string(out)
}

func (f *fleet) writeJSON(name string, value any) string {
	raw, err := json.Marshal(value)
	Expect(err).NotTo(HaveOccurred())
	path := filepath.Join(f.folder, name)
	Expect(os.WriteFile(path, raw, 0o600)).To(Succeed())
	return path
}

type object = map[string]any

func (f *fleet) records() object {
	var instances []object
	for i, name := range []string{"i1", "i2", "i3"} {
		instances = append(instances, object{"name": name, "domain": []string{"a", "b", "b"}[i],
			"address": f.instances[name].addresses["database"]})
	}
	record := func(kind, name string, body object) object {
		return object{"kind": kind, "name": name, "schema_version": 1, "body": body}
	}
	return object{"records": []object{
		record("database", "ledger1", object{"connection_limit": 20, "instances": instances}),
		record("account", "clerks", object{"rate_per_s": 10000, "burst": 10000}),
		record("route", "ledger1", object{"database": "ledger1"}),
	}}
}

// freeAddress returns a loopback address whose port was unused when it was checked.
// The settings of each proxy contain the peer addresses of all proxies, so the
// addresses are allocated before the proxies start.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

func (f *fleet) settings(host, domain, peers string, seeds []string) object {
	return object{
		"host": host, "failure_domain": domain, "failure_domains": []string{"a", "b"},
		"listen":   object{"callers": "127.0.0.1:0", "peers": peers, "admin": "127.0.0.1:0"},
		"platform": object{"endpoints": []string{f.platform.addresses["platform"]}},
		"peers":    object{"seeds": seeds},
		"backend":  object{"user": "bramleylever", "password": "bramleylever"},
		"drain":    object{"readiness_delay": "100ms", "timeout": "20s"},
	}
}

func startFleet() *fleet {
	f := &fleet{folder: GinkgoT().TempDir(), instances: map[string]*process{}}
	f.binary = filepath.Join(f.folder, "bramleylever")
	build := exec.Command("go", "build", "-o", f.binary, "../../cmd/bramleylever")
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	f.platform = start(f.binary, "faults", "standin", "platform", "--listen", "127.0.0.1:0", "--faults", "127.0.0.1:0")
	for _, name := range []string{"i1", "i2", "i3"} {
		f.instances[name] = start(f.binary, "database", "standin", "database", "--name", name,
			"--listen", "127.0.0.1:0", "--lag", "20ms", "--log-level", "error")
	}
	store := f.platform.addresses["platform"]
	f.run("config", "apply", f.writeJSON("records.json", f.records()), "--platform", store)
	var granted struct {
		ID     string `json:"key_id"`
		Secret string `json:"secret"`
	}
	Expect(json.Unmarshal([]byte(f.run("key", "grant", "clerks", "--platform", store, "--output", "json")), &granted)).To(Succeed())
	f.keyID, f.secret = granted.ID, granted.Secret
	peers := []string{freeAddress(), freeAddress()}
	for i, domain := range []string{"a", "b"} {
		path := f.writeJSON(domain+".json", f.settings("proxy-"+domain, domain, peers[i], peers))
		f.proxies = append(f.proxies, start(f.binary, "admin", "proxy", "--settings", path))
	}
	return f
}

// connect opens a caller's connection, retrying until the proxy accepts it.
func (f *fleet) connect(proxy int, position string) *pgx.Conn {
	url := fmt.Sprintf("postgres://%s:%s@%s/ledger1?sslmode=disable", f.keyID, f.secret,
		f.proxies[proxy].addresses["callers"])
	if position != "" {
		url += "&bramleylever.session_position=" + position
	}
	var conn *pgx.Conn
	Eventually(func() (err error) {
		conn, err = pgx.Connect(context.Background(), url)
		return err
	}, readyTimeout, 50*time.Millisecond).Should(Succeed())
	DeferCleanup(conn.Close, context.Background())
	return conn
}

// readinessStatus returns the HTTP status of a proxy's readiness check.
func readinessStatus(p *process) int {
	response, err := http.Get("http://" + p.addresses["admin"] + "/health/ready")
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	return response.StatusCode
}

func sessionPosition(conn *pgx.Conn) string {
	return conn.PgConn().ParameterStatus("bramleylever.session_position")
}

func countBookings(ctx context.Context, conn *pgx.Conn) int {
	var n int
	Expect(conn.QueryRow(ctx, "SELECT count(*) FROM bookings").Scan(&n)).To(Succeed())
	return n
}

var _ = Describe("Separate processes", func() {
	// Guards against a session that does not see its own writes after it moves to
	// another proxy or after the primary is killed, and against a drain that aborts
	// an open transaction.
	It("keep a session's writes visible while it roams through faults", func(ctx SpecContext) {
		f := startFleet()
		first := f.connect(0, "")
		Eventually(func() error {
			_, err := first.Exec(ctx, "CREATE TABLE bookings (id bigint PRIMARY KEY, grower text)")
			return err
		}, readyTimeout, 50*time.Millisecond).Should(Succeed())
		_, err := first.Exec(ctx, "INSERT INTO bookings VALUES (1, 'first')")
		Expect(err).NotTo(HaveOccurred())
		position := sessionPosition(first)
		Expect(position).NotTo(BeEmpty())

		By("reading the write through the other proxy")
		second := f.connect(1, position)
		Expect(countBookings(ctx, second)).To(Equal(1))

		By("killing the primary")
		f.instances["i1"].kill()
		_, err = second.Exec(ctx, "INSERT INTO bookings VALUES (2, 'second')")
		Expect(err).NotTo(HaveOccurred())
		Expect(countBookings(ctx, f.connect(0, sessionPosition(second)))).To(Equal(2))

		By("stopping the platform store")
		f.platform.kill()
		_, err = second.Exec(ctx, "INSERT INTO bookings VALUES (3, 'third')")
		Expect(err).NotTo(HaveOccurred())

		By("draining a proxy with an open transaction, for longer than go-zero's own shutdown timeout")
		open := f.connect(0, sessionPosition(second))
		tx, err := open.Begin(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "UPDATE bookings SET grower = 'drained' WHERE id = 3")
		Expect(err).NotTo(HaveOccurred())
		f.proxies[0].signal(syscall.SIGTERM)
		time.Sleep(7 * time.Second)
		Expect(readinessStatus(f.proxies[0])).To(Equal(http.StatusServiceUnavailable))
		Expect(tx.Commit(ctx)).To(Succeed())
		Expect(f.proxies[0].command.Wait()).To(Succeed())
		Expect(countBookings(ctx, second)).To(Equal(3))
	}, NodeTimeout(3*time.Minute))
})
