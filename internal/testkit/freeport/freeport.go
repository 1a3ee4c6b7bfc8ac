// Package freeport finds ports for the processes of tests that bind them later.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The ports are outside the range from which the kernel takes ports for others.
const (
	firstPort = 20_000
	lastPort  = 32_000
	// portsPerProcess is the distance between the ports at which two processes begin to look.
	portsPerProcess = 100
)

var next atomic.Int64

// Find returns a port that is free for TCP and UDP on all addresses, another one at each call.
func Find() int {
	next.CompareAndSwap(0, 1+int64(os.Getpid())*portsPerProcess)
	for {
		port := firstPort + int(next.Add(1)%(lastPort-firstPort))
		if isFree(":" + strconv.Itoa(port)) {
			return port
		}
	}
}

func isFree(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}
