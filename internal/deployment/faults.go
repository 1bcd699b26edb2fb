package deployment

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/records"
)

// KillInstance stops an instance immediately. It keeps its log and can be
// restarted with StartInstance.
func (d *Deployment) KillInstance(name string) error {
	instance, err := d.instance(name)
	if err != nil {
		return err
	}
	return instance.Close()
}

// StartInstance restarts a killed instance at its address in the records.
func (d *Deployment) StartInstance(name string) error {
	instance, err := d.instance(name)
	if err != nil {
		return err
	}
	for _, r := range d.records {
		if r.Kind != records.KindDatabase {
			continue
		}
		var body databaseBody
		if err := json.Unmarshal(r.Body, &body); err != nil {
			return err
		}
		for _, in := range body.Instances {
			if in.Name == name {
				return instance.Start(in.Address)
			}
		}
	}
	return fmt.Errorf("instance %q is not in the records", name)
}

func (d *Deployment) instance(name string) (*standin.Instance, error) {
	instance, ok := d.Instances[name]
	if !ok {
		return nil, fmt.Errorf("instance %q does not exist", name)
	}
	return instance, nil
}

// UpdateInstance changes the settings of a running instance, such as its lag.
func (d *Deployment) UpdateInstance(name string, change func(*standin.Settings)) error {
	instance, err := d.instance(name)
	if err != nil {
		return err
	}
	return instance.Update(change)
}

// CutDomain partitions a failure domain from the other domains and, if platform is
// set, from the platform store. Callers can still reach its proxies.
func (d *Deployment) CutDomain(domain string, platform bool) error {
	own := d.Prefix(domain)
	for _, other := range d.Domains {
		if other != domain {
			d.Network.Cut(own, d.Prefix(other))
		}
	}
	if platform {
		d.Network.Cut(own, platformPrefix)
	}
	// Replication does not use d.Network, so the instances simulate the partition
	// themselves.
	for name, instance := range d.Instances {
		cut := []netip.Prefix{own}
		if d.InstanceDomains[name] == domain {
			cut = d.otherPrefixes(domain)
		}
		if err := instance.Update(func(s *standin.Settings) { s.Cut = append(s.Cut, cut...) }); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) otherPrefixes(domain string) []netip.Prefix {
	var prefixes []netip.Prefix
	for _, other := range d.Domains {
		if other != domain {
			prefixes = append(prefixes, d.Prefix(other))
		}
	}
	return prefixes
}

// Heal ends all network partitions.
func (d *Deployment) Heal() error {
	d.Network.Heal()
	for _, instance := range d.Instances {
		if err := instance.Update(func(s *standin.Settings) { s.Cut = nil }); err != nil {
			return err
		}
	}
	return nil
}

// SetState changes the service state of a host, failure domain or backend server,
// as the operator commands do, and returns the revision.
func (d *Deployment) SetState(kind records.Kind, name string, state records.ServiceState) (int64, error) {
	body, err := json.Marshal(map[string]records.ServiceState{"state": state})
	if err != nil {
		return 0, err
	}
	return d.Apply(records.Record{Kind: kind, Name: name, SchemaVersion: 1, Body: body})
}

// WithdrawKey withdraws the key of an account and returns the revision.
func (d *Deployment) WithdrawKey(account string) (int64, error) {
	snapshot := d.Hosts[0].Proxy.Snapshot()
	key, ok := snapshot.Keys[d.Keys[account].ID]
	if !ok {
		return 0, fmt.Errorf("account %q has no key", account)
	}
	key.Withdrawn = true
	record, err := records.KeyRecord(key)
	if err != nil {
		return 0, err
	}
	return d.Apply(record)
}

// WaitRevision waits until all running hosts have a revision in force or the timeout
// expires, and returns the time at which the wait ended.
func (d *Deployment) WaitRevision(revision int64, timeout time.Duration) time.Time {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		behind := false
		for _, host := range d.Hosts {
			if host.Proxy != nil && host.Proxy.Snapshot().Revision < revision {
				behind = true
			}
		}
		if !behind {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Now()
}
