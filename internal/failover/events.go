package failover

import (
	"time"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

// Instance is one member of a database group as the coordinator sees it.
type Instance struct {
	Name    string
	Address string
	Domain  string
	// Leaving instances are not promoted while another one qualifies.
	Leaving bool
}

// Observation is what a prober knows of one instance.
type Observation struct {
	Instance string
	// Reachable is false after SuspicionTimeout without a successful probe.
	Reachable bool
	Role      backend.Role
	Term      position.Term
	Received  position.LSN
	Applied   position.LSN
	// SinceSuccess is the time since the last successful probe; negative if
	// there was none.
	SinceSuccess time.Duration
}

// Event is an input of the Coordinator.
type Event interface{ event() }

type (
	// Configure sets the group's instances and the deployment's failure
	// domains.
	Configure struct {
		Instances []Instance
		// Domains is the number of failure domains in the deployment.
		Domains int
	}
	// Lead says that this host was elected coordinator in Epoch.
	Lead struct{ Epoch uint64 }
	// Yield ends the leadership of every epoch up to Epoch.
	Yield struct {
		Epoch  uint64
		Reason string
	}
	// Known passes on a topology entry that another host announced.
	Known struct{ Group topology.Group }
	// DomainReport is what the prober of one failure domain observes. Instances
	// without a verdict yet are left out.
	DomainReport struct {
		Domain       string
		Observations []Observation
	}
	// Answer is the end of a Call.
	Answer struct {
		Call   uint64
		Status backend.Status
		Err    error
	}
	// SwitchoverRequest asks for a planned change of primary. An empty Target
	// lets the coordinator choose.
	SwitchoverRequest struct {
		ID     uint64
		Target string
	}
	// Tick lets time pass.
	Tick struct{}
)

func (Configure) event()         {}
func (Lead) event()              {}
func (Yield) event()             {}
func (Known) event()             {}
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
	// Call asks for one control statement. Its end comes back as an Answer
	// with the same ID; the runner ends it with an error after Timeout.
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
	// Announce publishes a primary to this host's table and to all hosts.
	Announce struct{ Group topology.Group }
	// Decision is one log line about a placement or failover decision.
	Decision struct {
		Decision string
		Instance string
		Term     position.Term
		Reason   string
	}
	// SwitchoverDone answers a SwitchoverRequest.
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
