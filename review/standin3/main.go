// Command standin3 runs the cases 11 to 15 of the third review: it starts gateways as separate
// processes, plays clients, instances and the platform for them on loopback addresses, and
// checks one rule. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// The exit statuses.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// testCase plays one case. trouble says whether the disruption takes place.
type testCase func(r *record, trouble bool) (broken int, err error)

var testCases = map[string]testCase{
	"lost-commit": lostCommit,
	"late-work":   lateWork,
	"new-replica": newReplica,
	"moved-key":   movedKey,
	"long-keys":   longKeys,
}

func main() {
	if len(os.Args) != 3 || testCases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(cannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	go endEarly(r)
	broken, err := testCases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	killGateways()
	switch {
	case err != nil:
		r.say("the case could not run: %v", err)
		r.close()
		os.Exit(cannotRun)
	case broken > 0:
		r.say("RESULT: the rule was broken %d times", broken)
		r.close()
		os.Exit(ruleBroken)
	}
	r.say("RESULT: the rule held")
	r.close()
	os.Exit(ruleHeld)
}

// maxRunTime is the longest time that a case may take.
const maxRunTime = 110 * time.Second

// endEarly ends the gateways and the run on a signal, or when the case takes too long.
func endEarly(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	r.say("the case could not run: it was ended early")
	killGateways()
	os.Exit(cannotRun)
}

// record is the protocol of a run. Its times are seconds since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	fmt.Println(r.line(format, args...))
}

// note writes a line to the record only.
func (r *record) note(format string, args ...any) { r.line(format, args...) }

func (r *record) line(format string, args ...any) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	return line
}

func (r *record) close() { _ = r.file.Close() }

// at returns a time in seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }
