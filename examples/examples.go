// Package examples embeds the example settings and records of the two
// deployments that the project is built for.
package examples

import "embed"

// Files holds <deployment>/settings.json and <deployment>/records.json.
//
//go:embed cooperative snow
var Files embed.FS

// Deployments are the names of the examples.
var Deployments = []string{"cooperative", "snow"}
