package records

import (
	"context"
	"math"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/revision"
)

// Fetch implements peerv1.RecordsServer. It returns the changes since the peer's
// revision, or all records if those changes are not kept. It returns Unavailable
// until the replica is started.
func (r *Runner) Fetch(_ context.Context, request *peerv1.FetchRequest) (*peerv1.FetchReply, error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.replica.Started() {
		return nil, status.Error(codes.Unavailable, "records: not started")
	}
	reply := &peerv1.FetchReply{
		Sender:       r.o.Identity.Sender(),
		Revision:     r.replica.Revision(),
		Confirmation: confirmationToProto(r.replica.Confirmation(now)),
	}
	changes, ok := r.replica.Since(request.GetAfterRevision())
	if !ok {
		reply.Snapshot = true
		reply.Records = recordsToProto(r.replica.State().Records())
		return reply, nil
	}
	for _, c := range changes {
		reply.Changes = append(reply.Changes, changeToProto(c))
	}
	return reply, nil
}

// Push implements peerv1.RecordsServer: it applies changes from a relay. A push does
// not confirm the records, because the age of an unsolicited message is unknown.
func (r *Runner) Push(_ context.Context, request *peerv1.PushRequest) (*peerv1.PushReply, error) {
	gap := false
	var rev int64
	r.updateReplica("pushed by "+request.GetSender().GetHost(), func(replica *revision.Replica[*Set, []Record]) {
		for _, c := range request.GetChanges() {
			if replica.Apply(changeFromProto(c)) == revision.Gap {
				gap = true
			}
		}
		rev = replica.Revision()
	})
	if gap {
		r.wakeFetch()
	}
	return &peerv1.PushReply{Sender: r.o.Identity.Sender(), Revision: rev}, nil
}

func (r Record) toProto() *peerv1.Record {
	return &peerv1.Record{
		Kind:          string(r.Kind),
		Name:          r.Name,
		SchemaVersion: uint32(max(r.SchemaVersion, 0)),
		Body:          r.Body,
		ModRevision:   r.ModRevision,
		Deleted:       r.Deleted,
	}
}

func recordFromProto(m *peerv1.Record) Record {
	return Record{
		Kind:          Kind(m.GetKind()),
		Name:          m.GetName(),
		SchemaVersion: int(min(m.GetSchemaVersion(), maxSchemaVersion)),
		Body:          m.GetBody(),
		ModRevision:   m.GetModRevision(),
		Deleted:       m.GetDeleted(),
	}
}

func changeToProto(c revision.Change[[]Record]) *peerv1.Change {
	return &peerv1.Change{
		PreviousRevision: c.Previous, Revision: c.Revision, Records: recordsToProto(c.Body),
	}
}

func changeFromProto(m *peerv1.Change) revision.Change[[]Record] {
	return revision.Change[[]Record]{
		Previous: m.GetPreviousRevision(), Revision: m.GetRevision(), Body: recordsFromProto(m.GetRecords()),
	}
}

func recordsToProto(list []Record) []*peerv1.Record {
	out := make([]*peerv1.Record, 0, len(list))
	for _, record := range list {
		out = append(out, record.toProto())
	}
	return out
}

func recordsFromProto(list []*peerv1.Record) []Record {
	out := make([]Record, 0, len(list))
	for _, m := range list {
		out = append(out, recordFromProto(m))
	}
	return out
}

// maxAgeMS bounds an age from a peer, so that computing with it as a duration does
// not overflow.
const maxAgeMS = math.MaxInt64 / int64(4*time.Millisecond)

// ageToMillis rounds an age up to milliseconds.
func ageToMillis(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

func ageFromMillis(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return time.Duration(min(ms, maxAgeMS)) * time.Millisecond
}

func confirmationToProto(c revision.Confirmation) *peerv1.Confirmation {
	m := &peerv1.Confirmation{Revision: c.Revision, AgeMs: ageToMillis(c.StoreAge)}
	for domain, age := range c.Domains {
		m.Domains = append(m.Domains, &peerv1.DomainContact{Domain: domain, AgeMs: ageToMillis(age)})
	}
	return m
}

// confirmationFromProto converts a confirmation. A missing one gets revision 0 and
// confirms nothing.
func confirmationFromProto(sender *peerv1.Sender, m *peerv1.Confirmation) revision.Confirmation {
	c := revision.Confirmation{
		Domain:   sender.GetDomain(),
		Revision: m.GetRevision(),
		StoreAge: ageFromMillis(m.GetAgeMs()),
		Domains:  map[string]time.Duration{},
	}
	for _, contact := range m.GetDomains() {
		if age := ageFromMillis(contact.GetAgeMs()); age >= 0 {
			c.Domains[contact.GetDomain()] = age
		}
	}
	return c
}
