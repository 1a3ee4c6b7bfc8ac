package listen

import (
	"syscall"
	"time"
)

// Limits are the limits on what a client sends before its request is handled. Fields that are 0 have defaults.
type Limits struct {
	MaxHeaderBytes int
	// HeaderTimeout is the time from the first byte of a header section to its end.
	HeaderTimeout time.Duration
	// IdleTimeout is the time without a request after which a connection is closed.
	IdleTimeout time.Duration
}

// Default limits.
const (
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// withDefaults returns the limits with defaults for fields that are not set.
func (l Limits) withDefaults() Limits {
	if l.MaxHeaderBytes <= 0 {
		l.MaxHeaderBytes = defaultMaxHeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Shares is how a process divides its descriptors and memory among its listeners. What is left of the
// descriptors is for connections to upstreams and VMs.
type Shares struct {
	Callers, Control, Operators, Readiness, Metrics int // Connections.

	ReceiveBufferBytes int // Of each connection, in the kernel.
}

const (
	// fileDescriptors are the descriptors for files.
	fileDescriptors = 200
	// connBytes is the memory of an idle connection: buffers and the stack of its goroutine.
	connBytes = 24 << 10
	// Parts of the memory for connections of callers, for those at the control address, and for all receive buffers.
	callersMemoryPart = 4
	controlMemoryPart = 16
	receiveMemoryPart = 8
	// Parts of the descriptors that are not for files.
	callersPart   = 2
	controlPart   = 8
	operatorsPart = 32
	otherPart     = 32

	minConnections = 16
	// A body of 4 MiB costs 2.4 ms of processor time with the buffer that the kernel chooses, the same with
	// 64 KiB, 5 ms with 16 KiB and 10 ms with 8 KiB.
	minReceiveBufferBytes = 16 << 10
	maxReceiveBufferBytes = 64 << 10
)

// Divide divides descriptors and memory. A memory of 0 is unknown.
func Divide(descriptors int, memoryBytes int64) Shares {
	free := max(descriptors-fileDescriptors, descriptors/callersPart)
	s := Shares{
		Callers: max(minConnections, free/callersPart), Control: max(minConnections, free/controlPart), Operators: max(minConnections, free/operatorsPart),
		Readiness: max(minConnections, free/otherPart), Metrics: max(minConnections, free/otherPart), ReceiveBufferBytes: maxReceiveBufferBytes,
	}
	if memoryBytes <= 0 {
		return s
	}
	const openBytes = connBytes + minReceiveBufferBytes
	s.Callers = max(minConnections, min(s.Callers, int(memoryBytes/callersMemoryPart/openBytes)))
	s.Control = max(minConnections, min(s.Control, int(memoryBytes/controlMemoryPart/openBytes)))
	all := s.Callers + s.Control + s.Operators + s.Readiness + s.Metrics
	s.ReceiveBufferBytes = min(maxReceiveBufferBytes, max(minReceiveBufferBytes, int(memoryBytes/receiveMemoryPart)/all))
	return s
}

// Descriptors returns the number of descriptors that the process may open: the number in its settings, or if that is 0,
// the limit of the system.
func Descriptors(inSettings int) int {
	const unknown = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		limit.Cur = unknown
	}
	system := int(min(limit.Cur, 1<<30))
	if inSettings <= 0 {
		return system
	}
	return min(inSettings, system)
}
