package admission

import (
	"container/heap"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	stormSlots   = 10
	stormRun     = 10 * time.Millisecond
	stormLimit   = 500 * time.Millisecond
	stormRetries = 4
)

// event is one step of the simulated callers and slots.
type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// storm simulates callers that repeat a call that is refused or not answered
// within its limit. Work on a call whose caller gave up is wasted.
type storm struct {
	c      *Controller
	queue  events
	seq    int
	free   int
	good   map[int]int
	offers int
}

func (s *storm) at(t time.Time, do func(time.Time)) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, do})
}

func (s *storm) send(now time.Time, attempt int) {
	s.offers++
	req := &Request{Team: "a", Service: "s", Deadline: now.Add(stormLimit), Retry: attempt > 1}
	if _, err := s.c.Offer(now, req); err != nil {
		s.again(now.Add(err.RetryAfter), attempt)
		return
	}
	s.at(req.Deadline, func(now time.Time) {
		if req.Service != "" {
			s.again(now, attempt)
		}
	})
	s.pump(now)
}

func (s *storm) again(at time.Time, attempt int) {
	if attempt <= stormRetries {
		s.at(at, func(now time.Time) { s.send(now, attempt+1) })
	}
}

func (s *storm) pump(now time.Time) {
	for s.free > 0 {
		req, _ := s.c.Next(now, "s", anyTeam)
		if req == nil {
			return
		}
		s.free--
		s.at(now.Add(stormRun), func(now time.Time) {
			s.free++
			s.c.ObserveRunTime(now, "s", stormRun)
			if !now.After(req.Deadline) {
				s.good[int(now.Sub(start)/time.Second)]++
				req.Service = ""
			}
			s.pump(now)
		})
	}
}

// run offers load calls a second between from and to, and returns the completed
// calls by second.
func run(policy Policy, seconds int, load func(second int) int) map[int]int {
	s := &storm{c: newTestController(policy), free: stormSlots, good: map[int]int{}}
	s.c.SetSlots("s", stormSlots)
	for second := range seconds {
		n := load(second)
		for i := range n {
			at := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(n))
			s.at(at, func(now time.Time) { s.send(now, 1) })
		}
	}
	end := start.Add(time.Duration(seconds) * time.Second)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		ev := heap.Pop(&s.queue).(event)
		ev.do(ev.at)
	}
	return s.good
}

// Guards against goodput that falls as retries grow, and that stays low after a
// burst. The simulation must show both for the baseline, or it proves nothing.
func TestGoodputUnderRetryStorm(t *testing.T) {
	const full = int(time.Second/stormRun) * stormSlots
	load := func(second int) int {
		if second >= 2 && second < 8 {
			return 5 * full
		}
		return full / 2
	}
	good := run(PolicyFair, 16, load)
	for second := 3; second < 8; second++ {
		require.GreaterOrEqual(t, good[second], full*95/100, "second %d of the burst", second)
	}
	for second := 10; second < 15; second++ {
		require.GreaterOrEqual(t, good[second], full/2*95/100, "second %d, after the burst", second)
	}
	baseline := run(PolicyFIFO, 16, load)
	require.Less(t, baseline[7], full/2)
	require.Less(t, baseline[11], full/2)
}
