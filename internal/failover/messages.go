package failover

import (
	"math"
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/topology"
	"github.com/bramleylever/bramleylever/position"
)

func termToProto(t position.Term) *peerv1.Term {
	return &peerv1.Term{Epoch: t.Epoch, Sequence: t.Sequence}
}

func termFromProto(m *peerv1.Term) position.Term {
	return position.Term{Epoch: m.GetEpoch(), Sequence: m.GetSequence()}
}

func groupToProto(g topology.Group) *peerv1.GroupTopology {
	return &peerv1.GroupTopology{Database: g.Database, Term: termToProto(g.Term), Primary: g.Primary}
}

func groupsToProto(groups []topology.Group) []*peerv1.GroupTopology {
	messages := make([]*peerv1.GroupTopology, 0, len(groups))
	for _, g := range groups {
		messages = append(messages, groupToProto(g))
	}
	return messages
}

func groupFromProto(m *peerv1.GroupTopology) topology.Group {
	return topology.Group{Database: m.GetDatabase(), Term: termFromProto(m.GetTerm()), Primary: m.GetPrimary()}
}

func observationsToProto(observations []Observation) []*peerv1.InstanceObservation {
	messages := make([]*peerv1.InstanceObservation, 0, len(observations))
	for _, o := range observations {
		age := int64(-1)
		if o.SinceSuccess >= 0 {
			age = o.SinceSuccess.Milliseconds()
		}
		messages = append(messages, &peerv1.InstanceObservation{
			Instance:         o.Instance,
			Reachable:        o.Reachable,
			LastSuccessAgeMs: age,
			Role:             string(o.Role),
			Term:             termToProto(o.Term),
			Received:         uint64(o.Received),
			Applied:          uint64(o.Applied),
		})
	}
	return messages
}

func observationsFromProto(messages []*peerv1.InstanceObservation) []Observation {
	observations := make([]Observation, 0, len(messages))
	for _, m := range messages {
		age := time.Duration(-1)
		if ms := m.GetLastSuccessAgeMs(); ms >= 0 && ms < math.MaxInt64/int64(time.Millisecond) {
			age = time.Duration(ms) * time.Millisecond
		}
		observations = append(observations, Observation{
			Instance:     m.GetInstance(),
			Reachable:    m.GetReachable(),
			SinceSuccess: age,
			Role:         backend.Role(m.GetRole()),
			Term:         termFromProto(m.GetTerm()),
			Received:     position.LSN(m.GetReceived()),
			Applied:      position.LSN(m.GetApplied()),
		})
	}
	return observations
}
