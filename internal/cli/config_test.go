package cli_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/cli"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/internal/platform/standin"
	"github.com/bramleylever/bramleylever/internal/records"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands")
}

const example = "../../examples/cooperative/records.json"

// commandResult is the exit code and the output of a command.
type commandResult struct {
	code     int
	out, err string
}

func run(args ...string) commandResult {
	var out, errOut bytes.Buffer
	code := cli.Run(args, strings.NewReader(""), &out, &errOut)
	return commandResult{code, out.String(), errOut.String()}
}

// fixedRevisionHost reports the same revision on every Fetch.
type fixedRevisionHost struct {
	peerv1.UnimplementedRecordsServer
	revision int64
}

func (h fixedRevisionHost) Fetch(context.Context, *peerv1.FetchRequest) (*peerv1.FetchReply, error) {
	return &peerv1.FetchReply{Revision: h.revision}, nil
}

func startHost(revision int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := grpc.NewServer()
	peerv1.RegisterRecordsServer(server, fixedRevisionHost{revision: revision})
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(server.Stop)
	return listener.Addr().String()
}

var _ = Describe("commands on records", func() {
	var address string
	runOnPlatform := func(args ...string) commandResult {
		return run(append(args, "--platform", address)...)
	}
	snapshot := func() *records.Snapshot {
		store, err := platform.Dial(context.Background(), platform.Options{Endpoints: []string{address}})
		Expect(err).NotTo(HaveOccurred())
		defer store.Close()
		set, revision, err := records.NewClient(store, "test").List(context.Background())
		Expect(err).NotTo(HaveOccurred())
		s, err := set.Snapshot(revision)
		Expect(err).NotTo(HaveOccurred())
		return s
	}
	BeforeEach(func() {
		server, err := standin.Start("127.0.0.1:0", standin.Options{})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		address = server.Address()
		Expect(runOnPlatform("config", "apply", example, "--operator", "ann").code).To(Equal(cli.ExitOK))
	})

	// Guards against lost updates: an operator applies a file that was read before
	// another operator's change. Scripts detect this by the exit code.
	It("rejects a file that was read before another change", func() {
		read := runOnPlatform("config", "get", "account", "audit", "--output", "json")
		Expect(read.code).To(Equal(cli.ExitOK))
		file := filepath.Join(GinkgoT().TempDir(), "audit.json")
		mine := strings.Replace(read.out, `"burst": 40`, `"burst": 41`, 1)
		Expect(mine).NotTo(Equal(read.out))
		Expect(os.WriteFile(file, []byte(mine), 0o600)).To(Succeed())
		Expect(runOnPlatform("config", "apply", file, "--operator", "bob").code).To(Equal(cli.ExitOK))

		Expect(os.WriteFile(file, []byte(strings.Replace(mine, "41", "42", 1)), 0o600)).To(Succeed())
		lost := runOnPlatform("config", "apply", file, "--operator", "ann")
		Expect(lost.code).To(Equal(cli.ExitConflict))
		Expect(lost.err).To(ContainSubstring(`by "bob"`))
		Expect(snapshot().Accounts["audit"].Burst).To(Equal(41.0))
		Expect(runOnPlatform("config", "history").out).To(ContainSubstring("bob\taccount/audit"))
	})

	// Guards against a key that is granted without a secret, a secret that is
	// stored in the records, and a key that stays usable after its withdrawal.
	It("grants and withdraws a key", func() {
		granted := runOnPlatform("key", "grant", "audit", "--output", "json")
		Expect(granted.code).To(Equal(cli.ExitOK))
		var report struct {
			KeyID  string `json:"key_id"`
			Secret string `json:"secret"`
		}
		Expect(json.Unmarshal([]byte(granted.out), &report)).To(Succeed())
		Expect(report.Secret).NotTo(BeEmpty())
		Expect(snapshot().Keys[report.KeyID].Account).To(Equal("audit"))
		Expect(runOnPlatform("config", "get").out).NotTo(ContainSubstring(report.Secret))
		Expect(runOnPlatform("key", "list", "audit").out).To(ContainSubstring("granted"))

		Expect(runOnPlatform("key", "withdraw", report.KeyID).code).To(Equal(cli.ExitOK))
		Expect(snapshot().Keys[report.KeyID].Withdrawn).To(BeTrue())
		Expect(runOnPlatform("key", "list", "audit").out).To(ContainSubstring("withdrawn"))
	})

	// Guards against a grant of unknown outcome whose key id is not printed: the
	// operator could not withdraw the key.
	It("prints the id of the key if its grant fails", func() {
		failed := runOnPlatform("key", "grant", "nobody")
		Expect(failed.code).To(Equal(cli.ExitFailure))
		Expect(failed.err).To(MatchRegexp(`key k[a-z0-9]+: .*unknown account "nobody"`))
	})

	// Guards against a change that is reported as in force before every host has
	// received it.
	DescribeTable("reports hosts that have not confirmed",
		func(revisions []int64, code int) {
			var hosts []string
			for _, revision := range revisions {
				hosts = append(hosts, startHost(revision))
			}
			result := runOnPlatform("domain", "leave", "musanze-a", "--hosts", strings.Join(hosts, ","), "--wait", "300ms")
			Expect(result.code).To(Equal(code))
			if code == cli.ExitUnconfirmed {
				Expect(result.err).To(ContainSubstring(hosts[len(hosts)-1]))
				Expect(result.err).NotTo(ContainSubstring(hosts[0]))
			}
		},
		Entry("all hosts have the revision", []int64{100, 100}, cli.ExitOK),
		Entry("one host has an older revision", []int64{100, 1}, cli.ExitUnconfirmed),
	)

	// Guards against a command that changes the state of the wrong kind of record.
	DescribeTable("take hosts, failure domains and backend servers out of service and back",
		func(args []string, states func(*records.Snapshot) map[string]records.ServiceState, state records.ServiceState) {
			Expect(runOnPlatform(args...).code).To(Equal(cli.ExitOK))
			Expect(states(snapshot())).To(Equal(map[string]records.ServiceState{args[2]: state}))
		},
		Entry("domain leaves", []string{"domain", "leave", "musanze-a"},
			func(s *records.Snapshot) map[string]records.ServiceState { return s.Domains }, records.StateLeaving),
		Entry("domain returns", []string{"domain", "return", "musanze-a"},
			func(s *records.Snapshot) map[string]records.ServiceState { return s.Domains }, records.StateActive),
		Entry("host drains", []string{"host", "drain", "shed-a1"},
			func(s *records.Snapshot) map[string]records.ServiceState { return s.Hosts }, records.StateLeaving),
		Entry("backend drains", []string{"backend", "drain", "slots1-1"},
			func(s *records.Snapshot) map[string]records.ServiceState { return s.Backends }, records.StateLeaving),
		Entry("backend returns", []string{"backend", "return", "slots1-1"},
			func(s *records.Snapshot) map[string]records.ServiceState { return s.Backends }, records.StateActive),
	)

	// Guards against invalid arguments that change records, and against a diff
	// that reports changes when there are none.
	It("rejects invalid input and shows no difference after apply", func() {
		Expect(runOnPlatform("config", "diff", example).out).To(BeEmpty())
		Expect(runOnPlatform("backend", "drain", "slots9-1").err).To(ContainSubstring("unknown instance"))
		Expect(runOnPlatform("key", "withdraw", "k0").err).To(ContainSubstring("does not exist"))
		Expect(runOnPlatform("config", "get", "--output", "yaml").code).To(Equal(cli.ExitUsage))
		Expect(run("config", "validate", "no-such-file").code).To(Equal(cli.ExitUsage))
		valid := run("config", "validate", example, "../../examples/snow/settings.json")
		Expect(valid.code).To(Equal(cli.ExitOK), valid.err)
	})

	// Guards against a command that hangs or reports success while the store is
	// unreachable.
	It("fails if the store is unreachable", func() {
		started := time.Now()
		Expect(run("config", "get", "--platform", "127.0.0.1:1").code).To(Equal(cli.ExitFailure))
		Expect(time.Since(started)).To(BeNumerically("<", time.Minute))
	})
})
