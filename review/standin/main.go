//go:build review

// Command standin plays the cases of the review: it starts the gateways as processes
// before stand-ins of the platform, the instances and the clients, and checks one rule.
package main

import (
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime ends a case that hangs.
const maxCaseTime = 115 * time.Second

//go:embed names.json config.json settings.json
var files embed.FS

// names holds the words of the platform's pages.
var names struct {
	SettingsVariable string `json:"settings_variable"`
	HolderHeader     string `json:"holder_header"`
	FenceHeader      string `json:"fence_header"`
	GenerationHeader string `json:"generation_header"`
	ConfigKey        string `json:"config_key"`
	ServerPrefix     string `json:"server_prefix"`
	FailoverPath     string `json:"failover_path"`
	StorePath        string `json:"store_path"`
	ReadyPath        string `json:"ready_path"`
}

func readFile(name string) []byte {
	data, err := files.ReadFile(name)
	if err != nil {
		panic(err)
	}
	return data
}

// notRun ends a case that could not be set up.
type notRun struct{ reason string }

func fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

// recorder writes the record of a case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// cases holds the cases by name. Each returns what broke the rule; nothing if it held.
var cases = map[string]func(f *fleet, trouble bool) []string{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) (code int) {
	run, ok := cases[name]
	file, err := os.Create(record)
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such case, or no record:", name, err)
		return exitNotRun
	}
	if err := json.Unmarshal(readFile("names.json"), &names); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f := &fleet{record: &recorder{file: file, started: time.Now()}}
	defer f.end()
	time.AfterFunc(maxCaseTime, func() {
		f.record.add("the case took too long")
		f.end()
		os.Exit(exitNotRun)
	})
	defer func() {
		if v := recover(); v != nil {
			f.record.add("not run: %v", v)
			fmt.Println("not run:", v)
			code = exitNotRun
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	f.record.add("case %s, with the disruption: %t", name, trouble)
	f.start()
	broken := run(f, trouble)
	for _, b := range broken {
		f.record.add("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	f.record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
