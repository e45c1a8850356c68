package slopes

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// ticksPerSecond is the unit of processor times in /proc/<pid>/stat.
	ticksPerSecond = 100
	bytesPerKiB    = 1024

	// Positions of fields in /proc/<pid>/stat, counted from the one after the command.
	fieldUserTicks   = 11
	fieldSystemTicks = 12
)

// ErrProc is returned for a /proc file without an expected field.
var ErrProc = errors.New("slopes: unexpected content of a /proc file")

// sample is what a process has used since its start. Read and Written count
// the bytes of all read and write calls, on sockets and files alike.
type sample struct {
	At      time.Time
	CPU     time.Duration
	RSS     int64
	Read    int64
	Written int64
}

// readSample reads the counters of a process.
func readSample(pid int) (sample, error) {
	s := sample{At: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return s, errors.Wrap(err, "slopes: stat")
	}
	if s.CPU, err = parseCPU(stat); err != nil {
		return s, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return s, errors.Wrap(err, "slopes: status")
	}
	kib, err := parseField(status, "VmRSS")
	if err != nil {
		return s, err
	}
	s.RSS = kib * bytesPerKiB
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return s, errors.Wrap(err, "slopes: io")
	}
	if s.Read, err = parseField(io, "rchar"); err != nil {
		return s, err
	}
	s.Written, err = parseField(io, "wchar")
	return s, err
}

// parseCPU returns the user and system time. The command in parentheses may
// contain any character, so fields are counted from the last parenthesis.
func parseCPU(stat []byte) (time.Duration, error) {
	end := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[end+1:]))
	if end < 0 || len(fields) <= fieldSystemTicks {
		return 0, errors.Wrap(ErrProc, "stat")
	}
	user, err := strconv.ParseInt(fields[fieldUserTicks], 10, 64)
	if err != nil {
		return 0, errors.Wrap(ErrProc, "stat: user time")
	}
	system, err := strconv.ParseInt(fields[fieldSystemTicks], 10, 64)
	if err != nil {
		return 0, errors.Wrap(ErrProc, "stat: system time")
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

// parseField returns the number behind a name and a colon.
func parseField(data []byte, name string) (int64, error) {
	for line := range strings.Lines(string(data)) {
		rest, ok := strings.CutPrefix(line, name+":")
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			break
		}
		n, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			break
		}
		return n, nil
	}
	return 0, errors.Wrap(ErrProc, name)
}

// usage is the use of a process over a window.
type usage struct {
	CPUCores             float64
	RSSBytes             float64
	ReadBytesPerSecond   float64
	WriteBytesPerSecond  float64
	WindowSecondsElapsed float64
}

func between(a, b sample) usage {
	seconds := b.At.Sub(a.At).Seconds()
	return usage{
		CPUCores:             (b.CPU - a.CPU).Seconds() / seconds,
		RSSBytes:             float64(b.RSS),
		ReadBytesPerSecond:   float64(b.Read-a.Read) / seconds,
		WriteBytesPerSecond:  float64(b.Written-a.Written) / seconds,
		WindowSecondsElapsed: seconds,
	}
}

// loadAverage returns the machine's load over the last minute, 0 when unknown.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
