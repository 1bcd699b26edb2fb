package failover

import (
	"context"
	"slices"
	"time"

	"github.com/bramleylever/bramleylever/internal/control"
	"github.com/bramleylever/bramleylever/internal/membership"
	"github.com/bramleylever/bramleylever/internal/records"
)

// knownDomains returns the failure domains of the deployment. It includes the domains of
// dead members, so that an isolated domain does not conclude that it is the only one.
func (r *Runner) knownDomains(s *records.Snapshot) map[string]bool {
	domains := map[string]bool{r.options.Self.Domain: true}
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

// configure applies the databases of a snapshot.
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
	if r.options.SingleDomain {
		domains = 1
	}
	return Configure{Instances: d.instances, Domains: domains}
}

func (r *Runner) assignProber(now time.Time, d *database) {
	if AssignedProber(r.liveHosts, d.name) != r.options.Self.Host {
		d.prober = nil
		return
	}
	if d.prober == nil {
		d.prober = NewProber()
	}
	d.prober.Configure(now, d.instances)
}

// memberList is a membership.View with a fixed list of members.
type memberList struct {
	membership.View
	members []membership.Member
}

func (l memberList) Members() []membership.Member { return l.members }

// bucketHolder returns the alive or suspect member that claims a bucket in the highest
// epoch.
func (r *Runner) bucketHolder(bucket uint32) (membership.Member, uint64, bool) {
	return membership.BucketHolder(memberList{members: r.members}, bucket)
}

// refreshEpochs updates the epoch of each bucket from the leases and from the members'
// claims. A draining host relinquishes the buckets whose lease it no longer holds.
func (r *Runner) refreshEpochs() {
	draining := r.options.View.Self().Draining
	for bucket := range uint32(control.BucketCount) {
		epoch, held := r.options.Buckets.Held(bucket)
		r.epochs.ObserveLease(bucket, epoch, held)
		if draining && !held {
			r.epochs.Relinquish(bucket)
		}
		if m, claimed, ok := r.bucketHolder(bucket); ok && m.Host != r.options.Self.Host {
			r.epochs.ObserveEpoch(bucket, claimed)
		}
	}
}

func (r *Runner) publishClaims() {
	claims := r.epochs.Claims()
	if slices.Equal(claims, r.claims) {
		return
	}
	r.claims = claims
	if r.options.OnClaimsChange != nil {
		r.options.OnClaimsChange(slices.Clone(claims))
	}
}

// updateCoordination starts or ends coordination of a database as the epoch of its bucket
// requires.
func (r *Runner) updateCoordination(ctx context.Context, now time.Time, d *database) {
	epoch, lapsed := r.epochs.Epoch(d.bucket)
	if epoch == 0 {
		if d.coordinator != nil && d.coordinator.Epoch() != 0 {
			r.step(ctx, now, d, StepDown{Epoch: d.coordinator.Epoch(), Reason: "bucket handed back or held in a higher epoch"})
		}
		return
	}
	if d.coordinator == nil {
		d.coordinator = NewCoordinator(d.name)
		r.step(ctx, now, d, r.configureEvent(d))
	}
	if g, ok := r.options.Topology.Group(d.name); ok {
		r.step(ctx, now, d, TopologyUpdate{Group: g})
	}
	r.step(ctx, now, d, Lead{Epoch: epoch})
	if lapsed && d.coordinator.Epoch() == 0 {
		// An instance has a term of a higher epoch, so another host holds the bucket.
		r.epochs.Relinquish(d.bucket)
	}
}
