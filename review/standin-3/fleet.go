//go:build review3

// Command cases plays the cases of the third review: it starts the project's programs as
// separate processes on loopback addresses, beside stand-ins for minions, clients, the operator
// and the platform that follow the users' pages.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort     = 18340
	readinessPort = 18343
	controlPort   = 18345
	internalPort  = 18360
	cloudPort     = 18400
)

// program is one process of the system.
type program struct {
	f      *fleet
	name   string
	ip     string
	zone   string
	store  bool
	folder string

	mu    sync.Mutex
	cmd   *exec.Cmd
	first bool
}

// fleet is a small deployment: stores, entries and the stand-ins.
type fleet struct {
	dir string
	// listener is that of the platform; no other run uses the block of addresses while it is open.
	listener net.Listener
	block    int
	rec      *recorder
	stores   []*program
	entries  []*program
	cloud    *cloud
	minions  []*minion
	jobs     *jobBook
	settings map[string]string
}

var zones = []string{"north-yard", "river-yard", "south-yard"}

// newFleet prepares a deployment with the bounds of the khovd-racks sheet, in a block of loopback
// addresses of which no port is in use.
func newFleet(rec *recorder, stores, entries int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, rec: rec, jobs: newJobBook(), settings: map[string]string{}}
	for range 50 {
		f.block = 2 + rand.IntN(250)
		if f.listener, err = net.Listen("tcp", f.cloudAddress()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	for i := range stores {
		f.stores = append(f.stores, &program{f: f, name: fmt.Sprintf("core-%d", i+1), ip: f.ip(1, i+1), zone: zones[i%len(zones)], store: true, first: true})
	}
	for i := range entries {
		f.entries = append(f.entries, &program{f: f, name: fmt.Sprintf("front-%d", i+1), ip: f.ip(2, i+1), zone: zones[i%len(zones)], first: true})
	}
	for _, p := range append(append([]*program{}, f.stores...), f.entries...) {
		p.folder = filepath.Join(dir, p.name)
	}
	f.cloud = newCloud(f)
	return f, nil
}

func (f *fleet) ip(net, host int) string { return fmt.Sprintf("127.%d.%d.%d", f.block, net, host) }

func (f *fleet) cloudAddress() string { return fmt.Sprintf("%s:%d", f.ip(3, 1), cloudPort) }

// start starts the stand-in of the platform and all programs.
func (f *fleet) start() error {
	f.cloud.serve()
	for _, p := range append(append([]*program{}, f.stores...), f.entries...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

func (p *program) writeSettings() (string, error) {
	var seeds []string
	for _, s := range p.f.stores[:min(3, len(p.f.stores))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, controlPort))
	}
	class, serves := "front", "front"
	if p.store {
		class, serves = "core", "control"
	}
	lines := []string{
		"nodeName=" + p.name, "machineClass=" + class, "serves=" + serves, "ip=" + p.ip, "zone=" + p.zone, "region=khovd",
		"zones.north-yard=khovd", "zones.river-yard=khovd", "zones.south-yard=khovd",
		fmt.Sprintf("internalPorts=%d,%d", internalPort, internalPort+15), "seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%t", p.first), fmt.Sprintf("inTolerance=%t", p.store), "limits.cpuShare=0.56", "limits.cores=1", "limits.memoryMb=280",
		"limits.fileDescriptors=4096", "discovery=registry", "entry=virtual_ip", "heartbeatMs=1500",
		"contracts=base,drain,config,cost,recover,sched,tenants,quota,advice,upkeep,sharing",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.contactMs=3000", "bounds.acknowledgeMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=6",
		"bounds.configApplyMs=2000", "bounds.recoveryS=12", "bounds.maxHoldMs=10000", "bounds.stopGraceMs=200", "bounds.gangTimeoutMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.noticeMs=4500", "bounds.migrationS=1.5", "bounds.maintenanceS=2", "bounds.enforceFencing=true", "bounds.leaseMs=3000",
		"bounds.paceMs=100", "config_mode=highest", "orders=heartbeat", "advice=" + p.f.cloudAddress(), "cloud.address=" + p.f.cloudAddress(),
		"cloud.ratePerS=64.0", "cloud.duties=", "cloud.dutyPerS=64.0",
	}
	if p.store {
		lines = append(lines, fmt.Sprintf("listen.control=%s:%d", p.ip, controlPort), "dataDirectory="+filepath.Join(p.folder, "data"))
	} else {
		lines = append(lines, fmt.Sprintf("listen.front=%s:%d", p.ip, frontPort), fmt.Sprintf("listen.readiness=%s:%d", p.ip, readinessPort))
	}
	path := filepath.Join(p.folder, "settings.conf")
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o750); err != nil {
		return "", err
	}
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// start starts the program with the command of the deploy file.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path, err := p.writeSettings()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.folder, "log.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	binary := "target/samphire-platform-entry"
	if p.store {
		binary = "target/samphire-platform-store"
	}
	cmd := exec.Command(binary, "-metrics-port", "9464")
	cmd.Env = []string{"SAMPHIREFORK_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + p.f.dir}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.first = cmd, false
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
	}()
	return nil
}

func (p *program) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

func (p *program) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill kills the program and waits for its end.
func (p *program) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	for i := 0; i < 500 && p.running(); i++ {
		time.Sleep(10 * time.Millisecond)
	}
}

// close ends everything. The folder with the logs stays if KEEP is set.
func (f *fleet) close() {
	for _, m := range f.minions {
		m.crash("end of the case")
	}
	for _, p := range append(append([]*program{}, f.entries...), f.stores...) {
		p.kill()
	}
	f.cloud.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs in", f.dir)
	}
}
