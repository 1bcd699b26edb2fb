//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: a gateway in each of three zones, one service with three
// instances, and the platform.
type fleet struct {
	record   *recorder
	dir      string
	store    *store
	group    *group
	gateways []*gatewayProcess
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// gatewayProcess is a gateway, which can be restarted.
type gatewayProcess struct {
	fleet    *fleet
	name, ip string
	settings string
	output   *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts everything and waits until the gateways are ready.
func (f *fleet) start() {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	f.dir = dir
	f.store = newStore(f.record)
	f.group = newGroup(f.record, f.store)
	storeAddress, cloudAddress := serveHTTP(f.store), serveHTTP(f.group)
	f.putConfig(1, nil)
	for _, zone := range zones {
		f.group.add(zone)
	}
	network := freeNetwork()
	for i, zone := range zones {
		f.addGateway(fmt.Sprintf("frontend-%s-1", zone), fmt.Sprintf("%s%d", network, i+1), zone, storeAddress, cloudAddress)
	}
	for _, g := range f.gateways {
		g.start()
	}
	for _, g := range f.gateways {
		g.awaitReady(20 * time.Second)
	}
	// Like the traffic of a day, that of a case starts some time after the machines.
	time.Sleep(4 * time.Second)
}

// putConfig writes a version of the configuration, with some changes of its text.
func (f *fleet) putConfig(version int, changes map[string]string) {
	text := strings.Replace(string(readFile("config.json")), `"version": 1`, fmt.Sprintf(`"version": %d`, version), 1)
	for from, to := range changes {
		text = strings.ReplaceAll(text, from, to)
	}
	f.store.put(names.ConfigKey, []byte(text))
	f.record.add("operator: version %d of the configuration acknowledged", version)
}

func serveHTTP(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// gatewayPorts are the ports that a gateway uses on its address.
var gatewayPorts = []int{8465, 8460, 7560, 9464}

// freeNetwork returns the first three numbers of loopback addresses on which the gateways'
// ports are free.
func freeNetwork() string {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for i := range zones {
			for _, port := range gatewayPorts {
				listener, err := net.Listen("tcp", net.JoinHostPort(network+strconv.Itoa(i+1), strconv.Itoa(port)))
				if err != nil {
					free = false
					continue
				}
				_ = listener.Close()
			}
		}
		if free {
			return network
		}
	}
	fail("no free loopback addresses")
	return ""
}

func (f *fleet) addGateway(name, ip, zone, storeAddress, cloudAddress string) {
	text := strings.NewReplacer("@NODE@", name, "@IP@", ip, "@ZONE@", zone, "@STORE@", storeAddress, "@CLOUD@", cloudAddress).
		Replace(string(readFile("settings.json")))
	g := &gatewayProcess{fleet: f, name: name, ip: ip, settings: filepath.Join(f.dir, name+".json")}
	if err := os.WriteFile(g.settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	output, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		fail("output: %v", err)
	}
	g.output = output
	f.gateways = append(f.gateways, g)
}

// command returns the command of the gateway's role in the deploy file.
func command() []string {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		fail("deploy file: %v", err)
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`))
		}
	}
	fail("the deploy file has no command")
	return nil
}

func (g *gatewayProcess) start() {
	words := command()
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsVariable + "=" + g.settings}
	cmd.Stdout, cmd.Stderr = g.output, g.output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start of %s: %v", g.name, err)
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	g.fleet.record.add("%s started", g.name)
	go func() {
		err := cmd.Wait()
		g.fleet.record.add("%s ended: %v", g.name, err)
		close(done)
	}()
}

// signal sends a signal to the gateway and returns a channel that is closed at its end.
func (g *gatewayProcess) signal(s syscall.Signal) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fleet.record.add("%s gets signal %s", g.name, s)
	_ = g.cmd.Process.Signal(s)
	return g.done
}

func (g *gatewayProcess) address() string { return net.JoinHostPort(g.ip, "8465") }

func (g *gatewayProcess) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + net.JoinHostPort(g.ip, "8460") + names.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (g *gatewayProcess) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); !g.ready(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			fail("%s is not ready", g.name)
		}
	}
	g.fleet.record.add("%s is ready", g.name)
}

// end ends all processes and removes the temporary folder. With REVIEW_KEEP it keeps what the
// gateways wrote.
func (f *fleet) end() {
	for _, g := range f.gateways {
		g.mu.Lock()
		if g.cmd != nil {
			_ = g.cmd.Process.Kill()
		}
		done := g.done
		g.mu.Unlock()
		if done != nil {
			<-done
		}
		_ = g.output.Close()
	}
	if keep := os.Getenv("REVIEW_KEEP"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}

// logged returns the gateway's log lines that contain a text.
func (g *gatewayProcess) logged(text string) []string {
	data, err := os.ReadFile(g.output.Name())
	if err != nil {
		return nil
	}
	var lines []string
	for line := range bytes.Lines(data) {
		if bytes.Contains(line, []byte(text)) {
			lines = append(lines, strings.TrimSpace(string(line)))
		}
	}
	return lines
}
