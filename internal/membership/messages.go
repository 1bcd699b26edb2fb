package membership

import (
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
)

// Digest summarizes a host's configuration records and topology. It is sent
// with each exchange.
type Digest struct {
	// Revision is the highest configuration revision that the host applied.
	Revision int64
	// ConfirmedAge is the time since the host last confirmed that revision;
	// negative if it never did.
	ConfirmedAge time.Duration
	// TopologyHash is the Hash of the host's topology.Table.
	TopologyHash uint64
}

func memberToProto(m Member) *peerv1.Member {
	message := &peerv1.Member{
		Host:        m.Host,
		Domain:      m.Domain,
		Address:     m.Address,
		Incarnation: m.Incarnation,
		State:       peerv1.MemberState(m.State),
		Version:     m.Version,
		Relay:       m.Relay,
		Draining:    m.Draining,
		Revision:    m.Revision,
	}
	for _, claim := range m.Buckets {
		message.Buckets = append(message.Buckets, &peerv1.BucketClaim{Bucket: claim.Bucket, Epoch: claim.Epoch})
	}
	return message
}

func memberFromProto(m *peerv1.Member) Member {
	member := Member{
		Host:        m.GetHost(),
		Domain:      m.GetDomain(),
		Address:     m.GetAddress(),
		Incarnation: m.GetIncarnation(),
		State:       State(m.GetState()),
		Version:     m.GetVersion(),
		Relay:       m.GetRelay(),
		Draining:    m.GetDraining(),
		Revision:    m.GetRevision(),
	}
	for _, claim := range m.GetBuckets() {
		member.Buckets = append(member.Buckets, BucketClaim{Bucket: claim.GetBucket(), Epoch: claim.GetEpoch()})
	}
	return member
}

func membersToProto(members []Member) []*peerv1.Member {
	messages := make([]*peerv1.Member, 0, len(members))
	for _, m := range members {
		messages = append(messages, memberToProto(m))
	}
	return messages
}

func membersFromProto(messages []*peerv1.Member) []Member {
	members := make([]Member, 0, len(messages))
	for _, m := range messages {
		members = append(members, memberFromProto(m))
	}
	return members
}

func digestToProto(d Digest) *peerv1.Digest {
	age := int64(-1)
	if d.ConfirmedAge >= 0 {
		age = d.ConfirmedAge.Milliseconds()
	}
	return &peerv1.Digest{Revision: d.Revision, ConfirmedAgeMs: age, TopologyHash: d.TopologyHash}
}

// maxAgeMilliseconds bounds a received age, so that its conversion to a duration
// does not overflow. It is far above any age that counts as confirmed.
const maxAgeMilliseconds = int64(24 * time.Hour / time.Millisecond)

func digestFromProto(m *peerv1.Digest) Digest {
	age := time.Duration(-1)
	if ms := m.GetConfirmedAgeMs(); ms >= 0 {
		age = time.Duration(min(ms, maxAgeMilliseconds)) * time.Millisecond
	}
	return Digest{Revision: m.GetRevision(), ConfirmedAge: age, TopologyHash: m.GetTopologyHash()}
}
