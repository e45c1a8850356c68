// Package harness starts the processes of a small fleet on loopback addresses,
// for the demo, the measurements and the integration tests. Every data centre
// has its own address range, and traffic among stores and entries passes through
// a fault proxy, which can delay it or cut data centres off from each other.
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

// Kind is the kind of a process. Its value is the suffix of the binary's name,
// samphire-<kind>.
type Kind string

// Kinds of processes.
const (
	KindStore   Kind = "store"
	KindEntry   Kind = "entry"
	KindBackend Kind = "backend"
	KindWorker  Kind = "worker"
	KindProxy   Kind = "faultproxy"
)

// ErrExited is returned when a process exits before it is ready, when a signal is
// sent to a process that is not running, and when a process does not exit in time.
var ErrExited = errors.New("harness: process exited")

// Process is one child process with its settings and log file. It can be started
// again after it has exited.
type Process struct {
	Kind       Kind
	Name       string
	DataCentre string
	// Address is the listen address for HTTP and Peer that for other processes.
	// Advertised is the address of the fault proxy in front of Peer.
	Address    string
	Peer       string
	Advertised string
	// Folder holds the settings, log and data of the process.
	Folder string

	binary string
	args   []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// newProcess creates the folder of a process and returns the process, without
// settings and not yet started.
func newProcess(bin, dir string, kind Kind, name, dataCentre string) (*Process, error) {
	folder := filepath.Join(dir, name+"-"+string(kind))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, errors.Wrap(err, "harness: create process folder")
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

// Configure writes the settings file, which the process reads at its next start.
func (p *Process) Configure(settings any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrap(err, "harness: encode settings")
	}
	return errors.Wrap(os.WriteFile(p.args[1], data, 0o644), "harness: write settings")
}

// runOnce runs the binary with arg before its usual arguments and waits until it
// exits. The error contains the output.
func (p *Process) runOnce(arg string) error {
	out, err := exec.Command(p.binary, append([]string{arg}, p.args...)...).CombinedOutput()
	return errors.Wrapf(err, "harness: %s %s: %s", p.Name, arg, out)
}

// Start starts the process and appends its output to the file log in Folder. The
// kernel kills the process when its parent dies.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(p.Folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "harness: open log file")
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

// logEnd returns the last bytes of the log.
func (p *Process) logEnd() []byte {
	const most = 2000
	data, err := os.ReadFile(filepath.Join(p.Folder, "log"))
	if err != nil {
		return []byte(err.Error())
	}
	return data[max(0, len(data)-most):]
}

func (p *Process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(exited)
}

// Running reports whether the process was started and has not exited.
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

// PID returns the identifier of the process that was started last, or 0 when none
// was.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process. It returns ErrExited when the process is
// not running.
func (p *Process) Signal(sig syscall.Signal) error {
	if !p.Running() {
		return ErrExited
	}
	return errors.Wrap(syscall.Kill(p.PID(), sig), "harness: send signal")
}

// Kill sends SIGKILL to the process, if it is running, and waits until it exits.
func (p *Process) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.exitedChannel()
	}
}

// Pause suspends the process with SIGSTOP until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and waits until the process exits. It returns the exit
// error of the process. When the process is still running after limit, Terminate
// kills it and returns ErrExited; it returns ErrExited for a process that is not
// running, too.
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

// WaitExit waits until the process exits and returns its exit error, or ErrExited
// when the process is still running after limit.
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
