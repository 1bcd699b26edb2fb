//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// gateway is one gateway process, which is started with the command of the deploy file.
type gateway struct {
	name, zone, ip string
	frontend       string
	ready          string
	settings       string
	log            *os.File
	rec            *record
	// memoryBytes is what the machine of the process has.
	memoryBytes int64

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// ownEnds is how often the process ended although nobody stopped it, and peak its highest
	// resident memory.
	ownEnds int
	peak    int64
	done    chan struct{}
}

const (
	restartDelay = 500 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	// internalPorts is the number of ports for connections between gateways.
	internalPorts = 16
	// portsPerGateway are those for callers, readiness, control and the first internal one.
	portsPerGateway = 4
)

// deployment is a small deployment: a store, one service and some gateways.
type deployment struct {
	dir      string
	binary   string
	rec      *record
	store    *kvStore
	storeAt  string
	cloudAt  string
	service  *service
	gateways []*gateway
	zones    []string
	subnet   int
}

// freePorts returns n different ports that are free at an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// All are held until the last one is found, so that no port is found twice.
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addGateway writes the settings of a gateway and starts it.
func (d *deployment) addGateway(zone string) (*gateway, error) {
	n := len(d.gateways) + 1
	ip := fmt.Sprintf("127.%d.%d.%d", 20+d.subnet/200, 1+d.subnet%200, n)
	g := &gateway{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, ip: ip, rec: d.rec}
	ports, err := freePorts(ip, portsPerGateway)
	if err != nil {
		return nil, err
	}
	g.frontend, g.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	settings := document(settingsJSON, map[string]any{
		"node": g.name, "ip": ip, "zone": zone, "internal_ports": []int{ports[3], ports[3] + internalPorts - 1},
		"listen": map[string]string{"frontend": g.frontend, "readiness": g.ready, "control": fmt.Sprintf("%s:%d", ip, ports[2])},
	})
	part(settings, "platform", "address", d.storeAt)
	part(settings, "cloud_api", "address", d.cloudAt)
	memoryMB := settings["limits"].(map[string]any)["memory_mb"].(float64)
	g.memoryBytes = int64(memoryMB) << 20
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	g.settings = filepath.Join(d.dir, g.name+".json")
	if err := os.WriteFile(g.settings, data, 0o600); err != nil {
		return nil, err
	}
	if g.log, err = os.Create(filepath.Join(d.dir, g.name+".log")); err != nil {
		return nil, err
	}
	d.gateways = append(d.gateways, g)
	return g, g.start(d.binary)
}

func (g *gateway) start(binary string) error {
	cmd := exec.Command(binary, "gateway")
	cmd.Env = []string{names["settings"] + "=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=/tmp", "LANG=C"}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	g.rec.line("%s starts", g.name)
	go g.guardMemory(cmd, done)
	go func() {
		err := cmd.Wait()
		close(done)
		g.mu.Lock()
		stopped := g.stopped
		if !stopped {
			g.ownEnds++
		}
		g.mu.Unlock()
		g.rec.line("%s has ended (%v), stopped by the case: %v", g.name, err, stopped)
		if !stopped {
			time.Sleep(restartDelay)
			if err := g.start(binary); err != nil {
				g.rec.line("%s: %v", g.name, err)
			}
		}
	}()
	return nil
}

// guardMemory kills the process when it exceeds the memory of its machine, as the platform does.
func (g *gateway) guardMemory(cmd *exec.Cmd, done <-chan struct{}) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		rss := residentBytes(cmd.Process.Pid)
		g.mu.Lock()
		g.peak = max(g.peak, rss)
		g.mu.Unlock()
		if rss > g.memoryBytes {
			g.rec.line("platform: %s holds %d MB, its machine has %d MB: killed", g.name, rss>>20, g.memoryBytes>>20)
			_ = cmd.Process.Kill()
			return
		}
	}
}

func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kB, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kB << 10
		}
	}
	return 0
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd != nil {
		_ = g.cmd.Process.Signal(s)
	}
}

// stop sends a signal to the process, which is not started again.
func (g *gateway) stop(s syscall.Signal) {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
	g.signal(s)
}

func (g *gateway) isReady() bool {
	c, err := net.DialTimeout("tcp", g.ready, 500*time.Millisecond)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(500 * time.Millisecond))
	_, _ = io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.Contains(line, " 200 ")
}

func (g *gateway) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return true
		}
	}
	return false
}

// end kills all processes and waits for them.
func (d *deployment) end() {
	for _, g := range d.gateways {
		g.stop(syscall.SIGKILL)
	}
	for _, g := range d.gateways {
		g.mu.Lock()
		done := g.done
		g.mu.Unlock()
		<-done
	}
}
