// Package stall finds work that makes no progress, and says why. It does no I/O and reads
// no clock: Find takes the replicated state and what the leader believes of the workers,
// and returns the stalled steps.
//
// A step is stalled when its turn has come, tasks of it wait, and for a second none of its
// tasks was placed or ended; when the workers of placed tasks are silent; or when a task has
// failed on each worker that could run it.
package stall

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// AfterMS is the time without progress, in milliseconds, after which a step counts as
	// stalled.
	AfterMS = 1000
	// failingRunMS is the time for which a run must have lasted so that earlier failures of
	// its task no longer count: tasks take 1 to 3 s, and those that last fail at times.
	failingRunMS = 5000
)

// Reason is why a step makes no progress.
type Reason string

// Reasons.
const (
	// NoCapacity means that no worker of the pool that has the required label has room.
	NoCapacity Reason = "no_capacity"
	// TeamLimit means that the team runs as much as its limit allows.
	TeamLimit Reason = "team_limit"
	// Gang means that there is room for some tasks of a gang, but not for all at once.
	Gang Reason = "gang"
	// DataRackAway means that no worker of the rack with the data is live, and that the
	// others have no room.
	DataRackAway Reason = "data_rack_away"
	// DataCentreCutOff means that all workers of the data centre that runs the tasks are
	// silent.
	DataCentreCutOff Reason = "data_centre_cut_off"
	// HeldBack means that only workers that are drained, maintained or moved have room.
	HeldBack Reason = "held_back"
	// Evacuated means that only workers of evacuated data centres have room.
	Evacuated Reason = "evacuated"
	// FailsEverywhere means that a task has failed on each live worker that could run it.
	FailsEverywhere Reason = "fails_on_each_worker"
	// WorkerSilent means that the workers of the tasks don't report.
	WorkerSilent Reason = "worker_silent"
	// NoApproval means that the advice service has approved no worker for the step yet.
	NoApproval Reason = "no_approval"
)

// Reasons lists all reasons.
func Reasons() []Reason {
	return []Reason{NoCapacity, TeamLimit, Gang, DataRackAway, DataCentreCutOff, HeldBack, Evacuated, FailsEverywhere, WorkerSilent, NoApproval}
}

var remedies = map[Reason]string{
	NoCapacity:       "other tasks of the pool end, or machines are added to it",
	TeamLimit:        "tasks of the team end, or its limit is raised",
	Gang:             "room for all tasks of the gang at once",
	DataRackAway:     "the rack comes back, or room on another one",
	DataCentreCutOff: "the data centre is reached again, or the leases of its workers end",
	HeldBack:         "the drain, maintenance or move of the machines ends",
	Evacuated:        "the data centre is taken back, or machines of others are added to the pool",
	FailsEverywhere:  "the cause of the failures is mended, or other workers join",
	WorkerSilent:     "the workers report again, or their leases end",
	NoApproval:       "the advice service approves workers",
}

// Remedy returns what would let the work go on.
func (r Reason) Remedy() string { return remedies[r] }

// Key identifies a step of an occurrence.
type Key struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step"`
}

// Stall is a step that makes no progress.
type Stall struct {
	Key
	Queue string `cbor:"4,keyasint" json:"queue"`
	Team  string `cbor:"5,keyasint,omitempty" json:"team,omitempty"`
	// Tasks is the number of its tasks that wait or whose workers are silent.
	Tasks  int    `cbor:"6,keyasint" json:"tasks"`
	Reason Reason `cbor:"7,keyasint" json:"reason"`
	// Detail names what the reason is about, such as the label, rack or data centre.
	Detail string `cbor:"8,keyasint,omitempty" json:"detail,omitempty"`
	// SinceMS is the cluster time, in milliseconds, of the last progress.
	SinceMS int64 `cbor:"9,keyasint" json:"since_ms"`
}

// Worker is what the leader believes of one worker.
type Worker struct {
	Incarnation workload.WorkerIncarnation
	Pool        string
	Rack        string
	DataCentre  string
	Labels      []string
	// Free is the part of its capacity that no task occupies.
	Free workload.Resources
	// Live is true if the worker has reported recently. SilentSinceMS is the cluster time
	// of its last report.
	Live          bool
	SilentSinceMS int64
	// Held is true if the worker gets no new tasks because it is drained, maintained or
	// moved, and Accepts if it may get new tasks now.
	Held    bool
	Accepts bool
	// Evacuated is true if the worker's data centre is evacuated.
	Evacuated bool
}

// Input is the input of Find, which changes none of it.
type Input struct {
	State   *workload.State
	NowMS   int64
	Workers []Worker
	// FailedOn holds, for each task, the identifiers of the workers on which its runs
	// failed.
	FailedOn map[workload.TaskRef]map[string]bool
	// Unapproved holds the steps that wait for the advice service.
	Unapproved map[Key]bool
	// Planned is what planned starts add to the use of each team.
	Planned map[string]workload.Resources
}

// Why returns why the waiting tasks of a step of an active job are not placed, and what the
// reason is about. It returns no reason if nothing keeps the next plan from placing them, or
// if no task of the step waits.
func Why(in Input, key Key) (Reason, string) {
	j := in.State.Active()[key.Job]
	if j == nil || j.Occurrences[key.Occurrence] == nil {
		return "", ""
	}
	p := &j.Occurrences[key.Occurrence].Steps[key.Step]
	if p.Waiting() == 0 {
		return "", ""
	}
	return newFinder(in).classify(j, key, p)
}

// Find returns the stalled steps in no particular order. A step has at most one entry: what
// is wrong with its workers goes before what its waiting tasks lack.
func Find(in Input) []Stall {
	f := newFinder(in)
	f.findSilent()
	f.findFailing()
	f.findWaiting()
	return f.stalls
}

// Sort orders the stalls by key.
func Sort(stalls []Stall) {
	slices.SortFunc(stalls, func(a, b Stall) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
}

type finder struct {
	in     Input
	stalls []Stall
	// found holds the index of each key in stalls, for what findSilent and findFailing
	// have found.
	found map[Key]int
	pools map[string]*poolView
	// liveIn is the number of live workers by data centre.
	liveIn map[string]int
}

func newFinder(in Input) *finder {
	f := &finder{in: in, found: map[Key]int{}, pools: map[string]*poolView{}, liveIn: map[string]int{}}
	for i := range in.Workers {
		w := &in.Workers[i]
		if !w.Live {
			continue
		}
		f.liveIn[w.DataCentre]++
		f.pool(w.Pool).add(w)
	}
	return f
}

// poolView summarises the live workers of a pool, so that most steps can be judged without a
// walk over the workers: a full pool has thousands of waiting steps.
type poolView struct {
	accepting, held, evacuated []*Worker
	workers                    int
	labels, racks              map[string]bool
	// mostFree is the most of each resource that an accepting worker has free.
	mostFree workload.Resources
}

func (f *finder) pool(name string) *poolView {
	p, ok := f.pools[name]
	if !ok {
		p = &poolView{labels: map[string]bool{}, racks: map[string]bool{}}
		f.pools[name] = p
	}
	return p
}

func (p *poolView) add(w *Worker) {
	p.workers++
	p.racks[w.Rack] = true
	for _, label := range w.Labels {
		p.labels[label] = true
	}
	switch {
	case w.Accepts:
		p.accepting = append(p.accepting, w)
		p.mostFree = workload.Resources{
			CPUMilli: max(p.mostFree.CPUMilli, w.Free.CPUMilli), MemoryMiB: max(p.mostFree.MemoryMiB, w.Free.MemoryMiB),
			Accelerators: max(p.mostFree.Accelerators, w.Free.Accelerators),
		}
	case w.Evacuated:
		p.evacuated = append(p.evacuated, w)
	case w.Held:
		p.held = append(p.held, w)
	}
}

// findSilent finds the steps that have tasks on silent workers.
func (f *finder) findSilent() {
	for i := range f.in.Workers {
		w := &f.in.Workers[i]
		if w.Live || f.in.NowMS-w.SilentSinceMS < AfterMS {
			continue
		}
		for ref := range f.in.State.RunsOn(w.Incarnation) {
			f.addSilent(ref, w)
		}
	}
}

func (f *finder) addSilent(ref workload.TaskRef, w *Worker) {
	j, ok := f.in.State.Active()[ref.Job]
	if !ok {
		return
	}
	key := Key{ref.Job, ref.Occurrence, ref.Step}
	i, ok := f.found[key]
	if !ok {
		s := Stall{Key: key, Queue: f.in.State.QueueName(j), Team: j.Team, Reason: WorkerSilent, Detail: "worker " + w.Incarnation.ID, SinceMS: w.SilentSinceMS}
		if f.liveIn[w.DataCentre] == 0 && w.DataCentre != "" {
			s.Reason, s.Detail = DataCentreCutOff, "data centre "+w.DataCentre
		}
		i = f.add(s)
	}
	f.stalls[i].Tasks++
	f.stalls[i].SinceMS = min(f.stalls[i].SinceMS, w.SilentSinceMS)
}

// add adds a stall and returns its index.
func (f *finder) add(s Stall) int {
	f.found[s.Key] = len(f.stalls)
	f.stalls = append(f.stalls, s)
	return len(f.stalls) - 1
}

// findFailing finds the steps with a task that has failed on each worker.
func (f *finder) findFailing() {
	for ref, failed := range f.in.FailedOn {
		j, t, ok := f.in.State.Task(ref)
		if !ok || j.State.Final() || ref.Step >= len(j.Steps) || !f.mayBeFailing(t) {
			continue
		}
		key := Key{ref.Job, ref.Occurrence, ref.Step}
		if _, known := f.found[key]; known || !f.failedOnEach(j, &j.Steps[ref.Step], failed) {
			continue
		}
		f.add(Stall{
			Key: key, Queue: f.in.State.QueueName(j), Team: j.Team, Tasks: 1, Reason: FailsEverywhere,
			Detail: fmt.Sprintf("task %s failed on %d workers", ref, len(failed)), SinceMS: t.EndedAt,
		})
	}
}

// mayBeFailing reports whether the task waits, or its run has not started or has lasted for a short
// time only.
func (f *finder) mayBeFailing(t *workload.Task) bool {
	return t.Phase == workload.Waiting || t.Phase == workload.Placed && (!t.Started() || f.in.NowMS-t.StartedAt < failingRunMS)
}

// failedOnEach reports whether a task of the step failed on each live worker that could run
// it.
func (f *finder) failedOnEach(j *workload.Job, step *workload.Step, failed map[string]bool) bool {
	name := f.in.State.PoolOf(j)
	if f.pool(name).workers > len(failed) && step.Label == "" {
		return false
	}
	able := 0
	for i := range f.in.Workers {
		w := &f.in.Workers[i]
		if !w.Live || w.Pool != name || !w.hasLabel(step.Label) {
			continue
		}
		if !failed[w.Incarnation.ID] {
			return false
		}
		able++
	}
	return able > 0
}

// findWaiting finds the steps whose waiting tasks were not placed for a while.
func (f *finder) findWaiting() {
	for id, j := range f.in.State.Active() {
		for k, o := range j.Occurrences {
			for i := range o.Steps {
				p := &o.Steps[i]
				if p.Waiting() == 0 || !o.Ready(j, i) || (p.OnWorkers() > 0 && !j.Steps[i].LongRunning) {
					continue
				}
				key := Key{id, k, i}
				since := o.LastProgressMS(j, i)
				if _, known := f.found[key]; known || f.in.NowMS-since < AfterMS {
					continue
				}
				f.addWaiting(j, key, p, since)
			}
		}
	}
}

func (f *finder) addWaiting(j *workload.Job, key Key, p *workload.StepProgress, since int64) {
	reason, detail := f.classify(j, key, p)
	if reason == "" {
		return
	}
	f.stalls = append(f.stalls, Stall{Key: key, Queue: f.in.State.QueueName(j), Team: j.Team, Tasks: p.Waiting(), Reason: reason, Detail: detail, SinceMS: since})
}

// classify returns why the waiting tasks of a step are not placed, or no reason if nothing
// keeps the next plan from placing them.
func (f *finder) classify(j *workload.Job, key Key, p *workload.StepProgress) (Reason, string) {
	step := &j.Steps[key.Step]
	workers := f.pool(f.in.State.PoolOf(j))
	if f.onlyEvacuated(workers) {
		return Evacuated, f.evacuatedNames()
	}
	if f.in.Unapproved[key] {
		return NoApproval, "queue " + f.in.State.QueueName(j)
	}
	if !f.withinLimit(j, step) {
		return TeamLimit, "team " + j.Team
	}
	size := step.Occupies()
	placed := tasksPerWorker(step, p)
	switch {
	case size.Fits(workers.mostFree) && countRoom(workers.accepting, step, placed) > 0:
		if step.Gang {
			return Gang, fmt.Sprintf("%d tasks at once", len(p.Tasks))
		}
		return "", ""
	case step.DataRack != "" && !workers.racks[step.DataRack]:
		return DataRackAway, "rack " + step.DataRack
	}
	if countRoom(workers.evacuated, step, placed) > 0 {
		return Evacuated, f.evacuatedNames()
	}
	if held := countRoom(workers.held, step, placed); held > 0 {
		return HeldBack, fmt.Sprintf("%d workers", held)
	}
	if step.Label != "" && !workers.labels[step.Label] {
		return NoCapacity, "no worker has label " + step.Label
	}
	return NoCapacity, describeSize(size)
}

// onlyEvacuated reports whether the pool has no live worker outside of evacuated data centres while
// there are some. Idle machines of these leave the pool, so it may have none at all.
func (f *finder) onlyEvacuated(p *poolView) bool {
	return len(f.in.State.Evacuations) > 0 && p.workers == len(p.evacuated)
}

func (f *finder) evacuatedNames() string {
	return "data centre " + strings.Join(slices.Sorted(maps.Keys(f.in.State.Evacuations)), ", ")
}

// describeSize avoids package fmt, since thousands of steps may wait in a full pool.
func describeSize(r workload.Resources) string {
	text := strconv.FormatInt(r.CPUMilli, 10) + " milli-cores and " + strconv.FormatInt(r.MemoryMiB, 10) + " MiB"
	if r.Accelerators > 0 {
		text += " and " + strconv.FormatInt(r.Accelerators, 10) + " accelerators"
	}
	return text + " a task"
}

// withinLimit reports whether the team may run one more task of the step, by the rule of
// package taskplan: a task that is larger than the limit may run when nothing else does.
func (f *finder) withinLimit(j *workload.Job, step *workload.Step) bool {
	team, ok := f.in.State.Config.Teams[j.Team]
	if !ok {
		return true
	}
	use := f.in.State.TeamUse(j.Team).Plus(f.in.Planned[j.Team])
	return use == workload.Resources{} || use.Plus(step.Size).WithinLimit(team.Limit)
}

// countRoom returns how many of the workers have room for one task of the step. placed holds
// the number of its tasks by worker, if the step bounds them.
func countRoom(workers []*Worker, step *workload.Step, placed map[workload.WorkerIncarnation]int) int {
	count := 0
	size := step.Occupies()
	for _, w := range workers {
		if w.hasLabel(step.Label) && size.Fits(w.Free) && (step.MaxPerWorker == 0 || placed[w.Incarnation] < step.MaxPerWorker) {
			count++
		}
	}
	return count
}

// tasksPerWorker counts the step's placed tasks by worker, if the step bounds them.
func tasksPerWorker(step *workload.Step, p *workload.StepProgress) map[workload.WorkerIncarnation]int {
	if step.MaxPerWorker == 0 {
		return nil
	}
	placed := map[workload.WorkerIncarnation]int{}
	for i := range p.Tasks {
		if t := &p.Tasks[i]; t.Phase == workload.Placed || t.Phase == workload.Stopping {
			placed[t.Worker]++
		}
	}
	return placed
}

func (w *Worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }
