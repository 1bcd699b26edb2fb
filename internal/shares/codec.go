package shares

import (
	"fmt"
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/share"
)

// maxValidity is the longest validity that a message may have. It is far above any
// setting.
const maxValidity = 24 * time.Hour

func kindFromProto(kind peerv1.ShareKind) share.Kind {
	switch kind {
	case peerv1.ShareKind_SHARE_KIND_RATE:
		return share.Rate
	case peerv1.ShareKind_SHARE_KIND_UNITS:
		return share.Units
	default:
		return -1
	}
}

func kindToProto(kind share.Kind) peerv1.ShareKind {
	if kind == share.Units {
		return peerv1.ShareKind_SHARE_KIND_UNITS
	}
	return peerv1.ShareKind_SHARE_KIND_RATE
}

func grantsToProto(grants []share.Grant) []*peerv1.Grant {
	out := make([]*peerv1.Grant, 0, len(grants))
	for _, g := range grants {
		class := peerv1.GrantClass_GRANT_CLASS_BASE
		if g.Class == share.Dynamic {
			class = peerv1.GrantClass_GRANT_CLASS_DYNAMIC
		}
		out = append(out, &peerv1.Grant{
			Id:         g.ID,
			Epoch:      g.Epoch,
			Class:      class,
			Rate:       g.Rate,
			Capacity:   g.Capacity,
			Level:      g.Level,
			ValidityMs: g.Validity.Milliseconds(),

			LimitRate:     g.Limit.Rate,
			LimitCapacity: g.Limit.Capacity,
		})
	}
	return out
}

func grantsFromProto(messages []*peerv1.Grant) ([]share.Grant, error) {
	out := make([]share.Grant, 0, len(messages))
	for i, m := range messages {
		class := share.Base
		switch m.GetClass() {
		case peerv1.GrantClass_GRANT_CLASS_BASE:
		case peerv1.GrantClass_GRANT_CLASS_DYNAMIC:
			class = share.Dynamic
		default:
			return nil, fmt.Errorf("grant %d: class: %w", i, share.ErrMalformed)
		}
		if v := m.GetValidityMs(); v < 0 || v > maxValidity.Milliseconds() {
			return nil, fmt.Errorf("grant %d: validity_ms %d: %w", i, v, share.ErrMalformed)
		}
		out = append(out, share.Grant{
			ID:       m.GetId(),
			Epoch:    m.GetEpoch(),
			Class:    class,
			Rate:     m.GetRate(),
			Capacity: m.GetCapacity(),
			Level:    m.GetLevel(),
			Validity: time.Duration(m.GetValidityMs()) * time.Millisecond,
			Limit:    share.Limit{Rate: m.GetLimitRate(), Capacity: m.GetLimitCapacity()},
		})
	}
	return out, nil
}

func demandToProto(res resource, call share.Call) *peerv1.Demand {
	return &peerv1.Demand{
		Kind:     kindToProto(res.kind),
		Resource: res.name,
		Wanted:   call.Wanted,
		Unmet:    call.Unmet,
		Held:     grantsToProto(call.Held),
		Returned: grantsToProto(call.Returned),
		Sequence: call.Sequence,
		Epoch:    call.Epoch,
		Leaving:  call.Leaving,
	}
}

func callFromProto(sender *peerv1.Sender, d *peerv1.Demand) (share.Call, error) {
	held, err := grantsFromProto(d.GetHeld())
	if err != nil {
		return share.Call{}, fmt.Errorf("held: %w", err)
	}
	returned, err := grantsFromProto(d.GetReturned())
	if err != nil {
		return share.Call{}, fmt.Errorf("returned: %w", err)
	}
	return share.Call{
		Holder:   share.HolderID{Host: sender.GetHost(), Incarnation: sender.GetIncarnation()},
		Epoch:    d.GetEpoch(),
		Sequence: d.GetSequence(),
		Wanted:   d.GetWanted(),
		Unmet:    d.GetUnmet(),
		Held:     held,
		Returned: returned,
		Leaving:  d.GetLeaving(),
	}, nil
}

func answerFromProto(m *peerv1.ResourceGrants) (share.Answer, error) {
	grants, err := grantsFromProto(m.GetGrants())
	if err != nil {
		return share.Answer{}, fmt.Errorf("answer for %s: %w", m.GetResource(), err)
	}
	return share.Answer{Epoch: m.GetEpoch(), Sequence: m.GetSequence(), Grants: grants}, nil
}
