package leadership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
)

// Guards against a heartbeat that makes a confirmation look younger than it is, and
// against hosts with other lists that take the ages for those of other hosts.
func TestHeartbeatEncoding(t *testing.T) {
	var members []string
	for i := range 40 {
		members = append(members, fmt.Sprintf("h%02d", i))
	}
	now := time.Unix(1000, 0)
	sender := NewCore("h00")
	sender.SetMembers(members)
	sender.RecordStoreRead(now, StoreRead{Sent: now, Closed: map[string]uint64{"x": 3}})
	sent := map[string]time.Duration{}
	for i, name := range members[1:30] {
		sent[name] = time.Duration(i) * 67 * time.Millisecond
		sender.Merge(now, now, Heartbeat{Confirms: true, StoreAge: -1, Ages: map[uint32]time.Duration{hash(name): sent[name]}})
	}
	for _, list := range [][]string{members, members[:35], append(slices.Clone(members), "h99")} {
		receiver := NewCore("h39")
		receiver.SetMembers(list)
		order, membersHash := receiver.Members()
		reply := heartbeatToProto(sender.Heartbeat(now), membersHash, nil)
		h := heartbeatFromProto(reply, order)
		for name, age := range sent {
			got, ok := h.Ages[hash(name)]
			if !ok || got < age || got > age+ageUnit {
				t.Errorf("list of %d: age of %s is %v, want %v", len(list), name, got, age)
			}
		}
		if len(h.Ages) != len(sent)+1 || h.Closed["x"] != 3 || !h.Confirms {
			t.Errorf("list of %d: decoded %d ages, closed %v, confirms %v", len(list), len(h.Ages), h.Closed, h.Confirms)
		}
	}
}

// FuzzHeartbeat guards against a hostile or damaged heartbeat that ends the process or
// yields an age below zero.
func FuzzHeartbeat(f *testing.F) {
	f.Add([]byte{1, 255, 3}, uint32(7), uint32(9), uint64(2))
	f.Fuzz(func(t *testing.T, ages []byte, host, age uint32, epoch uint64) {
		reply := &peerv1.HeartbeatReply{
			Ages: ages, Hosts: []uint32{host, host + 1}, AgesMs: []uint32{age}, StoreAgeMs: age, Confirms: true,
			Closed: []*peerv1.ClosedTerm{nil, {Service: "x", Epoch: epoch}}, Leaders: []*peerv1.Leader{nil},
		}
		c := NewCore("a")
		c.SetMembers([]string{"a", "b", "c"})
		order, _ := c.Members()
		h := heartbeatFromProto(reply, order)
		for id, got := range h.Ages {
			if got < 0 {
				t.Errorf("age of %d is %v", id, got)
			}
		}
		now := time.Unix(1000, 0)
		c.Merge(now, now, h)
		if c.Valid(now.Add(maxStoreSilence)) {
			t.Error("the lease outlasts its limits")
		}
	})
}
