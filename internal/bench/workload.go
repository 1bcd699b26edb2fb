// Package bench implements the load tool. It sends an open-loop load to a
// deployment, injects faults on a schedule, checks the results that callers
// received against the rows that the databases store, and reports latency,
// refusals, replica reads and gaps in write availability.
//
// Latency is measured from the intended send time, so that it includes
// queueing in the tool and in the system.
package bench

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bramleylever/bramleylever/examples"
	"github.com/bramleylever/bramleylever/internal/records"
)

// AccountLoad describes the load that one client account sends.
type AccountLoad struct {
	Account string
	// Limit is the account's rate limit in requests per second.
	Limit float64
	// Burst is the bucket size of the rate limit, in requests.
	Burst float64
	// Rate is the offered load in requests per second.
	Rate float64
	// Overload multiplies Rate in the middle third of the run; 1 means no overload.
	Overload float64
	Sessions int
}

// Workload describes the requests that a run sends.
type Workload struct {
	Name     string
	Routes   []string
	Accounts []AccountLoad
	// WriteShare is the fraction of requests that are writes.
	WriteShare float64
	// IdempotentShare is the fraction of writes that are declared idempotent.
	IdempotentShare float64
	// StaleShare is the fraction of reads that accept data up to MaxStaleness old.
	StaleShare   float64
	MaxStaleness time.Duration
	// SwitchProxyEvery is the number of requests after which a session
	// reconnects to another proxy; 0 means never.
	SwitchProxyEvery int
}

const (
	// offeredLoadFraction is the usual offered load relative to the account's rate limit.
	offeredLoadFraction = 0.5
	// overloadFactor multiplies the usual load of the overloading account; at a
	// scale of 1 it then sends three times its rate limit.
	overloadFactor           = 6
	requestsPerSecPerSession = 25
)

// ExampleWorkload returns the workload of an example deployment with its offered
// load multiplied by scale.
func ExampleWorkload(name string, scale float64) (Workload, error) {
	raw, err := examples.Files.ReadFile(name + "/records.json")
	if err != nil {
		return Workload{}, fmt.Errorf("workload %q does not exist: expected one of %v", name, examples.Deployments)
	}
	list, err := records.ParseFile(raw)
	if err != nil {
		return Workload{}, err
	}
	w := Workload{
		Name:             name,
		WriteShare:       0.1,
		IdempotentShare:  0.5,
		StaleShare:       0.3,
		MaxStaleness:     5 * time.Second,
		SwitchProxyEvery: 50,
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
	// The account in the middle of the list exceeds its rate limit.
	w.Accounts[len(w.Accounts)/2].Overload = overloadFactor
	return w, nil
}

func accountLoad(r records.Record, scale float64) (AccountLoad, error) {
	snapshot, err := records.NewSet([]records.Record{r}).Snapshot(1)
	if err != nil {
		return AccountLoad{}, err
	}
	a := snapshot.Accounts[r.Name]
	rate := a.RequestsPerSecond * offeredLoadFraction * scale
	return AccountLoad{
		Account:  r.Name,
		Limit:    a.RequestsPerSecond,
		Burst:    a.Burst,
		Rate:     rate,
		Overload: 1,
		Sessions: max(2, int(rate/requestsPerSecPerSession)),
	}, nil
}

// arrivals returns the intended send times of an account's requests as offsets
// from the start of the run. The intervals are exponentially distributed if
// poisson is set and constant otherwise.
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
