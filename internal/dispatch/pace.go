package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// fullPace is the pace of an undisturbed run, and the progress of a completed one, in
	// percent.
	fullPace = 100
	// A tail latency above halvePaceAbove halves the pace of the fillers on the same
	// worker; one below raisePaceBelow raises it by paceStep. Both are percent of the
	// serving task's target. The gap between them keeps the pace from oscillating on a
	// rough measurement.
	halvePaceAbove = 85
	raisePaceBelow = 60
	paceStep       = 10
	// minPace is the pace below which fillers are paused.
	minPace = 10
	// paceIntervalMS is the shortest time between two changes: the tail latency is measured
	// over the last half second, so that a change shows only after it.
	paceIntervalMS = 500
	// resumeIntervalMS is the time after which paused fillers try minPace again while the tail latency
	// allows it, although it stays above raisePaceBelow: it may do so without any filler.
	resumeIntervalMS = 3000
	// paceRepeatMS is the time for which the last order of a full pace is repeated, since a response
	// may be lost and workers don't report their paces.
	paceRepeatMS = 3000
)

// paceController sets the pace of a worker's fillers, the tasks that fill idle capacity.
// They slow down the serving tasks beside them by amounts that change within seconds.
type paceController struct {
	percent   int
	changedAt int64
	sent      map[workload.Run]int
}

func newPaceController() paceController {
	return paceController{percent: fullPace, sent: map[workload.Run]int{}}
}

// adjust sets the pace. worst is the highest tail latency on the worker, in percent of its
// target; fillers are paused while it reaches the target.
func (p *paceController) adjust(worst int64, now int64) {
	if now-p.changedAt < paceIntervalMS {
		return
	}
	switch {
	case worst >= fullPace:
		p.percent = 0
	case worst > halvePaceAbove:
		p.percent /= 2
	case p.percent == 0 && worst >= raisePaceBelow && now-p.changedAt >= resumeIntervalMS:
		p.percent = minPace
	case worst < raisePaceBelow && p.percent < fullPace:
		p.percent = min(p.percent+paceStep, fullPace)
	default:
		return
	}
	if p.percent < minPace && worst > raisePaceBelow {
		p.percent = 0
	}
	p.changedAt = now
}

// paceOrders returns orders, within the budget, for the fillers that run below the full pace or
// were told another pace a short time ago.
func (w *worker) paceOrders(s *workload.State, budget *orderBudget, now int64) []PaceOrder {
	worst, fillers := w.worstTailAndFillers(s)
	if len(fillers) == 0 {
		w.pace = newPaceController()
		return nil
	}
	w.pace.adjust(worst, now)
	var orders []PaceOrder
	sent := map[workload.Run]int{}
	for _, run := range fillers {
		last, ok := w.pace.sent[run]
		if !ok {
			last = fullPace
		}
		sent[run] = last
		settled := last == w.pace.percent && w.pace.percent == fullPace && (w.pace.changedAt == 0 || now-w.pace.changedAt >= paceRepeatMS)
		if settled || !budget.fits(len(orders), runBytes(run)) {
			continue
		}
		budget.take(runBytes(run))
		sent[run] = w.pace.percent
		orders = append(orders, PaceOrder{Run: run, Percent: w.pace.percent})
	}
	w.pace.sent = sent
	return orders
}

// worstTailAndFillers returns the highest tail latency of the worker's serving tasks, in
// percent of its target, and the runs that fill idle capacity.
func (w *worker) worstTailAndFillers(s *workload.State) (int64, []workload.Run) {
	worst := int64(0)
	var fillers []workload.Run
	for ref, r := range w.running {
		j, _, ok := s.Task(ref)
		if !ok || ref.Step >= len(j.Steps) {
			continue
		}
		step := &j.Steps[ref.Step]
		if step.FillsIdle {
			fillers = append(fillers, r.Run)
		} else if step.TargetTailMS > 0 {
			worst = max(worst, r.TailMS*fullPace/step.TargetTailMS)
		}
	}
	return worst, fillers
}
