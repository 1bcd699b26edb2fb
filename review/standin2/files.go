//go:build review

package main

import (
	_ "embed"
	"encoding/json"
	"maps"
)

// The users' names, and examples of their documents.
var (
	//go:embed names.json
	namesJSON []byte
	//go:embed entry.json
	entryJSON []byte
	//go:embed config.json
	configJSON []byte
	//go:embed missing.json
	missingJSON []byte
	//go:embed settings.json
	settingsJSON []byte

	// names holds the paths, headers and keys of the platform by what they are for.
	names = decode[map[string]string](namesJSON)
)

func decode[T any](data []byte) T {
	var v T
	if err := json.Unmarshal(data, &v); err != nil {
		panic(err)
	}
	return v
}

// document returns an example with some fields replaced.
func document(example []byte, fields map[string]any) map[string]any {
	doc := decode[map[string]any](example)
	maps.Copy(doc, fields)
	return doc
}

// part returns a table of a document with one field replaced.
func part(doc map[string]any, table, field string, value any) map[string]any {
	t := doc[table].(map[string]any)
	t[field] = value
	return t
}
