package records

import (
	"encoding/json"
	"fmt"
)

type keyBody struct {
	Account    string `json:"account"`
	Salt       []byte `json:"salt"`
	Iterations int    `json:"iterations"`
	StoredKey  []byte `json:"stored_key"`
	ServerKey  []byte `json:"server_key"`
	Withdrawn  bool   `json:"withdrawn,omitempty"`
}

// KeyRecord returns the record of a key, schema version 1.
func KeyRecord(k Key) (Record, error) {
	body, err := json.Marshal(keyBody{
		k.Account, k.Salt, k.Iterations, k.StoredKey, k.ServerKey, k.Withdrawn,
	})
	if err != nil {
		return Record{}, fmt.Errorf("record key/%s: %w", k.ID, err)
	}
	return Record{Kind: KindKey, Name: k.ID, SchemaVersion: 1, Body: body}, nil
}

// StateRecord returns the record of a failure domain, host or backend server,
// schema version 1.
func StateRecord(kind Kind, name string, state ServiceState) Record {
	// A map of two strings always encodes.
	body, _ := json.Marshal(map[string]ServiceState{"state": state})
	return Record{Kind: kind, Name: name, SchemaVersion: 1, Body: body}
}
