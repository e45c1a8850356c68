// Package httpserver builds the HTTP servers of all processes, whose clients can't exhaust the memory or
// the descriptors of the process. A Guard bounds what the clients of all its servers take together: open
// connections, memory of request bodies, and the time for which they may hold either.
//
// docs/design/misbehaving-clients.md says what was weighed.
package httpserver

import (
	"math"
	"runtime/debug"
	"syscall"
	"time"
)

const (
	// connectionBytes is the memory of a connection with the buffers of package net/http and a
	// goroutine, and the bytes that it has received.
	connectionBytes = 40 << 10
	// The inverse of the shares of the memory limit that connections, request bodies, and bytes that were
	// received and not read may take.
	connectionDivisor = 2
	bodyDivisor       = 4
	unreadDivisor     = 8
	// minReservedDescriptors are left for files and for connections that the process opens itself; where
	// there are more than a thousand, it is one in reservedDivisor.
	minReservedDescriptors = 64
	reservedDivisor        = 16
	minConnections         = 16

	minReceiveBuffer = 8 << 10
	maxReceiveBuffer = 64 << 10
	// trustedReceiveBuffer is the receive buffer of a connection between processes of the fleet.
	trustedReceiveBuffer = 1 << 20

	// defaultMemoryBytes is the memory limit of a process without GOMEMLIMIT.
	defaultMemoryBytes    = 512 << 20
	defaultMaxDescriptors = 65536
)

// Limits are the resources of a process.
type Limits struct {
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
}

// ProcessLimits returns the limits that the environment sets: GOMEMLIMIT, or else 512 MiB, and the limit of
// open files.
func ProcessLimits() Limits {
	l := Limits{MemoryBytes: debug.SetMemoryLimit(-1), Descriptors: defaultMaxDescriptors}
	if l.MemoryBytes == math.MaxInt64 {
		l.MemoryBytes = defaultMemoryBytes
	}
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil && files.Cur < defaultMaxDescriptors {
		l.Descriptors = int(files.Cur)
	}
	return l
}

// maxConnections returns the number of connections that clients may have open.
func (l Limits) maxConnections() int {
	byDescriptors := l.Descriptors - max(minReservedDescriptors, l.Descriptors/reservedDivisor)
	byMemory := int(l.MemoryBytes / connectionDivisor / connectionBytes)
	return max(minConnections, min(byDescriptors, byMemory))
}

// receiveBuffer returns the size of the buffer, in bytes, in which the kernel keeps what a client has sent
// and the process has not read.
func (l Limits) receiveBuffer() int {
	share := int(l.MemoryBytes / unreadDivisor / int64(l.maxConnections()))
	return max(minReceiveBuffer, min(share, maxReceiveBuffer))
}

// bodyBytes returns the memory for request bodies.
func (l Limits) bodyBytes() int64 { return l.MemoryBytes / bodyDivisor }

const (
	// writeTimeout is the time in which a client has to read what one write to its connection sends.
	writeTimeout = 30 * time.Second
	// stalledWrite is the time after which a connection with an unfinished write may be closed for a new
	// one.
	stalledWrite = time.Second
	// lingerTimeout and lingerBytes bound what is done for a client that is still sending when its
	// connection is closed.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 256 << 10
	// maxUntrustedPeers is the number of connections whose handshake is under way. One takes milliseconds.
	maxUntrustedPeers = 128
	// drainTimeout is the time for the rest of a body that its handler has not read, in which net/http
	// tries to keep the connection.
	drainTimeout = 500 * time.Millisecond
)
