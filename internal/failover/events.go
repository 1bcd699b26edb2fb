package failover

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

// Instance is one instance of a database group.
type Instance struct {
	Name    string
	Address string
	Domain  string
	// Leaving is set while the instance is being taken out of service. It ranks after an
	// equal candidate that is not leaving.
	Leaving bool
}

// Observation is the state of one instance as its prober sees it.
type Observation struct {
	Instance string
	// Reachable is false after SuspicionTimeout without a successful probe.
	Reachable bool
	Role      backend.Role
	Term      position.Term
	Received  position.LSN
	Applied   position.LSN
	// SinceSuccess is the time since the last successful probe; negative if there was none.
	SinceSuccess time.Duration
}

// Event is an input of the Coordinator.
type Event interface{ event() }

type (
	// Configure sets the instances of the group and the number of failure domains.
	Configure struct {
		Instances []Instance
		// Domains is the number of failure domains in the deployment.
		Domains int
	}
	// Lead reports that this host was elected coordinator in Epoch.
	Lead struct{ Epoch uint64 }
	// StepDown ends coordination in every epoch up to Epoch.
	StepDown struct {
		Epoch  uint64
		Reason string
	}
	// TopologyUpdate passes on an entry of this host's topology table.
	TopologyUpdate struct{ Group topology.Group }
	// DomainReport holds the observations of one failure domain's prober. It omits
	// instances that have never answered and were probed for less than SuspicionTimeout.
	DomainReport struct {
		Domain       string
		Observations []Observation
	}
	// Answer is the result of a Call.
	Answer struct {
		Call   uint64
		Status backend.Status
		Err    error
	}
	// SwitchoverRequest requests a planned switchover. With an empty Target the coordinator
	// chooses the instance.
	SwitchoverRequest struct {
		ID     uint64
		Target string
	}
	// Tick lets the Coordinator check its timers.
	Tick struct{}
)

func (Configure) event()         {}
func (Lead) event()              {}
func (StepDown) event()          {}
func (TopologyUpdate) event()    {}
func (DomainReport) event()      {}
func (Answer) event()            {}
func (SwitchoverRequest) event() {}
func (Tick) event()              {}

// Action is an output of the Coordinator.
type Action interface{ action() }

// CallKind names the control statement of a Call.
type CallKind string

// The control statements that the Coordinator uses.
const (
	CallStatus  CallKind = "status"
	CallRaise   CallKind = "raise_term"
	CallPromote CallKind = "promote"
	CallFollow  CallKind = "follow"
	CallQuiesce CallKind = "quiesce"
)

type (
	// Call requests one control statement. The runner returns its result as an Answer whose
	// Call field is this ID, and fails it after Timeout.
	Call struct {
		ID       uint64
		Kind     CallKind
		Instance string
		Address  string
		Term     position.Term
		// Primary is the address to follow.
		Primary string
		// Limit is the duration of a quiesce.
		Limit   time.Duration
		Timeout time.Duration
	}
	// Announce publishes a primary to the topology tables of this host and all other hosts.
	Announce struct{ Group topology.Group }
	// Decision is a log entry for one failover decision.
	Decision struct {
		Decision string
		Instance string
		Term     position.Term
		Reason   string
	}
	// SwitchoverDone is the result of a SwitchoverRequest.
	SwitchoverDone struct {
		ID     uint64
		Done   bool
		Reason string
		Group  topology.Group
	}
)

func (Call) action()           {}
func (Announce) action()       {}
func (Decision) action()       {}
func (SwitchoverDone) action() {}
