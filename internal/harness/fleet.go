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
	// OperatorToken admits operators of a fleet that the harness started.
	OperatorToken = "loopback operator token"

	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 15 * time.Second

	// Host numbers of a data centre's addresses 127.0.<data centre>.<host>.
	proxyHostOffset = 100
	storeHost       = 1
	entryHost       = 11
	backendHost     = 31
	workerHost      = 61

	rebootTime = 500 * time.Millisecond
	usageLag   = time.Second
)

// Options describe the fleet to start.
type Options struct {
	// Bin is the folder of the binaries, Dir the folder for all files.
	Bin, Dir    string
	DataCentres []string
	// Stores is the number of stores in each data centre.
	Stores           []int
	EntriesPerDC     int
	Backends         []Backend
	Workers          []Worker
	LatencyUS        int64
	Policies         map[string]string
	SnapshotEntries  int
	StartWithoutJoin bool
}

// Backend describes one simulated backend server.
type Backend struct {
	Name, DataCentre, Service string
	Slots, Connections        int
	ServiceTimeMS             int64
}

// Worker describes one simulated worker.
type Worker struct {
	Name, DataCentre, Rack string
	Capacity               fleet.Resources
	FailAll                bool
}

// Fleet is a running fleet.
type Fleet struct {
	opts  Options
	proxy *Process
	ctl   string

	Stores   []*Process
	Entries  []*Process
	Backends []*Process
	Workers  []*Process

	members []settings.Member
	links   []faultproxy.Link
	client  *http.Client
}

// Start starts a fleet and waits until its entries are ready.
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
	if err := f.WaitHTTP(ctx, f.proxy, "http://"+f.ctl+"/healthz"); err != nil {
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

// WaitHTTP waits until the URL answers 200.
func (f *Fleet) WaitHTTP(ctx context.Context, p *Process, url string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if f.ok(ctx, url) {
			return nil
		}
		if !p.Running() {
			return errors.Wrapf(ErrExited, "%s, see %s", p.Name, filepath.Join(p.Folder, "log"))
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "harness: %s is not ready", p.Name)
		case <-time.After(pollInterval):
		}
	}
}

func (f *Fleet) ok(ctx context.Context, url string) bool {
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

// All returns every process but the proxy.
func (f *Fleet) All() []*Process {
	var all []*Process
	for _, group := range [][]*Process{f.Workers, f.Backends, f.Entries, f.Stores} {
		all = append(all, group...)
	}
	return all
}

// Stop ends every process that the harness started, gracefully first.
func (f *Fleet) Stop() {
	for _, p := range f.All() {
		_ = p.Resume()
		p.Kill()
	}
	if f.proxy != nil {
		f.proxy.Kill()
	}
}

// SetFaults replaces the injected faults; the base latency stays.
func (f *Fleet) SetFaults(ctx context.Context, faults ...faultproxy.Rule) error {
	body, err := json.Marshal(append(f.baseRules(), faults...))
	if err != nil {
		return errors.Wrap(err, "harness: encode rules")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.ctl+"/rules", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "harness: rules")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := f.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "harness: rules")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Wrapf(faultproxy.ErrBadRule, "status %d", resp.StatusCode)
	}
	return nil
}

// IsolationRules returns the rules that cut a data centre off from all others.
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

// baseRules delay bytes between data centres by the configured latency.
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

// HistoryFiles returns the event files of backend servers and workers.
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

// dcIndex returns the number of a data centre in its addresses, from 1.
func (f *Fleet) dcIndex(dataCentre string) int {
	for i, name := range f.opts.DataCentres {
		if name == dataCentre {
			return i + 1
		}
	}
	return 0
}

// address returns a free address of a data centre.
func (f *Fleet) address(dataCentre string, host int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:0", f.dcIndex(dataCentre), host))
	if err != nil {
		return "", errors.Wrap(err, "harness: free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}
