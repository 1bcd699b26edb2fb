package records

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
)

const (
	// maxRateValue bounds rates and bursts, so that sums of them stay exact.
	maxRateValue = 1e9
	// maxConnections is the largest connection limit of an instance.
	maxConnections = 100_000
	maxWeight      = 1000
	// scramKeyBytes is the length of a SHA-256 digest.
	scramKeyBytes = 32
	// minIterations is the minimum of RFC 7677; maxIterations limits the CPU
	// time of a login.
	minIterations = 4096
	maxIterations = 1_000_000
)

// namePattern matches names that need no escaping in store keys, logs and URLs.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

type bodyDecoder func(name string, o *object) any

// decoders holds the decoder of each kind and schema version.
var decoders = map[Kind]map[int]bodyDecoder{
	KindDatabase: {1: decodeDatabase},
	KindAccount:  {1: decodeAccountV1, 2: decodeAccountV2},
	KindKey:      {1: decodeKey},
	KindRoute:    {1: decodeRoute},
	KindDomain:   {1: decodeState},
	KindHost:     {1: decodeState},
	KindBackend:  {1: decodeState},
}

// Kinds returns all kinds in ascending order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(decoders))
	for kind := range decoders {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// decodeBody decodes the body of a record into its type. The error lists all
// invalid fields.
func decodeBody(kind Kind, name string, version int, body []byte) (any, error) {
	versions, ok := decoders[kind]
	if !ok {
		return nil, fmt.Errorf("kind: unknown kind %q", kind)
	}
	if !namePattern.MatchString(name) {
		return nil, fmt.Errorf("name: %q does not match %s", name, namePattern)
	}
	decode, ok := versions[version]
	if !ok {
		return nil, fmt.Errorf("schema_version: %s has no version %d", kind, version)
	}
	var errs []error
	o := parseObject("body", body, &errs)
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	value := decode(name, o)
	o.rejectUnknownFields()
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return value, nil
}

func decodeDatabase(name string, o *object) any {
	db := Database{Name: name, ConnectionLimit: o.integer("connection_limit", 1, maxConnections, 0)}
	names, addresses := map[string]bool{}, map[string]bool{}
	for _, item := range o.list("instances") {
		in := Instance{
			Name:    item.text("name", true),
			Address: item.text("address", true),
			Domain:  item.text("domain", true),
		}
		item.rejectUnknownFields()
		if in.Name != "" && !namePattern.MatchString(in.Name) {
			item.fail("name", fmt.Errorf("%q does not match %s", in.Name, namePattern))
		}
		if address, err := netip.ParseAddrPort(in.Address); in.Address != "" && (err != nil || address.Port() == 0) {
			item.fail("address", fmt.Errorf("%q is not IP:PORT", in.Address))
		}
		if names[in.Name] {
			item.fail("name", fmt.Errorf("duplicate instance %q", in.Name))
		}
		if addresses[in.Address] {
			item.fail("address", fmt.Errorf("duplicate address %q", in.Address))
		}
		names[in.Name], addresses[in.Address] = true, true
		db.Instances = append(db.Instances, in)
	}
	if len(db.Instances) == 0 {
		o.fail("instances", errors.New("has no instance"))
	}
	return db
}

// decodeAccountV1 decodes schema version 1, which has no weight.
func decodeAccountV1(name string, o *object) any {
	return Account{
		Name:              name,
		RequestsPerSecond: o.number("rate_per_s", 0),
		Burst:             o.number("burst", 1),
		Weight:            1,
	}
}

func decodeAccountV2(name string, o *object) any {
	limits := o.object("limits")
	account := Account{
		Name:              name,
		RequestsPerSecond: limits.number("requests_per_second", 0),
		Burst:             limits.number("burst", 1),
		Weight:            o.integer("weight", 1, maxWeight, 1),
		ServeUnconfirmed:  o.boolean("serve_unconfirmed"),
	}
	limits.rejectUnknownFields()
	return account
}

func decodeKey(name string, o *object) any {
	return Key{
		ID:         name,
		Account:    o.text("account", true),
		Salt:       o.bytes("salt", 0),
		Iterations: o.integer("iterations", minIterations, maxIterations, 0),
		StoredKey:  o.bytes("stored_key", scramKeyBytes),
		ServerKey:  o.bytes("server_key", scramKeyBytes),
		Withdrawn:  o.boolean("withdrawn"),
	}
}

func decodeRoute(name string, o *object) any {
	r := Route{
		Name:         name,
		Database:     o.text("database", true),
		Open:         o.boolean("open"),
		Account:      o.text("account", false),
		MaxStaleness: o.duration("max_staleness"),
	}
	if r.Open && r.Account == "" {
		o.fail("account", errors.New("is missing; an open route needs an account"))
	}
	if !r.Open && r.Account != "" {
		o.fail("account", errors.New("belongs only to an open route"))
	}
	return r
}

func decodeState(_ string, o *object) any {
	state := ServiceState(o.text("state", true))
	if state != "" && state != StateActive && state != StateLeaving {
		o.fail("state", fmt.Errorf("%q is neither %q nor %q", state, StateActive, StateLeaving))
	}
	return state
}
