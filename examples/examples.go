// Package examples embeds the settings and records of the two example
// deployments.
package examples

import "embed"

// Files contains <deployment>/settings.json and <deployment>/records.json.
//
//go:embed cooperative snow
var Files embed.FS

// Deployments lists the names of the example deployments.
var Deployments = []string{"cooperative", "snow"}
