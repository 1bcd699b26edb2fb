//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	newTenant     = "xany481"
	statementGap  = time.Second
	statements    = 6
	configApply   = 3 * time.Second
	operatorDelay = 500 * time.Millisecond
)

// runKey moves a client's key to another tenant while the client has a transaction open. A
// statement that is sent later than the configuration has to be applied must not run for the
// tenant that had the key before.
func runKey(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, 0, 3, nil)
	if d != nil {
		defer d.finish()
	}
	if err != nil {
		return false, err
	}
	d.service.logStatements = true
	g := d.gateways[0]
	c, err := open(g.frontend, database, apiKey)
	if err != nil {
		return false, err
	}
	defer c.close()
	acknowledged := make(chan time.Time, 1)
	time.AfterFunc(operatorDelay, func() {
		if trouble {
			d.store.put(names["config"], withKeyMoved(configuration(0)))
			rec.line("operator: a new configuration gives the key to %s", newTenant)
		}
		acknowledged <- time.Now()
	})
	broken := false
	var applied time.Time
	texts := []string{"BEGIN"}
	for n := range statements {
		texts = append(texts, fmt.Sprintf("WRITE item%d data%d", n, n))
	}
	for _, text := range append(texts, "COMMIT") {
		id, sent := newID(), time.Now()
		select {
		case at := <-acknowledged:
			applied = at.Add(configApply)
		default:
		}
		r, err := c.query(id, text, 2*time.Second)
		rec.line("client at %s: %s %s: signature %q, code %q %s, error %v", g.name, id, text, r.signature, r.code, r.detail, err)
		if err != nil || !r.ok() {
			break
		}
		tenant := d.service.tenantOf(id)
		late := !applied.IsZero() && sent.After(applied)
		if trouble && late && tenant != "" && tenant != newTenant {
			rec.line("UNASKED: the instance ran %s for %s, %.1f s after the configuration had to be applied", id, tenant, sent.Sub(applied).Seconds())
			broken = true
		}
		time.Sleep(statementGap)
	}
	return broken, nil
}

// withKeyMoved returns a newer configuration in which another tenant holds the key.
func withKeyMoved(config map[string]any) map[string]any {
	tenants := config["tenants"].([]any)
	first := tenants[0].(map[string]any)
	second := map[string]any{}
	for field, value := range first {
		second[field] = value
	}
	second["name"] = newTenant
	for field, value := range first {
		if _, isKeys := value.([]any); isKeys {
			first[field] = []string{"j8pjbvk9m68k7b2ex5wa"}
		}
	}
	config["tenants"] = []any{first, second}
	config["version"] = config["version"].(float64) + 4
	return config
}
