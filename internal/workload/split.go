package workload

// Estimates of what the elements of a Progress take in its encoding, without their text.
const (
	endOverheadBytes   = 64
	startOverheadBytes = 64
	runOverheadBytes   = 32
)

// Split returns the batch as batches of about maxBytes each, which have the same effect when they
// are applied in turn. What belongs together stays in one batch, which may then be larger: the
// starts of a gang, and the stops of a long-running step with its inactive runs. The starts of a
// gang that take more than maxGroupBytes are left out and returned as tooLarge, by step: in a
// command that is refused, they would keep everything else from being committed.
func (p *Progress) Split(s *State, maxBytes, maxGroupBytes int) (batches []*Progress, tooLarge []TaskRef) {
	w := &batchWriter{maxBytes: maxBytes}
	for _, started := range p.Started {
		batch := w.next(started.bytes())
		batch.Started = append(batch.Started, started)
	}
	for i := range p.Ends {
		batch := w.next(p.Ends[i].bytes())
		batch.Ends = append(batch.Ends, p.Ends[i])
	}
	p.splitStops(w)
	for _, run := range p.Withdrawn {
		batch := w.next(run.bytes())
		batch.Withdrawn = append(batch.Withdrawn, run)
	}
	for _, due := range p.Due {
		batch := w.next(runOverheadBytes + len(due.Job))
		batch.Due = append(batch.Due, due)
	}
	for _, run := range p.Cleared {
		batch := w.next(run.bytes())
		batch.Cleared = append(batch.Cleared, run)
	}
	for starts := p.Starts; len(starts) > 0; {
		group := s.startsTogether(starts)
		starts = starts[len(group):]
		if w.startsBytes(group) <= maxGroupBytes {
			w.addStarts(group)
		} else {
			tooLarge = append(tooLarge, group[0].Task)
		}
	}
	rest := w.next(0)
	rest.Ordered, rest.Begun = p.Ordered, p.Begun
	rest.ForgetRunTimes, rest.PruneBefore = p.ForgetRunTimes, p.PruneBefore
	return w.batches, tooLarge
}

// batchWriter distributes elements over batches in order.
type batchWriter struct {
	maxBytes int
	batches  []*Progress
	current  *Progress
	used     int
	// tickets holds the position, from 1, of a start with the ticket in the current batch.
	tickets map[string]int
}

// next returns the batch for an element of the given size.
func (w *batchWriter) next(size int) *Progress {
	if w.current == nil || w.used > 0 && w.used+size > w.maxBytes {
		w.current, w.used, w.tickets = &Progress{}, 0, map[string]int{}
		w.batches = append(w.batches, w.current)
	}
	w.used += size
	return w.current
}

// splitStops adds the stops by step, in the order in which the steps first occur, each step with
// its inactive runs: its budget is judged with them where the stops are applied.
func (p *Progress) splitStops(w *batchWriter) {
	type group struct {
		stops    []Stop
		inactive []Run
		size     int
	}
	groups := map[stepRef]*group{}
	var order []*group
	for _, stop := range p.Stops {
		key := stepRef{stop.Task.Job, stop.Task.Occurrence, stop.Task.Step}
		g := groups[key]
		if g == nil {
			g = &group{}
			groups[key] = g
			order = append(order, g)
		}
		g.stops = append(g.stops, stop)
		g.size += stop.bytes()
	}
	for _, run := range p.Inactive {
		if g := groups[stepRef{run.Task.Job, run.Task.Occurrence, run.Task.Step}]; g != nil {
			g.inactive = append(g.inactive, run)
			g.size += run.bytes()
		}
	}
	for _, g := range order {
		batch := w.next(g.size)
		batch.Stops = append(batch.Stops, g.stops...)
		batch.Inactive = append(batch.Inactive, g.inactive...)
	}
}

// startsTogether returns the first of the starts, with the others of its gang if it has one.
func (s *State) startsTogether(starts []Start) []Start {
	first := starts[0].Task
	j, _, ok := s.Task(first)
	if !ok || !j.Steps[first.Step].Gang {
		return starts[:1]
	}
	n := 1
	for n < len(starts) && sameStep(starts[n].Task, first) {
		n++
	}
	return starts[:n]
}

func sameStep(a, b TaskRef) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

// addStarts adds starts that belong together. A ticket stands in a batch once.
func (w *batchWriter) addStarts(group []Start) {
	batch := w.next(w.startsBytes(group))
	for _, start := range group {
		if at, known := w.tickets[start.Ticket]; known {
			start.Ticket, start.TicketOf = "", at
		} else if start.Ticket != "" {
			w.tickets[start.Ticket] = len(batch.Starts) + 1
		}
		batch.Starts = append(batch.Starts, start)
	}
}

// startsBytes returns what the starts take in the current batch.
func (w *batchWriter) startsBytes(starts []Start) int {
	size := 0
	added := map[string]bool{}
	for i := range starts {
		start := &starts[i]
		size += startOverheadBytes + len(start.Task.Job) + len(start.Worker.ID) + len(start.Machine)
		if _, known := w.tickets[start.Ticket]; !known && !added[start.Ticket] {
			added[start.Ticket] = true
			size += len(start.Ticket)
		}
	}
	return size
}

// ticket returns the ticket of a start of the batch, or "" if it has none.
func (p *Progress) ticket(start *Start) string {
	if start.TicketOf > 0 && start.TicketOf <= len(p.Starts) {
		return p.Starts[start.TicketOf-1].Ticket
	}
	return start.Ticket
}

func (e *End) bytes() int {
	return endOverheadBytes + len(e.Task.Job) + len(e.Worker.ID) + len(e.Checkpoint)
}

func (r Run) bytes() int { return runOverheadBytes + len(r.Task.Job) }
