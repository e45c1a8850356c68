package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/faultproxy"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/settings"
)

const (
	sharedSecret = "loopback fleet secret"
	// OperatorToken is the operator token of every fleet that the harness starts.
	OperatorToken = "loopback operator token"

	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 15 * time.Second

	// Processes listen on 127.0.<data centre>.<host>. These are the first host
	// numbers of each kind; the proxy in front of a process adds proxyHostOffset.
	proxyHostOffset = 100
	storeHost       = 1
	entryHost       = 11
	backendHost     = 31
	workerHost      = 61

	rebootTime = 500 * time.Millisecond
	usageLag   = time.Second
)

// Options describes the fleet to start.
type Options struct {
	// Bin is the folder of the binaries. Dir receives the settings, logs and data of
	// all processes.
	Bin, Dir    string
	DataCentres []string
	// Stores is the number of stores in each data centre, in the order of DataCentres.
	Stores       []int
	EntriesPerDC int
	Backends     []Backend
	Workers      []Worker
	// LatencyUS is the one-way delay between data centres in microseconds.
	LatencyUS int64
	// Policies and SnapshotEntries are copied to the settings of the same names:
	// Policies to those of stores and entries, SnapshotEntries to those of stores.
	Policies         map[string]string
	SnapshotEntries  int
	StartWithoutJoin bool
}

// Backend describes one simulated backend server. ServiceTimeMS is its mean
// service time in milliseconds.
type Backend struct {
	Name, DataCentre, Service string
	Slots, Connections        int
	ServiceTimeMS             int64
}

// Worker describes one simulated worker. With FailAll, every job on it fails.
type Worker struct {
	Name, DataCentre, Rack string
	Capacity               fleet.Resources
	FailAll                bool
}

// Fleet is a fleet of child processes that Start has started.
type Fleet struct {
	opts         Options
	proxy        *Process
	proxyControl string

	Stores   []*Process
	Entries  []*Process
	Backends []*Process
	Workers  []*Process

	members []settings.Member
	links   []faultproxy.Link
	client  *http.Client
}

// Start starts a fleet and waits until its entries are ready, up to 20 s for each.
// On an error it kills the processes that it has started.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts, client: &http.Client{Timeout: 5 * time.Second}}
	if err := f.plan(); err != nil {
		return nil, err
	}
	if err := f.startAll(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) plan() error {
	for _, step := range []func() error{f.planStores, f.planEntries, f.planBackends, f.planWorkers, f.planProxy} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	if err := f.proxy.Start(); err != nil {
		return err
	}
	if err := f.WaitHTTP(ctx, f.proxy, "http://"+f.proxyControl+"/healthz"); err != nil {
		return err
	}
	for _, store := range f.Stores {
		if err := store.runOnce("-init"); err != nil {
			return err
		}
	}
	for _, group := range [][]*Process{f.Stores, f.Entries, f.Backends, f.Workers} {
		for _, p := range group {
			if err := p.Start(); err != nil {
				return err
			}
		}
	}
	for _, e := range f.Entries {
		if err := f.WaitHTTP(ctx, e, "http://"+e.Address+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// WaitHTTP polls url until it answers 200, for at most 20 s. It returns ErrExited
// when p exits first, and the error of the context when the time is over.
func (f *Fleet) WaitHTTP(ctx context.Context, p *Process, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if f.answersOK(ctx, url) {
			return nil
		}
		if !p.Running() {
			return errors.Wrapf(ErrExited, "%s exited before it was ready, its log ends: %s", p.Name, p.logEnd())
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "harness: %s is not ready", p.Name)
		case <-time.After(pollInterval):
		}
	}
}

func (f *Fleet) answersOK(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// All returns every process except the fault proxy: workers, backend servers,
// entries and stores, in this order.
func (f *Fleet) All() []*Process {
	var all []*Process
	for _, group := range [][]*Process{f.Workers, f.Backends, f.Entries, f.Stores} {
		all = append(all, group...)
	}
	return all
}

// Stop kills every process of the fleet with SIGKILL, the fault proxy last.
func (f *Fleet) Stop() {
	for _, p := range f.All() {
		_ = p.Resume()
		p.Kill()
	}
	if f.proxy != nil {
		f.proxy.Kill()
	}
}

// SetFaults replaces the rules of the fault proxy by the latency between data
// centres and the given faults. It returns faultproxy.ErrBadRule when the proxy
// answers with any status but 204.
func (f *Fleet) SetFaults(ctx context.Context, faults ...faultproxy.Rule) error {
	body, err := json.Marshal(append(f.baseRules(), faults...))
	if err != nil {
		return errors.Wrap(err, "harness: encode fault rules")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.proxyControl+"/rules", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "harness: create fault rules request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "harness: send fault rules")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Wrapf(faultproxy.ErrBadRule, "status %d", resp.StatusCode)
	}
	return nil
}

// IsolationRules returns the rules that cut a data centre off from all others,
// in both directions.
func (f *Fleet) IsolationRules(dataCentre string) []faultproxy.Rule {
	var rules []faultproxy.Rule
	for _, other := range f.opts.DataCentres {
		if other == dataCentre {
			continue
		}
		rules = append(rules,
			faultproxy.Rule{From: dataCentre, To: other, Mode: faultproxy.ModeCut},
			faultproxy.Rule{From: other, To: dataCentre, Mode: faultproxy.ModeCut})
	}
	return rules
}

// baseRules returns the rules that delay bytes between data centres by the
// configured latency.
func (f *Fleet) baseRules() []faultproxy.Rule {
	rules := []faultproxy.Rule{}
	if f.opts.LatencyUS == 0 {
		return rules
	}
	for _, a := range f.opts.DataCentres {
		for _, b := range f.opts.DataCentres {
			if a != b {
				rules = append(rules, faultproxy.Rule{From: a, To: b, Mode: faultproxy.ModeDelay, DelayUS: f.opts.LatencyUS})
			}
		}
	}
	return rules
}

// EntriesOf returns the entries of a data centre.
func (f *Fleet) EntriesOf(dataCentre string) []*Process {
	var out []*Process
	for _, e := range f.Entries {
		if e.DataCentre == dataCentre {
			out = append(out, e)
		}
	}
	return out
}

// HistoryFiles returns the paths of the history files that backend servers and
// workers have written so far.
func (f *Fleet) HistoryFiles() []string {
	var files []string
	for _, p := range append(append([]*Process(nil), f.Backends...), f.Workers...) {
		path := filepath.Join(p.Folder, "history.jsonl")
		if _, err := os.Stat(path); err == nil {
			files = append(files, path)
		}
	}
	return files
}

// dcIndex returns the number of a data centre in its addresses, from 1, or 0 for an
// unknown name.
func (f *Fleet) dcIndex(dataCentre string) int {
	for i, name := range f.opts.DataCentres {
		if name == dataCentre {
			return i + 1
		}
	}
	return 0
}

// address returns an address of a data centre whose port is free at the time of
// the call.
func (f *Fleet) address(dataCentre string, host int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", f.dcIndex(dataCentre), host))
	if err != nil {
		return "", errors.Wrap(err, "harness: find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
