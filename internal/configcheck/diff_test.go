package configcheck

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an operator who is not told what a new version takes from callers.
func TestDiff(t *testing.T) {
	g := NewWithT(t)
	from := &Document{
		Version: 3,
		Routes: []Route{
			{Path: "routes[0]", Database: "a", Service: "s", Timeout: time.Second},
			{Path: "routes[1]", Database: "gone", Service: "s"},
		},
		Services: []Service{{Path: "services[0]", Name: "s", MaxConns: 50}, {Path: "services[1]", Name: "old"}},
		Accounts: []Account{{Path: "accounts[0]", Name: "x", Keys: []string{"k1", "k2"}, Rate: 10, Burst: 5}, {Path: "accounts[1]", Name: "left", Keys: []string{"k9"}}},
	}
	to := &Document{
		Version: 3, TransactionIdle: time.Second, IdlePath: "idle",
		Routes: []Route{
			{Path: "routes[0]", Database: "a", Service: "s2", Timeout: 2 * time.Second, Priority: 1},
			{Path: "routes[1]", Database: "new", Service: "s"},
		},
		Services: []Service{{Path: "services[0]", Name: "s", MaxConns: 60}, {Path: "services[1]", Name: "s2"}},
		Accounts: []Account{{Path: "accounts[0]", Name: "x", Keys: []string{"k2", "k3", "k4"}, Rate: 5, Burst: 6}, {Path: "accounts[1]", Name: "y"}},
	}
	var lines []string
	for _, d := range Diff(from, to) {
		lines = append(lines, d.String())
	}
	g.Expect(lines).To(Equal([]string{
		"change: version: 3 is not above 3: hosts keep the version in force",
		`change: routes[1]: database "gone" is gone: its sessions are refused`,
		"change: routes[0].service: s becomes s2: from the next transaction on",
		"change: routes[0].timeout: 1s becomes 2s: when its statements are given up",
		"change: routes[0].priority: 0 becomes 1: its place when there is too little room",
		`change: routes[1]: database "new" is new`,
		`change: services[1]: service "old" is gone: its connections are closed`,
		"change: services[0].max_conns: 50 becomes 60: connections that all hosts together open to an instance",
		`change: services[1]: service "s2" is new`,
		`change: accounts[1]: account "left" is gone with 1 keys: its callers are refused`,
		`change: accounts[0].keys: 1 keys of "x" are withdrawn: their sessions are refused at once`,
		`change: accounts[0].keys: 2 keys of "x" are new`,
		"change: accounts[0].rate: 10 becomes 5: the limit is lowered",
		"change: accounts[0].burst: 5 becomes 6: the limit is raised",
		`change: accounts[1]: account "y" is new with 0 keys`,
		"change: idle: 0s becomes 1s: when idle transactions are ended",
	}))
	g.Expect(Diff(from, from)).To(HaveLen(1), "only the version")
}
