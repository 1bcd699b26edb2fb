package catalog

import (
	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/platform"
	"github.com/bramleylever/bramleylever/revision"
)

// Hosts tell each other revisions as a generation and a number within it.

// peerRevision returns the revision that another host told. A host that runs a build from
// before there were generations tells none: its revisions count as belonging to the
// present generation unless this host has seen the store being restored.
func (f *Follower) peerRevision(generation, number int64) int64 {
	g := platform.Generation(generation)
	if newest := f.store.Generation(); g == 0 && f.initialGeneration.Load() == int64(newest) {
		g = newest
	}
	return platform.ComposeRevision(g, number)
}

// RevisionsForPeers returns the revisions of the newest known changes for another host.
func (f *Follower) RevisionsForPeers() *peerv1.CatalogRevisions {
	return revisionsToProto(f.Revisions())
}

// HintFromPeer passes on to Hint what another host told.
func (f *Follower) HintFromPeer(r *peerv1.CatalogRevisions) { f.Hint(f.revisionsFromProto(r)) }

func revisionsToProto(r Revisions) *peerv1.CatalogRevisions {
	operatorGeneration, operator := platform.SplitRevision(r.Operator)
	serversGeneration, servers := platform.SplitRevision(r.Servers)
	return &peerv1.CatalogRevisions{
		Operator: operator, OperatorGeneration: int64(operatorGeneration),
		Servers: servers, ServersGeneration: int64(serversGeneration),
	}
}

func (f *Follower) revisionsFromProto(r *peerv1.CatalogRevisions) Revisions {
	return Revisions{
		Operator: f.peerRevision(r.GetOperatorGeneration(), r.GetOperator()),
		Servers:  f.peerRevision(r.GetServersGeneration(), r.GetServers()),
	}
}

func partToProto(p Part) peerv1.CatalogPart {
	if p == OperatorPart {
		return peerv1.CatalogPart_CATALOG_PART_OPERATOR
	}
	return peerv1.CatalogPart_CATALOG_PART_SERVERS
}

func partFromProto(p peerv1.CatalogPart) (Part, bool) {
	switch p {
	case peerv1.CatalogPart_CATALOG_PART_OPERATOR:
		return OperatorPart, true
	case peerv1.CatalogPart_CATALOG_PART_SERVERS:
		return ServersPart, true
	}
	return 0, false
}

func eventToProto(item platform.KeyValue, deleted bool) *peerv1.CatalogEvent {
	_, number := platform.SplitRevision(item.ModRevision)
	return &peerv1.CatalogEvent{Key: item.Key, Value: item.Value, ModRevision: number, Deleted: deleted}
}

// updateToProto encodes an update. All its revisions belong to one generation: a replica
// starts anew with each generation.
func updateToProto(u Update) *peerv1.FetchCatalogReply {
	generation, snapshot := platform.SplitRevision(u.SnapshotRevision)
	reply := &peerv1.FetchCatalogReply{SnapshotRevision: snapshot}
	for _, item := range u.Entries {
		reply.Entries = append(reply.Entries, eventToProto(item, false))
	}
	for _, c := range u.Changes {
		changeGeneration, number := platform.SplitRevision(c.Revision)
		generation = changeGeneration
		_, previous := platform.SplitRevision(c.Previous)
		change := &peerv1.CatalogChange{Previous: previous, Revision: number}
		for _, event := range c.Body {
			change.Events = append(change.Events, eventToProto(event.KeyValue, event.Deleted))
		}
		reply.Changes = append(reply.Changes, change)
	}
	reply.Generation = int64(generation)
	return reply
}

func (f *Follower) updateFromProto(reply *peerv1.FetchCatalogReply) Update {
	compose := func(number int64) int64 { return f.peerRevision(reply.GetGeneration(), number) }
	eventFromProto := func(e *peerv1.CatalogEvent) platform.Event {
		item := platform.KeyValue{Key: e.GetKey(), Value: e.GetValue(), ModRevision: compose(e.GetModRevision())}
		return platform.Event{KeyValue: item, Deleted: e.GetDeleted()}
	}
	u := Update{SnapshotRevision: compose(reply.GetSnapshotRevision())}
	for _, e := range reply.GetEntries() {
		u.Entries = append(u.Entries, eventFromProto(e).KeyValue)
	}
	for _, c := range reply.GetChanges() {
		change := revision.Change[[]platform.Event]{Previous: compose(c.GetPrevious()), Revision: compose(c.GetRevision())}
		for _, e := range c.GetEvents() {
			change.Body = append(change.Body, eventFromProto(e))
		}
		u.Changes = append(u.Changes, change)
	}
	return u
}
