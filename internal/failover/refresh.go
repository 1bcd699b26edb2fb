package failover

import (
	"context"
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/records"
)

// knownDomains lists the failure domains of the deployment. Members that are
// dead count too, so that a domain that is cut off does not take itself for
// the only one.
func (r *Runner) knownDomains(s *records.Snapshot) map[string]bool {
	domains := map[string]bool{r.o.Self.Domain: true}
	for _, m := range r.members {
		domains[m.Domain] = true
	}
	for domain := range s.Domains {
		domains[domain] = true
	}
	for _, db := range s.Databases {
		for _, in := range db.Instances {
			domains[in.Domain] = true
		}
	}
	return domains
}

// configure takes over the databases of a snapshot.
func (r *Runner) configure(ctx context.Context, now time.Time, s *records.Snapshot) {
	for name := range r.databases {
		if _, ok := s.Databases[name]; !ok {
			delete(r.databases, name)
		}
	}
	for name, record := range s.Databases {
		d, ok := r.databases[name]
		if !ok {
			d = &database{name: name, bucket: control.Bucket("database", name)}
			r.databases[name] = d
		}
		d.instances = instancesOf(s, record)
		r.assignProber(now, d)
		if d.coordinator != nil {
			r.step(ctx, now, d, r.configureEvent(d))
		}
	}
	r.closeUnused()
}

func instancesOf(s *records.Snapshot, db records.Database) []Instance {
	instances := make([]Instance, 0, len(db.Instances))
	for _, in := range db.Instances {
		instances = append(instances, Instance{
			Name:    in.Name,
			Address: in.Address,
			Domain:  in.Domain,
			Leaving: s.InstanceLeaving(in),
		})
	}
	return instances
}

func (r *Runner) configureEvent(d *database) Configure {
	domains := len(r.domains)
	if r.o.SingleDomain {
		domains = 1
	}
	return Configure{Instances: d.instances, Domains: domains}
}

func (r *Runner) assignProber(now time.Time, d *database) {
	if ProberOf(r.liveHosts, d.name) != r.o.Self.Host {
		d.prober = nil
		return
	}
	if d.prober == nil {
		d.prober = NewProber()
	}
	d.prober.Configure(now, d.instances)
}

// memberList is a membership.View of members that were read once.
type memberList struct {
	membership.View
	members []membership.Member
}

func (l memberList) Members() []membership.Member { return l.members }

// holder returns the live member that claims a bucket in the highest epoch.
func (r *Runner) holder(bucket uint32) (membership.Member, uint64, bool) {
	return membership.BucketHolder(memberList{members: r.members}, bucket)
}

// refreshEpochs finds the buckets that this host coordinates.
func (r *Runner) refreshEpochs() {
	draining := r.o.View.Self().Draining
	for bucket := range uint32(control.BucketCount) {
		epoch, held := r.o.Buckets.Held(bucket)
		r.epochs.Held(bucket, epoch, held)
		if draining && !held {
			r.epochs.End(bucket)
		}
		if m, claimed, ok := r.holder(bucket); ok && m.Host != r.o.Self.Host {
			r.epochs.Seen(bucket, claimed)
		}
	}
}

func (r *Runner) publishClaims() {
	claims := r.epochs.Claims()
	if slices.Equal(claims, r.claims) {
		return
	}
	r.claims = claims
	if r.o.OnClaimsChange != nil {
		r.o.OnClaimsChange(slices.Clone(claims))
	}
}

// lead starts or ends the coordinator of a database.
func (r *Runner) lead(ctx context.Context, now time.Time, d *database) {
	epoch, lapsed := r.epochs.Epoch(d.bucket)
	if epoch == 0 {
		if d.coordinator != nil && d.coordinator.Epoch() != 0 {
			r.step(ctx, now, d, Yield{Epoch: d.coordinator.Epoch(), Reason: "bucket handed back or held in a higher epoch"})
		}
		return
	}
	if d.coordinator == nil {
		d.coordinator = NewCoordinator(d.name)
		r.step(ctx, now, d, r.configureEvent(d))
	}
	if g, ok := r.o.Topology.Group(d.name); ok {
		r.step(ctx, now, d, Known{Group: g})
	}
	r.step(ctx, now, d, Lead{Epoch: epoch})
	if lapsed && d.coordinator.Epoch() == 0 {
		// An instance is in a higher epoch, so the bucket has a new holder.
		r.epochs.End(d.bucket)
	}
}
