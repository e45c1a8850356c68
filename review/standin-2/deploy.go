package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The small deployment that all cases use: three zones, each with one store and one entry, and the
// bounds of the site cg-sede.
var zones = []string{"pt-lis", "pt-opo", "pt-cbr"}

const (
	maxHold      = 10 * time.Second
	stopGrace    = 400 * time.Millisecond
	migration    = 1500 * time.Millisecond
	heartbeatGap = 1500 * time.Millisecond
	stopLimit    = 8 * time.Second
)

// ports are the same on all instances.
type ports struct{ front, readiness, control, internal, services int }

type process struct {
	name, ip, zone string
	isStore        bool
	restarted      bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// deployment runs the project's programs, as deploy/system.toml starts them, on loopback addresses.
type deployment struct {
	bin, dir string
	block    string
	ports    ports
	stores   []*process
	entries  []*process
	rec      *record
}

func newDeployment(bin, dir string, rec *record) (*deployment, error) {
	d := &deployment{bin: bin, dir: dir, rec: rec}
	for range 20 {
		d.block = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(8000)
		d.ports = ports{front: base, readiness: base + 1, control: base + 2, services: base + 3, internal: base + 10}
		if d.portsAreFree() {
			for i, zone := range zones {
				d.stores = append(d.stores, &process{name: "core-" + zone + "-1", ip: d.address(i + 1), zone: zone, isStore: true})
				d.entries = append(d.entries, &process{name: "front-" + zone + "-1", ip: d.address(i + 11), zone: zone})
			}
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (d *deployment) address(host int) string { return fmt.Sprintf("%s.%d", d.block, host) }

func (d *deployment) portsAreFree() bool {
	p := d.ports
	for host := range 14 {
		for _, port := range []int{p.front, p.readiness, p.control, p.services, p.internal} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.address(host+1), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) servicesAddress() string {
	return fmt.Sprintf("%s:%d", d.address(9), d.ports.services)
}

func (d *deployment) controlAddresses() []string {
	var out []string
	for _, p := range d.stores {
		out = append(out, fmt.Sprintf("%s:%d", p.ip, d.ports.control))
	}
	return out
}

func (d *deployment) frontAddresses() []string {
	var out []string
	for _, p := range d.entries {
		out = append(out, fmt.Sprintf("%s:%d", p.ip, d.ports.front))
	}
	return out
}

func (d *deployment) settings(p *process) string {
	class, memory := "front", 284
	if p.isStore {
		class, memory = "core", 280
	}
	lines := []string{
		"nodeName=" + p.name, "role=" + class, "machineClass=" + class, "ip=" + p.ip, "zone=" + p.zone, "region=pt-cont",
		fmt.Sprintf("internalPorts=%d,%d", d.ports.internal, d.ports.internal+15),
		"seeds=" + strings.Join(d.controlAddresses(), ","), fmt.Sprintf("bootstrap=%t", !p.restarted), fmt.Sprintf("inTolerance=%t", p.isStore),
		"limits.cpuShare=0.624", "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", memory), "limits.fileDescriptors=4096", "limits.linkMbps=1000.0", "limits.diskMb=128",
		"discovery=registry", "entry=virtual_ip", "heartbeatMs=1500", "contracts=base,drain,config,cost,recover,sched,tenants,quota,advice,upkeep,sharing",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.acknowledgeMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
		"bounds.strictRevocation=false", "bounds.revokeMs=5000", "bounds.quotaWindowS=5", "bounds.quotaOverage=0.1", "bounds.quotaSlack=20", "bounds.recoveryS=12",
		"bounds.maxHoldMs=10000", "bounds.stopGraceMs=400", "bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250",
		"bounds.finish_s=14", "bounds.status_s=120", "bounds.farFactor=3", "bounds.checkpointIntervalS=1", "bounds.restoreMs=100", "bounds.noticeMs=4500",
		"bounds.migrationS=1.5", "bounds.maintenanceS=2", "bounds.enforceFencing=true", "bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.paceMs=100",
		"bounds.interferenceMs=4000", "config_mode=highest", "orders=heartbeat", "advice=" + d.servicesAddress(), "cloud.address=" + d.servicesAddress(),
		"cloud.ratePerS=64.0", "cloud.duties=", "cloud.dutyPerS=64.0",
	}
	for _, zone := range zones {
		lines = append(lines, "zones."+zone+"=pt-cont")
	}
	if p.isStore {
		lines = append(lines, "serves=control", fmt.Sprintf("listen.control=%s:%d", p.ip, d.ports.control), "dataDirectory="+filepath.Join(d.dir, p.name, "data"))
	} else {
		lines = append(lines, "serves=front", fmt.Sprintf("listen.front=%s:%d", p.ip, d.ports.front), fmt.Sprintf("listen.readiness=%s:%d", p.ip, d.ports.readiness))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (d *deployment) start(p *process) error {
	folder := filepath.Join(d.dir, p.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o750); err != nil {
		return err
	}
	path := filepath.Join(folder, "settings.conf")
	if err := os.WriteFile(path, []byte(d.settings(p)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	binary := "samphire-platform-entry"
	if p.isStore {
		binary = "samphire-platform-store"
	}
	cmd := exec.Command(filepath.Join(d.bin, binary), "-metrics-port", "9464")
	cmd.Env = append(os.Environ(), "SAMPHIREFORK_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.restarted = cmd, exited, true
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // ended by a signal
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (d *deployment) startAll() error {
	for _, p := range append(append([]*process{}, d.stores...), d.entries...) {
		if err := d.start(p); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(sig) // it may have exited meanwhile
	}
}

// stopOnSignal ends the processes and the case on a signal or when its time is over.
func (d *deployment) stopOnSignal(ctx context.Context, ended <-chan struct{}) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-ended:
		return
	case <-signals:
	case <-ctx.Done():
	}
	d.rec.say("not run: ended by a signal or after %s", runLimit)
	d.stopAll()
	d.rec.close()
	_ = os.RemoveAll(d.dir)
	os.Exit(exitNotRun)
}

func (d *deployment) stopAll() {
	for _, p := range append(append([]*process{}, d.stores...), d.entries...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if p.cmd != nil {
			select {
			case <-p.exited:
			case <-time.After(stopLimit):
			}
		}
	}
}
