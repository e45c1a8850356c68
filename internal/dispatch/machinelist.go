package dispatch

import (
	"context"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	// listInterval is the time between readings of the platform's machine list. Changes in
	// between are known from our own moves and the workers' reports.
	listInterval      = 5 * time.Second
	listTimeout       = 4 * time.Second
	listRetryInterval = 500 * time.Millisecond
	listPollInterval  = 50 * time.Millisecond
	// silentListInterval is the time between readings while a worker with tasks is silent or a
	// machine is said not to exist:
	// a tenth of the longest lease, and 6 calls for 500 machines.
	silentListInterval = time.Second
)

// pollMachines reads the machine list at intervals until ctx ends, while this store leads.
func (d *Dispatcher) pollMachines(ctx context.Context) {
	defer d.endCallsOfFormerLeader()
	var last time.Time
	interval := listRetryInterval
	for wait.For(ctx, listPollInterval) {
		if !d.log.Leadership().Leading {
			d.endCallsOfFormerLeader()
			continue
		}
		due := interval
		switch {
		case !d.hasMachineList():
			due = listRetryInterval
		case interval == listInterval && d.needsFreshList():
			due = silentListInterval
		}
		if time.Since(last) < due {
			continue
		}
		last = time.Now()
		interval = listRetryInterval
		requestedAt := int64(d.log.Now())
		call, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := d.provider.List(call)
		cancel()
		if err != nil {
			d.logger.Warn().Err(err).Msg("could not read the machine list")
			continue
		}
		d.applyList(list, requestedAt)
		interval = listInterval
	}
}

// hasMachineList reports whether the machine list was read under the present leadership.
func (d *Dispatcher) hasMachineList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machinesListed && d.leadsIn(d.term)
}

// applyList updates the machines from a list that was requested at the given cluster time.
// It keeps what became known since then. The list may be the first thing that a new
// leadership learns, so the knowledge of an earlier one is discarded here, too.
func (d *Dispatcher) applyList(list MachineList, requestedAt int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.checkLeadership(); err != nil {
		return
	}
	listed := make(map[string]MachineInfo, len(list.Machines))
	for _, info := range list.Machines {
		if _, twice := listed[info.Name]; twice {
			list.LeftOut = append(list.LeftOut, LeftOutEntry{Reason: invalidReport("machine", "%q is listed twice", info.Name), Content: info.Name})
			continue
		}
		listed[info.Name] = info
		m, ok := d.machinesByName[info.Name]
		if !ok {
			d.machinesByName[info.Name] = &machine{MachineInfo: info, updatedAt: requestedAt, listedAt: requestedAt}
			continue
		}
		m.listedAt = requestedAt
		if m.updatedAt < requestedAt && (m.movedAt == 0 || requestedAt-m.movedAt > arrivalTimeoutMS) && !d.maintenance.callsInFlight[info.Name] {
			m.MachineInfo = info
		}
	}
	if len(list.LeftOut) > 0 {
		d.sampledLog.Warn().Int("entries", len(list.LeftOut)).Err(list.LeftOut[0].Reason).Msg("machine list has entries that can't be used")
	}
	d.machinesListed = true
	d.log.Read(func(s *fleet.State) {
		d.terminateMissing(s.Workload, machineList{machines: listed, requestedAt: requestedAt, leftOutSince: d.leftOutSince(list.LeftOut, requestedAt)})
	})
}

// LeftOutEntry is an entry of the platform's list that can't be used.
type LeftOutEntry struct {
	Reason error
	// Content is the entry, or a hash of it. Entries with equal contents count as the same one in
	// successive lists.
	Content string
}

// leftOutKey identifies the entry with a content that is the n-th of its list, from 0.
type leftOutKey struct {
	content string
	n       int
}

// leftOutSince returns when the latest of these entries first came up, by the lists since then without a
// break; 0 if there is none.
func (d *Dispatcher) leftOutSince(entries []LeftOutEntry, requestedAt int64) int64 {
	known := make(map[leftOutKey]int64, len(entries))
	count := map[string]int{}
	latest := int64(0)
	for _, e := range entries {
		key := leftOutKey{e.Content, count[e.Content]}
		count[e.Content]++
		known[key] = requestedAt
		if since, ok := d.leftOut[key]; ok {
			known[key] = since
		}
		latest = max(latest, known[key])
	}
	d.leftOut = known
	return latest
}

// updateMachine records the machine from which an incarnation reports.
func (d *Dispatcher) updateMachine(w *worker, now int64) {
	m, ok := d.machinesByName[w.Machine]
	if !ok {
		m = &machine{MachineInfo: MachineInfo{Name: w.Machine}}
		d.machinesByName[w.Machine] = m
	}
	m.Pool, m.Rack, m.DataCentre, m.Labels, m.Capacity, m.Up = w.Pool, w.Rack, w.DataCentre, w.Labels, w.Capacity, true
	m.updatedAt = now
	m.movedAt = 0
}
