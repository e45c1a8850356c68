// Package harness starts the processes of a small fleet on loopback addresses,
// for the demo, the measurements and the integration tests. Every data centre
// has addresses of its own, and a fault proxy stands between the processes, so
// that data centres can be cut off from each other.
package harness

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of a process.
type Kind string

// Kinds of processes.
const (
	KindStore   Kind = "store"
	KindEntry   Kind = "entry"
	KindBackend Kind = "backend"
	KindWorker  Kind = "worker"
	KindProxy   Kind = "faultproxy"
)

// ErrExited is returned when a process ended before it was ready.
var ErrExited = errors.New("harness: process exited")

// Process is one child process with its settings and log file.
type Process struct {
	Kind       Kind
	Name       string
	DataCentre string
	// Address serves HTTP; Peer serves the other processes, and Advertised is
	// the proxy in front of Peer.
	Address    string
	Peer       string
	Advertised string
	// Folder holds settings, log and data of the process.
	Folder string

	binary string
	args   []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// newProcess writes the settings and returns a process that is not yet started.
func newProcess(bin, dir string, kind Kind, name, dataCentre string) (*Process, error) {
	folder := filepath.Join(dir, name+"-"+string(kind))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "harness: folder")
	}
	return &Process{
		Kind:       kind,
		Name:       name,
		DataCentre: dataCentre,
		Folder:     folder,
		binary:     filepath.Join(bin, "samphire-"+string(kind)),
		args:       []string{"-config", filepath.Join(folder, "settings.json")},
	}, nil
}

// Configure writes the settings of the process, for its next start.
func (p *Process) Configure(settings any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "harness: encode settings")
	}
	return errors.Wrap(os.WriteFile(p.args[1], data, 0o644), "harness: write settings")
}

// runOnce runs the binary with a further argument and waits for its end.
func (p *Process) runOnce(arg string) error {
	out, err := exec.Command(p.binary, append([]string{arg}, p.args...)...).CombinedOutput()
	return errors.Wrapf(err, "harness: %s %s: %s", p.Name, arg, out)
}

// Start starts the process.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(p.Folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "harness: log file")
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "harness: start %s", p.Name)
	}
	p.cmd = cmd
	p.exited = make(chan struct{})
	go p.wait(cmd, p.exited)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(exited)
}

// Running reports whether the process was started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PID returns the process identifier, or 0 when it was never started.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to a running process.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return ErrExited
	}
	return errors.Wrap(syscall.Kill(p.PID(), sig), "harness: signal")
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.exitedChannel()
	}
}

// Pause stops the process with SIGSTOP; Resume lets it go on.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks for a graceful stop and waits for it, at most for limit. It
// returns the exit error of the process, and ErrExited when the limit passed.
func (p *Process) Terminate(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.exitedChannel():
	case <-time.After(limit):
		p.Kill()
		return errors.Wrapf(ErrExited, "%s did not stop within %s", p.Name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// WaitExit waits for the end of the process and returns its exit error.
func (p *Process) WaitExit(limit time.Duration) error {
	select {
	case <-p.exitedChannel():
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.err
	case <-time.After(limit):
		return errors.Wrapf(ErrExited, "%s is still running after %s", p.Name, limit)
	}
}

func (p *Process) exitedChannel() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}
