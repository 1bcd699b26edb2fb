// Package bench is the load and experiment tool: it drives a deployment with
// an open-loop load, injects faults on a schedule, checks the history of what
// callers saw against what the instances hold, and reports the measures of the
// design page.
//
// Invariant: latency counts from the intended send time, so that queueing in
// the tool or in the system is not hidden.
package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleylever/bramleylever/examples"
	"github.com/bramleylever/bramleylever/internal/records"
)

// AccountLoad is the load of one client account.
type AccountLoad struct {
	Account string
	// Limit is the account's rate in requests per second, Burst its burst.
	Limit float64
	Burst float64
	// Rate is the offered load in requests per second.
	Rate float64
	// Overload multiplies Rate in the middle third of the run; 1 means never.
	Overload float64
	Sessions int
}

// Workload describes the callers.
type Workload struct {
	Name     string
	Routes   []string
	Accounts []AccountLoad
	// WriteShare is the part of the requests that write.
	WriteShare float64
	// IdempotentShare is the part of the writes that are declared idempotent.
	IdempotentShare float64
	// StaleShare is the part of the reads that state an age, of MaxStaleness.
	StaleShare   float64
	MaxStaleness time.Duration
	// RoamEvery is the number of requests after which a session moves to
	// another proxy.
	RoamEvery int
}

const (
	// offeredPart is the load relative to the account's rate.
	offeredPart = 0.5
	// overloadFactor is how many times its usual load the overloading account
	// sends, which is three times its rate.
	overloadFactor   = 6
	requestsPerSecOf = 25
)

// Named returns the built-in workload of an example deployment, scaled by a
// factor.
func Named(name string, scale float64) (Workload, error) {
	raw, err := examples.Files.ReadFile(name + "/records.json")
	if err != nil {
		return Workload{}, fmt.Errorf("workload %q does not exist: expected one of %v", name, examples.Deployments)
	}
	list, err := records.ParseFile(raw)
	if err != nil {
		return Workload{}, err
	}
	w := Workload{
		Name:            name,
		WriteShare:      0.1,
		IdempotentShare: 0.5,
		StaleShare:      0.3,
		MaxStaleness:    5 * time.Second,
		RoamEvery:       50,
	}
	for _, r := range list {
		switch r.Kind {
		case records.KindAccount:
			account, err := accountLoad(r, scale)
			if err != nil {
				return Workload{}, err
			}
			w.Accounts = append(w.Accounts, account)
		case records.KindRoute:
			var body struct {
				Open         bool
				MaxStaleness string `json:"max_staleness"`
			}
			if err := json.Unmarshal(r.Body, &body); err != nil {
				return Workload{}, err
			}
			if !body.Open && body.MaxStaleness == "" {
				w.Routes = append(w.Routes, r.Name)
			}
		}
	}
	// One account in the middle of the list sends several times its rate.
	w.Accounts[len(w.Accounts)/2].Overload = overloadFactor
	return w, nil
}

func accountLoad(r records.Record, scale float64) (AccountLoad, error) {
	snapshot, err := records.NewSet([]records.Record{r}).Snapshot(1)
	if err != nil {
		return AccountLoad{}, err
	}
	a := snapshot.Accounts[r.Name]
	rate := a.RequestsPerSecond * offeredPart * scale
	return AccountLoad{
		Account:  r.Name,
		Limit:    a.RequestsPerSecond,
		Burst:    a.Burst,
		Rate:     rate,
		Overload: 1,
		Sessions: max(2, int(rate/requestsPerSecOf)),
	}, nil
}

// arrivals returns the intended send times of an account's requests, as
// offsets from the start: a Poisson process, or a constant interval.
func arrivals(a AccountLoad, duration time.Duration, poisson bool, rng *rand.Rand) []time.Duration {
	var times []time.Duration
	at := time.Duration(0)
	for {
		rate := a.Rate
		if at > duration/3 && at < 2*duration/3 {
			rate *= a.Overload
		}
		gap := 1 / rate
		if poisson {
			gap = rng.ExpFloat64() / rate
		}
		at += time.Duration(gap * float64(time.Second))
		if at >= duration {
			return times
		}
		times = append(times, at)
	}
}
