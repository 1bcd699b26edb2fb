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

// Fetch answers what a peer lacks. A host that is not started has nothing to
// answer.
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
		Confirmation: confirmationMessage(r.replica.Confirmation(now)),
	}
	changes, ok := r.replica.Since(request.GetAfterRevision())
	if !ok {
		reply.Snapshot = true
		reply.Records = toMessages(r.replica.State().Records())
		return reply, nil
	}
	for _, c := range changes {
		reply.Changes = append(reply.Changes, changeMessage(c))
	}
	return reply, nil
}

// Push takes changes from a relay. It does not count as a confirmation,
// because the age of a message that was not asked for is not known.
func (r *Runner) Push(_ context.Context, request *peerv1.PushRequest) (*peerv1.PushReply, error) {
	gap := false
	var at int64
	r.update("pushed by "+request.GetSender().GetHost(), func(replica *revision.Replica[*Set, []Record]) {
		for _, c := range request.GetChanges() {
			if replica.Apply(changeFrom(c)) == revision.Gap {
				gap = true
			}
		}
		at = replica.Revision()
	})
	if gap {
		r.hurry()
	}
	return &peerv1.PushReply{Sender: r.o.Identity.Sender(), Revision: at}, nil
}

func (r Record) message() *peerv1.Record {
	return &peerv1.Record{
		Kind:          string(r.Kind),
		Name:          r.Name,
		SchemaVersion: uint32(max(r.SchemaVersion, 0)),
		Body:          r.Body,
		ModRevision:   r.ModRevision,
		Deleted:       r.Deleted,
	}
}

func fromMessage(m *peerv1.Record) Record {
	return Record{
		Kind:          Kind(m.GetKind()),
		Name:          m.GetName(),
		SchemaVersion: int(min(m.GetSchemaVersion(), maxSchemaVersion)),
		Body:          m.GetBody(),
		ModRevision:   m.GetModRevision(),
		Deleted:       m.GetDeleted(),
	}
}

func changeMessage(c revision.Change[[]Record]) *peerv1.Change {
	return &peerv1.Change{
		PreviousRevision: c.Previous, Revision: c.Revision, Records: toMessages(c.Body),
	}
}

func changeFrom(m *peerv1.Change) revision.Change[[]Record] {
	return revision.Change[[]Record]{
		Previous: m.GetPreviousRevision(), Revision: m.GetRevision(), Body: fromMessages(m.GetRecords()),
	}
}

func toMessages(list []Record) []*peerv1.Record {
	out := make([]*peerv1.Record, 0, len(list))
	for _, record := range list {
		out = append(out, record.message())
	}
	return out
}

func fromMessages(list []*peerv1.Record) []Record {
	out := make([]Record, 0, len(list))
	for _, m := range list {
		out = append(out, fromMessage(m))
	}
	return out
}

// maxAgeMS keeps an age from a peer within the range of a duration.
const maxAgeMS = math.MaxInt64 / int64(4*time.Millisecond)

// ageMessage rounds an age up to milliseconds.
func ageMessage(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

func ageFrom(ms int64) time.Duration {
	if ms < 0 {
		return -1
	}
	return time.Duration(min(ms, maxAgeMS)) * time.Millisecond
}

func confirmationMessage(c revision.Confirmation) *peerv1.Confirmation {
	m := &peerv1.Confirmation{Revision: c.Revision, AgeMs: ageMessage(c.StoreAge)}
	for domain, age := range c.Domains {
		m.Domains = append(m.Domains, &peerv1.DomainContact{Domain: domain, AgeMs: ageMessage(age)})
	}
	return m
}

// confirmationFrom reads a confirmation; a missing one has revision 0 and
// counts for nothing.
func confirmationFrom(sender *peerv1.Sender, m *peerv1.Confirmation) revision.Confirmation {
	c := revision.Confirmation{
		Domain:   sender.GetDomain(),
		Revision: m.GetRevision(),
		StoreAge: ageFrom(m.GetAgeMs()),
		Domains:  map[string]time.Duration{},
	}
	for _, contact := range m.GetDomains() {
		if age := ageFrom(contact.GetAgeMs()); age >= 0 {
			c.Domains[contact.GetDomain()] = age
		}
	}
	return c
}
