package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	fullPace = 100
	// A serving task above halvePaceAbove of its target halves the pace of the fillers
	// beside it; below easyShare the pace rises by paceStep. Percent of the target:
	// the gap keeps the pace from swinging on a rough figure.
	halvePaceAbove = 85
	raisePaceBelow = 60
	paceStep       = 10
	// minPace is the pace below which fillers stand still.
	minPace = 10
	// paceIntervalMS is the least time between two changes: a change shows in the
	// figure of the last half second.
	paceIntervalMS = 500
)

// paceController holds the pace of the tasks that fill idle capacity of one worker.
//
// Load pattern: fillers disturb the serving tasks beside them by amounts that
// change within seconds.
type paceController struct {
	percent   int
	changedAt int64
	sent      map[workload.Run]int
}

func newPaceController() paceController {
	return paceController{percent: fullPace, sent: map[workload.Run]int{}}
}

// adjust sets the pace by the worst tail relative to its target, in percent.
func (p *paceController) adjust(worst int64, now int64) {
	if now-p.changedAt < paceIntervalMS {
		return
	}
	switch {
	case worst >= fullPace:
		p.percent = 0
	case worst > halvePaceAbove:
		p.percent /= 2
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

// paceOrders returns the orders for the worker's fillers whose pace differs from
// what they were last told.
func (w *worker) paceOrders(s *workload.State, now int64) []PaceOrder {
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
		sent[run] = w.pace.percent
		if last != w.pace.percent || w.pace.percent < fullPace {
			orders = append(orders, PaceOrder{Run: run, Percent: w.pace.percent})
		}
	}
	w.pace.sent = sent
	return orders
}

// worstTailAndFillers returns the worst tail among the worker's worstTailAndFillers tasks, in percent of
// its target, and the runs that fill idle capacity.
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
