// Package rawserver runs TCP servers whose connections tests script by hand.
package rawserver

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Start runs a server on a loopback port until the test ends, and returns its address. It passes each connection to serve
// in a goroutine, and closes the connection when serve returns.
func Start(t testing.TB, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}
