package admission

import (
	"container/heap"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	stormSlots   = 10
	stormRunTime = 10 * time.Millisecond
	stormTimeout = 500 * time.Millisecond
	stormRetries = 4
)

// event is a scheduled action of a simulated caller or slot.
type event struct {
	at     time.Time
	seq    int
	action func(now time.Time)
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

// storm simulates callers that retry a call that is refused, or not answered before
// its deadline. A call that runs after its caller has given up wastes its slot.
type storm struct {
	c         *Controller
	queue     events
	seq       int
	free      int
	completed map[int]int
	offers    int
}

func (s *storm) schedule(t time.Time, do func(time.Time)) {
	s.seq++
	heap.Push(&s.queue, event{t, s.seq, do})
}

func (s *storm) send(now time.Time, attempt int) {
	s.offers++
	req := &Request{Team: "a", Service: "s", Deadline: now.Add(stormTimeout), Retry: attempt > 1}
	if _, err := s.c.Offer(now, req); err != nil {
		s.scheduleRetry(now.Add(err.RetryAfter), attempt)
		return
	}
	s.schedule(req.Deadline, func(now time.Time) {
		if req.Service != "" {
			s.scheduleRetry(now, attempt)
		}
	})
	s.fillSlots(now)
}

func (s *storm) scheduleRetry(at time.Time, attempt int) {
	if attempt <= stormRetries {
		s.schedule(at, func(now time.Time) { s.send(now, attempt+1) })
	}
}

func (s *storm) fillSlots(now time.Time) {
	for s.free > 0 {
		req, _ := s.c.Next(now, "s", allowAllTeams)
		if req == nil {
			return
		}
		s.free--
		s.schedule(now.Add(stormRunTime), func(now time.Time) {
			s.free++
			s.c.ObserveRunTime(now, "s", stormRunTime)
			if !now.After(req.Deadline) {
				s.completed[int(now.Sub(start)/time.Second)]++
				req.Service = ""
			}
			s.fillSlots(now)
		})
	}
}

// runStorm simulates the given number of seconds, in each of which load returns the
// number of calls offered, and returns the completed calls by second.
func runStorm(policy Policy, seconds int, load func(second int) int) map[int]int {
	s := &storm{c: newTestController(policy), free: stormSlots, completed: map[int]int{}}
	s.c.SetSlots("s", stormSlots)
	for second := range seconds {
		n := load(second)
		for i := range n {
			at := start.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(n))
			s.schedule(at, func(now time.Time) { s.send(now, 1) })
		}
	}
	end := start.Add(time.Duration(seconds) * time.Second)
	for len(s.queue) > 0 && s.queue[0].at.Before(end) {
		ev := heap.Pop(&s.queue).(event)
		ev.action(ev.at)
	}
	return s.completed
}

// Retries must not lower the goodput during a burst nor after it. The baseline must
// fail on both counts in the same simulation, which shows that the load is high
// enough.
func TestGoodputUnderRetryStorm(t *testing.T) {
	const full = int(time.Second/stormRunTime) * stormSlots
	load := func(second int) int {
		if second >= 2 && second < 8 {
			return 5 * full
		}
		return full / 2
	}
	completed := runStorm(PolicyFair, 16, load)
	for second := 3; second < 8; second++ {
		require.GreaterOrEqual(t, completed[second], full*95/100, "second %d of the burst", second)
	}
	for second := 10; second < 15; second++ {
		require.GreaterOrEqual(t, completed[second], full/2*95/100, "second %d, after the burst", second)
	}
	baseline := runStorm(PolicyFIFO, 16, load)
	require.Less(t, baseline[7], full/2)
	require.Less(t, baseline[11], full/2)
}
