// Package peer provides the gRPC server and client connections between proxies.
package peer

import (
	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
)

// Identity identifies this proxy in messages to its peers.
type Identity struct {
	Host   string
	Domain string
	// Address is the IP address and port at which peers reach this proxy.
	Address string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation uint64
}

// Sender returns the identity as a protobuf message.
func (i Identity) Sender() *peerv1.Sender {
	return &peerv1.Sender{
		Host:        i.Host,
		Domain:      i.Domain,
		Incarnation: i.Incarnation,
		Address:     i.Address,
	}
}
