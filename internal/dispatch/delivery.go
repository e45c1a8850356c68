package dispatch

import (
	"cmp"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// maxOrderBytes bounds the orders of one response to a heartbeat. Workers take at most
	// 4 MiB, within a second. Some orders may exceed it: one of each kind is always sent.
	maxOrderBytes = 1 << 20
	// minOrderBytes is the least bound for a worker that does not carry out its starts.
	minOrderBytes = 16 << 10
	// maxEscapedBytes is the largest size of one byte of text in JSON, that of an escape.
	maxEscapedBytes = 6
	// orderOverheadBytes covers the separators and numbers of an order.
	orderOverheadBytes = 96
)

// delivery tracks which orders the responses to a worker have carried, and how much they may
// carry. The zero value is not ready for use.
//
// A response that is too large for the worker or its link never arrives. Its successor would be
// as large, and neither the lease nor any order would reach the worker again.
type delivery struct {
	// limit is the present bound of a response in bytes.
	limit int
	// responses counts the responses, and carried holds the latest one with an order of the
	// run.
	responses int64
	carried   map[workload.Run]int64
	// unconfirmed holds the starts of the latest response that no report has confirmed.
	unconfirmed []workload.Run
}

func newDelivery() delivery {
	return delivery{limit: maxOrderBytes, carried: map[workload.Run]int64{}}
}

// observe adapts the limit after a report: it is halved when the report shows none of the starts
// of the latest response, and doubled when it shows one.
func (d *delivery) observe(w *worker) {
	if len(d.unconfirmed) == 0 {
		return
	}
	arrived := false
	for _, run := range d.unconfirmed {
		if w.running[run.Task].Run == run || w.hasReportedEnd(run) {
			arrived = true
			break
		}
	}
	if arrived {
		d.limit = min(2*d.limit, maxOrderBytes)
	} else {
		d.limit = max(d.limit/2, minOrderBytes)
	}
	d.unconfirmed = nil
}

// budget returns the budget of the next response.
func (d *delivery) budget() *orderBudget { return &orderBudget{left: d.limit} }

// orderBudget is what is left of the size of a response.
type orderBudget struct {
	left int
	// exhausted is true once an order was left to the next response.
	exhausted bool
}

// fits reports whether an order may be added to a response that has the given number of orders
// of its kind. The first of each kind always fits, so that none is put off for ever.
func (b *orderBudget) fits(sameKind, size int) bool {
	if sameKind > 0 && size > b.left {
		b.exhausted = true
		return false
	}
	return true
}

// take subtracts the size of an order that is added to the response.
func (b *orderBudget) take(size int) { b.left -= size }

// admitStarts returns the starts that fit into the response, in the order of compareCarried.
func (w *worker) admitStarts(b *orderBudget, starts []StartOrder) []StartOrder {
	slices.SortFunc(starts, func(a, b StartOrder) int { return w.compareCarried(a.Run, b.Run) })
	for i := range starts {
		size := startBytes(&starts[i])
		if !b.fits(i, size) {
			return starts[:i]
		}
		b.take(size)
	}
	return starts
}

// startBytes returns an upper bound for the size of an encoded start.
func startBytes(o *StartOrder) int {
	return runBytes(o.Run) + textBytes(o.Specification) + textBytes(o.Checkpoint) + textBytes(o.Ticket)
}

// runBytes returns an upper bound for the size of an encoded stop.
func runBytes(r workload.Run) int { return orderOverheadBytes + textBytes(r.Task.Job) }

// textBytes returns an upper bound for the size of an encoded text.
func textBytes(s string) int {
	size := len(s)
	for i := range len(s) {
		if b := s[i]; b < ' ' || b > '~' || b == '"' || b == '\\' || b == '<' || b == '>' || b == '&' {
			size += maxEscapedBytes - 1
		}
	}
	return size
}

// compareCarried orders runs by the latest response with an order of theirs, so that each order is
// sent in turn, and otherwise by compareRuns.
func (w *worker) compareCarried(a, b workload.Run) int {
	return cmp.Or(cmp.Compare(w.delivery.carried[a], w.delivery.carried[b]), compareRuns(a, b))
}

// recordCarried records the orders of a response, and removes the records of runs that neither occupy
// the worker nor are reported by it.
func (w *worker) recordCarried(s *workload.State, starts []StartOrder, stops []workload.Run) {
	d := &w.delivery
	d.responses++
	occupied := s.RunsOn(w.Incarnation)
	for run := range d.carried {
		if p, ok := occupied[run.Task]; (!ok || p.Run != run.Run) && w.running[run.Task].Run != run {
			delete(d.carried, run)
		}
	}
	d.unconfirmed = d.unconfirmed[:0]
	for i := range starts {
		d.carried[starts[i].Run] = d.responses
		d.unconfirmed = append(d.unconfirmed, starts[i].Run)
	}
	for _, run := range stops {
		d.carried[run] = d.responses
	}
}
