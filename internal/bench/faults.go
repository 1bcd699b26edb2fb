package bench

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Action is the name of a fault or of an operator's action.
type Action string

// The actions of a fault schedule. A target is the name of an instance, failure
// domain, host or account; "primary:DATABASE" stands for the primary of a
// database at the time of the action.
const (
	ActionKillInstance   Action = "kill_instance"
	ActionStartInstance  Action = "start_instance"
	ActionFreezeInstance Action = "freeze_instance"
	ActionThawInstance   Action = "thaw_instance"
	ActionLagInstance    Action = "lag_instance"
	ActionDrainBackend   Action = "drain_backend"
	ActionReturnBackend  Action = "return_backend"
	ActionCutDomain      Action = "cut_domain"
	ActionHeal           Action = "heal"
	ActionLeaveDomain    Action = "leave_domain"
	ActionReturnDomain   Action = "return_domain"
	ActionKillHost       Action = "kill_host"
	ActionDrainHost      Action = "drain_host"
	ActionStartHost      Action = "start_host"
	ActionPlatformDown   Action = "platform_down"
	ActionPlatformUp     Action = "platform_up"
	ActionLoseAnswers    Action = "lose_answers"
	ActionWithdrawKey    Action = "withdraw_key"
)

var actions = map[Action]bool{
	ActionKillInstance: true, ActionStartInstance: true, ActionFreezeInstance: true,
	ActionThawInstance: true, ActionLagInstance: true, ActionDrainBackend: true,
	ActionReturnBackend: true, ActionCutDomain: true, ActionHeal: true, ActionLeaveDomain: true,
	ActionReturnDomain: true, ActionKillHost: true, ActionDrainHost: true, ActionStartHost: true,
	ActionPlatformDown: true, ActionPlatformUp: true, ActionLoseAnswers: true, ActionWithdrawKey: true,
}

// Fault is one entry of a fault schedule.
type Fault struct {
	// At is the offset from the start of the load.
	At     time.Duration
	Action Action
	Target string
	// Lag is the replication lag that lag_instance sets.
	Lag time.Duration
	// Count is the number of responses that lose_answers drops.
	Count int
}

// faultJSON is the JSON form of a Fault; durations are strings such as "10s".
type faultJSON struct {
	At     string `json:"at"`
	Action Action `json:"action"`
	Target string `json:"target,omitempty"`
	Lag    string `json:"lag,omitempty"`
	Count  int    `json:"count,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler. Unknown fields are rejected.
func (f *Fault) UnmarshalJSON(raw []byte) error {
	var in faultJSON
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return err
	}
	if !actions[in.Action] {
		return fmt.Errorf("action: %q is not known", in.Action)
	}
	at, err := time.ParseDuration(in.At)
	if err != nil || at < 0 {
		return fmt.Errorf("at: %q is not a duration of at least 0", in.At)
	}
	*f = Fault{At: at, Action: in.Action, Target: in.Target, Count: in.Count}
	if in.Lag != "" {
		if f.Lag, err = time.ParseDuration(in.Lag); err != nil || f.Lag < 0 {
			return fmt.Errorf("lag: %q is not a duration of at least 0", in.Lag)
		}
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (f Fault) MarshalJSON() ([]byte, error) {
	out := faultJSON{At: f.At.String(), Action: f.Action, Target: f.Target, Count: f.Count}
	if f.Lag != 0 {
		out.Lag = f.Lag.String()
	}
	return json.Marshal(out)
}

// ParseFaults parses a fault schedule, {"faults": [{"at", "action", "target"}]}.
// The faults must be in ascending order of time.
func ParseFaults(raw []byte) ([]Fault, error) {
	var file struct {
		Faults []Fault `json:"faults"`
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return nil, fmt.Errorf("fault schedule: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("fault schedule: text after the object")
	}
	for i := 1; i < len(file.Faults); i++ {
		if file.Faults[i].At < file.Faults[i-1].At {
			return nil, fmt.Errorf("fault schedule: faults[%d].at: %s is before %s",
				i, file.Faults[i].At, file.Faults[i-1].At)
		}
	}
	return file.Faults, nil
}
