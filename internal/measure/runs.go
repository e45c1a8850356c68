package measure

import (
	"strings"
	"time"

	"github.com/samphirefork/samphirefork/internal/history"
)

// workerRun is one attempt of a job on a worker.
type workerRun struct {
	id, worker string
	start, end time.Time
}

// within returns how long the attempt ran between two times.
func (r workerRun) within(from, to time.Time) time.Duration {
	start, end := r.start, r.end
	if start.Before(from) {
		start = from
	}
	if end.After(to) {
		end = to
	}
	return max(0, end.Sub(start))
}

// workerRuns reads the attempts of jobs from the histories of the workers. An
// attempt that has no end yet ends now.
func (b *bench) workerRuns() []workerRun {
	var runs []workerRun
	for _, events := range b.workerEvents() {
		runs = append(runs, pairRuns(events, time.Now())...)
	}
	return runs
}

// workerEvents returns the events of each worker.
func (b *bench) workerEvents() map[string][]history.Event {
	out := map[string][]history.Event{}
	for _, w := range b.fleet.Workers {
		events, err := history.Read(w.Folder + "/history.jsonl")
		if err == nil {
			out[w.Name] = events
		}
	}
	return out
}

// pairRuns joins starts and ends of the attempts of one worker.
func pairRuns(events []history.Event, now time.Time) []workerRun {
	type key struct {
		id      string
		attempt int
	}
	open := map[key]history.Event{}
	var runs []workerRun
	for _, e := range events {
		k := key{e.RequestID, e.Attempt}
		switch e.Kind {
		case history.Start:
			open[k] = e
		case history.Finish:
			if s, ok := open[k]; ok {
				runs = append(runs, workerRun{id: e.RequestID, worker: e.Actor, start: time.Unix(0, s.UnixNS), end: time.Unix(0, e.UnixNS)})
				delete(open, k)
			}
		}
	}
	for _, s := range open {
		runs = append(runs, workerRun{id: s.RequestID, worker: s.Actor, start: time.Unix(0, s.UnixNS), end: now})
	}
	return runs
}

// teamOf returns the team that an identifier of a caller names, after its prefix
// and before its number.
func teamOf(id, prefix string) (string, bool) {
	rest, ok := strings.CutPrefix(id, prefix+"-")
	if !ok {
		return "", false
	}
	end := strings.LastIndex(rest, "-")
	if end < 0 {
		return "", false
	}
	return rest[:end], true
}
