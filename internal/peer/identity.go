// Package peer connects proxies with one another over gRPC.
package peer

import (
	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
)

// Identity names this proxy in messages to others.
type Identity struct {
	Host   string
	Domain string
	// Address is the IP address and port at which peers reach this proxy.
	Address string
	// Incarnation is the start of the process in Unix nanoseconds.
	Incarnation uint64
}

// Sender returns the identity in its message form.
func (i Identity) Sender() *peerv1.Sender {
	return &peerv1.Sender{
		Host:        i.Host,
		Domain:      i.Domain,
		Incarnation: i.Incarnation,
		Address:     i.Address,
	}
}
