package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// minOutageReports is the number of entries that must have reported how long they had
	// no leader: one alone may have been cut off by itself.
	minOutageReports = 3
	maxOutageReports = 100
	// outageReportMS is the time after the begin of a leadership at which the reports are
	// counted, and outageWindowMS the time after which none is expected any more.
	outageReportMS = 100
	outageWindowMS = 2000
	// minOutageMS is the shortest outage that is recorded. Entries notice a change of leader
	// only at their next poll.
	minOutageMS = 300
)

// outage is the time without a leader before this leadership, as entries report it.
type outage struct {
	reportsMS []int64
	done      bool
}

// ObserveSilence records that an entry had no answer of a leader for the given time.
func (d *Dispatcher) ObserveSilence(silent time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, err := d.checkLeadership()
	if err != nil || d.outage.done || len(d.outage.reportsMS) == maxOutageReports {
		return
	}
	d.outage.reportsMS = append(d.outage.reportsMS, silent.Milliseconds()-(now-d.leadingSince))
}

// takeOutage returns the outage before this leadership once, or nil.
//
// Load pattern: all stores lose power for seconds during a burst. The jobs that were accepted
// before are late when they return, but look as old as at the loss. Without a correction they
// get the first room, and jobs that could still be on time become late behind them.
//
// The least of several reports counts: it is never more than the real outage unless all of
// these entries were cut off longer.
func (d *Dispatcher) takeOutage(now int64) *workload.Outage {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := now - d.leadingSince
	if d.outage.done || since < outageReportMS {
		return nil
	}
	if len(d.outage.reportsMS) < minOutageReports {
		d.outage.done = since > outageWindowMS
		return nil
	}
	d.outage.done = true
	length := slices.Min(d.outage.reportsMS)
	if length < minOutageMS {
		return nil
	}
	return &workload.Outage{Before: d.electedAt(now), LengthMS: length}
}

// electedAt returns the cluster time at which this leadership began. The dispatcher notices
// it up to a cycle later, and jobs may be accepted in between.
func (d *Dispatcher) electedAt(now int64) int64 {
	since := d.log.Leadership().Since
	if since.IsZero() {
		return d.leadingSince
	}
	return min(d.leadingSince, now-time.Since(since).Milliseconds())
}

// recordOutage commits the outage before this leadership. It is proposed once: work that
// looks younger than it is only loses its place in the order.
func (d *Dispatcher) recordOutage(ctx context.Context, now int64) {
	o := d.takeOutage(now)
	if o == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := fleet.ProposeWorkload(ctx, d.log, &workload.Command{Outage: o})
	d.logger.Info().Err(err).Int64("length_ms", o.LengthMS).Msg("time without a leader is counted for the waiting work")
}
