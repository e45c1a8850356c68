//go:build review

// Command standin plays the cases of the review: it starts the project's programs on loopback
// addresses, with stand-ins for the platform, the minions, the operator and the clients.
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

// Bounds of the deployment, as in the settings that the pages show.
const (
	heartbeatMS   = 1500
	maxHold       = 10 * time.Second
	stopGraceMS   = 200
	migration     = 1500 * time.Millisecond
	upkeepTime    = 2 * time.Second
	finish        = 14 * time.Second
	contact       = 3 * time.Second
	metricsPort   = 9464
	internalPorts = 16
)

// recorder writes record.txt. It is safe for concurrent use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// process is one program of the project with its own loopback address.
type process struct {
	name, ip string
	args     []string
	folder   string
	store    bool
	first    bool
	cmd      *exec.Cmd
	done     chan struct{}
}

// world is one deployment.
type world struct {
	rec              *recorder
	dir              string
	prefix           string
	front, readiness int
	control          int
	internal         int
	cloudPort        int
	stores, entries  []*process
	platform         *platform

	mu   sync.Mutex
	jobs map[string]*job
}

func (w *world) ip(host int) string { return fmt.Sprintf("%s.%d", w.prefix, host) }

func (w *world) storeIP(i int) string { return w.ip(10 + i) }
func (w *world) entryIP(i int) string { return w.ip(30 + i) }
func (w *world) cloudIP() string      { return w.ip(90) }

func free(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// newWorld chooses free addresses and ports for stores and entries.
func newWorld(rec *recorder, dir string, stores, entries int) (*world, error) {
	for range 50 {
		base := 20000 + rand.IntN(8000)
		w := &world{
			rec: rec, dir: dir, prefix: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)),
			front: base, readiness: base + 3, control: base + 5, internal: base + 20, cloudPort: base + 60, jobs: map[string]*job{},
		}
		ok := free(w.cloudIP(), w.cloudPort)
		for i := range stores {
			ok = ok && free(w.storeIP(i), w.control) && free(w.storeIP(i), w.internal) && free(w.storeIP(i), metricsPort)
			w.stores = append(w.stores, &process{name: fmt.Sprintf("core-z%d-1", i), ip: w.storeIP(i), store: true, first: true,
				args: []string{"target/samphire-platform-store", "-metrics-port", "9464"}, folder: filepath.Join(dir, fmt.Sprintf("store%d", i))})
		}
		for i := range entries {
			ok = ok && free(w.entryIP(i), w.front) && free(w.entryIP(i), w.readiness) && free(w.entryIP(i), metricsPort)
			w.entries = append(w.entries, &process{name: fmt.Sprintf("front-z%d-1", i), ip: w.entryIP(i), first: true,
				args: []string{"target/samphire-platform-entry", "-metrics-port", "9464"}, folder: filepath.Join(dir, fmt.Sprintf("entry%d", i))})
		}
		if ok {
			return w, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// settings returns the settings file of a process, of the form that DEPLOY.md shows.
func (w *world) settings(p *process, zone int) string {
	var seeds []string
	for i := range w.stores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.storeIP(i), w.control))
	}
	class, serves := "front", "front"
	if p.store {
		class, serves = "core", "control"
	}
	lines := []string{
		"nodeName=" + p.name, "role=" + class, "machineClass=" + class, "serves=" + serves, "ip=" + p.ip,
		fmt.Sprintf("zone=z%d", zone%3), "region=r", "zones.z0=r", "zones.z1=r", "zones.z2=r",
		fmt.Sprintf("internalPorts=%d,%d", w.internal, w.internal+internalPorts-1),
		"seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", p.first), fmt.Sprintf("inTolerance=%t", p.store),
		"limits.cpuShare=0.56", "limits.cores=1", "limits.memoryMb=284", "limits.fileDescriptors=4096", "limits.linkMbps=1000.0", "limits.diskMb=128",
		"discovery=registry", "entry=virtual_ip", fmt.Sprintf("heartbeatMs=%d", heartbeatMS),
		"contracts=base,drain,config,cost,recover,sched,tenants,quota,advice,upkeep,sharing",
		"faultTolerance.machines=1", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.acknowledgeMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
		"bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.maxStretchMs=5000",
		"bounds.strictRevocation=false", "bounds.revokeMs=5000", "bounds.quotaWindowS=5", "bounds.quotaOverage=0.1", "bounds.quotaSlack=20",
		"bounds.recoveryS=12", "bounds.maxHoldMs=10000", fmt.Sprintf("bounds.stopGraceMs=%d", stopGraceMS), "bounds.gangTimeoutMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.farFactor=1.5", "bounds.checkpointIntervalS=2", "bounds.restoreMs=250", "bounds.noticeMs=4500", "bounds.migrationS=1.5", "bounds.maintenanceS=2", "bounds.enforceFencing=true",
		"bounds.leaseMs=3000", "bounds.thawSlackMs=300", "bounds.paceMs=100", "bounds.interferenceMs=4000",
		"config_mode=highest", "orders=heartbeat", fmt.Sprintf("advice=%s:%d", w.cloudIP(), w.cloudPort), fmt.Sprintf("cloud.address=%s:%d", w.cloudIP(), w.cloudPort),
		"cloud.ratePerS=64.0", "cloud.duties=", "cloud.dutyPerS=64.0",
	}
	if p.store {
		lines = append(lines, fmt.Sprintf("listen.control=%s:%d", p.ip, w.control), "dataDirectory="+filepath.Join(p.folder, "data"))
	} else {
		lines = append(lines, fmt.Sprintf("listen.front=%s:%d", p.ip, w.front), fmt.Sprintf("listen.readiness=%s:%d", p.ip, w.readiness))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (w *world) startProcess(p *process, zone int) error {
	if err := os.MkdirAll(filepath.Join(p.folder, "data"), 0o750); err != nil {
		return err
	}
	path := filepath.Join(p.folder, "settings.conf")
	if err := os.WriteFile(path, []byte(w.settings(p, zone)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, "log.jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIREFORK_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.first, p.done = cmd, false, make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	w.rec.line("process %s started", p.name)
	return nil
}

func (w *world) start() error {
	for i, p := range w.stores {
		if err := w.startProcess(p, i); err != nil {
			return err
		}
	}
	for i, p := range w.entries {
		if err := w.startProcess(p, i); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that the world started.
func (w *world) stop() {
	for _, p := range append(append([]*process{}, w.stores...), w.entries...) {
		if p.cmd != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}
