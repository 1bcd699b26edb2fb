package membership

import (
	"time"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
)

// Digest is what a host tells about its records and topology with each
// exchange.
type Digest struct {
	// Revision is the highest configuration revision that the host applied.
	Revision int64
	// ConfirmedAge is the time since the host confirmed that revision;
	// negative if it never did.
	ConfirmedAge time.Duration
	// TopologyHash is the topology.Table's Hash.
	TopologyHash uint64
}

func memberMessage(m Member) *peerv1.Member {
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

func memberOf(m *peerv1.Member) Member {
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

func memberMessages(members []Member) []*peerv1.Member {
	messages := make([]*peerv1.Member, 0, len(members))
	for _, m := range members {
		messages = append(messages, memberMessage(m))
	}
	return messages
}

func membersOf(messages []*peerv1.Member) []Member {
	members := make([]Member, 0, len(messages))
	for _, m := range messages {
		members = append(members, memberOf(m))
	}
	return members
}

func digestMessage(d Digest) *peerv1.Digest {
	age := int64(-1)
	if d.ConfirmedAge >= 0 {
		age = d.ConfirmedAge.Milliseconds()
	}
	return &peerv1.Digest{Revision: d.Revision, ConfirmedAgeMs: age, TopologyHash: d.TopologyHash}
}

// maxAgeMilliseconds is far above any age that counts as confirmed and keeps
// the conversion to a duration from overflowing.
const maxAgeMilliseconds = int64(24 * time.Hour / time.Millisecond)

func digestOf(m *peerv1.Digest) Digest {
	age := time.Duration(-1)
	if ms := m.GetConfirmedAgeMs(); ms >= 0 {
		age = time.Duration(min(ms, maxAgeMilliseconds)) * time.Millisecond
	}
	return Digest{Revision: m.GetRevision(), ConfirmedAge: age, TopologyHash: m.GetTopologyHash()}
}
