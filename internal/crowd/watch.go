package crowd

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const sampleInterval = 20 * time.Millisecond

// Usage is what a process has used at most.
type Usage struct {
	// MemoryBytes is the resident memory with the bytes that sockets have received and the process
	// has not read.
	MemoryBytes int64
	Descriptors int
}

// Watch samples the use of a process until Stop. It reads the proc file system.
type Watch struct {
	pid       int
	listeners map[string]bool
	stop      chan struct{}
	wg        sync.WaitGroup
	// peak belongs to run until it has ended.
	peak Usage
}

// NewWatch watches the process, whose listeners have the given addresses.
func NewWatch(pid int, listeners ...string) *Watch {
	w := &Watch{pid: pid, listeners: map[string]bool{}, stop: make(chan struct{})}
	for _, address := range listeners {
		w.listeners[procAddress(address)] = true
	}
	w.wg.Go(w.run)
	return w
}

// Stop ends the watch and returns the peak.
func (w *Watch) Stop() Usage {
	close(w.stop)
	w.wg.Wait()
	w.peak.MemoryBytes = max(w.peak.MemoryBytes, w.statusBytes("VmHWM:"))
	return w.peak
}

func (w *Watch) run() {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		w.sample()
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

func (w *Watch) sample() {
	w.peak.MemoryBytes = max(w.peak.MemoryBytes, w.statusBytes("VmRSS:")+w.unreadBytes())
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.pid)) // nothing after the process has ended
	w.peak.Descriptors = max(w.peak.Descriptors, len(entries))
}

func (w *Watch) statusBytes(field string) int64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid)) // nothing after the process has ended
	for line := range strings.Lines(string(data)) {
		if parts := strings.Fields(line); len(parts) > 1 && parts[0] == field {
			kib, _ := strconv.ParseInt(parts[1], 10, 64)
			return kib << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes that the connections of the listeners have received and the process
// has not read.
func (w *Watch) unreadBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	const localField, stateField, queueField, listening = 1, 3, 4, "0A"
	var sum int64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		parts := strings.Fields(lines.Text())
		if len(parts) <= queueField || !w.listeners[parts[localField]] || parts[stateField] == listening {
			continue
		}
		_, received, _ := strings.Cut(parts[queueField], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		sum += n
	}
	return sum
}

// procAddress returns an IPv4 address and port as the proc file system writes it on machines with
// little-endian byte order, which amd64 and arm64 have.
func procAddress(address string) string {
	parsed := netip.MustParseAddrPort(address)
	ip := parsed.Addr().As4()
	return fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), parsed.Port())
}
