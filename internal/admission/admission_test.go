package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/api"
)

var start = time.Unix(1000, 0)

func allowAllTeams(string) bool { return true }

func newTestController(policy Policy) *Controller {
	c := NewController(policy, rand.New(rand.NewPCG(1, 2)))
	c.SetSlots("s", 1)
	c.ObserveRunTime(start, "s", 10*time.Millisecond)
	return c
}

func request(team string, limit time.Duration) *Request {
	return &Request{Team: team, Service: "s", Deadline: start.Add(limit)}
}

// Calls that can't finish before their deadline must be refused at once, with retry
// times that differ, so that the callers don't all retry at the same time.
func TestRefusesWhatCannotBeOnTime(t *testing.T) {
	c := newTestController(PolicyFair)
	for range 10 {
		_, err := c.Offer(start, request("a", time.Second))
		require.Nil(t, err)
	}
	times := map[time.Duration]bool{}
	for range 20 {
		_, err := c.Offer(start, request("a", 105*time.Millisecond))
		require.NotNil(t, err)
		require.Equal(t, api.CodeDeadlineUnreachable, err.Code)
		require.Positive(t, err.RetryAfter)
		times[err.RetryAfter] = true
	}
	require.Greater(t, len(times), 10)
	next, late := c.Next(start.Add(995*time.Millisecond), "s", allowAllTeams)
	require.Nil(t, next)
	require.Len(t, late, 10)
}

// Retries must stay within a tenth of the first attempts, and must not displace first
// attempts from a full queue.
func TestRetriesAreShedFirst(t *testing.T) {
	c := newTestController(PolicyFair)
	c.SetSlots("s", 1000)
	admitted := 0
	for i := range 2000 {
		_, _ = c.Offer(start, request("a", time.Hour))
		retry := request("a", time.Hour)
		retry.Retry = true
		if _, err := c.Offer(start, retry); err == nil {
			admitted++
		}
		if i < 1900 {
			for c.WaitingOfService("s") > 0 {
				c.Next(start, "s", allowAllTeams)
			}
		}
	}
	require.LessOrEqual(t, admitted, 200+int(initialRetries))
	require.Greater(t, admitted, 150)

	c = newTestController(PolicyFair)
	retry := request("a", time.Hour)
	retry.Retry = true
	_, err := c.Offer(start, retry)
	require.Nil(t, err)
	for range QueueLimit - 1 {
		_, err := c.Offer(start, request("a", time.Hour))
		require.Nil(t, err)
	}
	shed, err := c.Offer(start, request("a", time.Hour))
	require.Nil(t, err)
	require.Same(t, retry, shed)
	_, err = c.Offer(start, request("a", time.Hour))
	require.Equal(t, api.CodeQueueFull, err.Code)
	_, err = c.Offer(start, request("b", time.Hour))
	require.Nil(t, err, "another team's queue is its own")
}

// While all teams wait, each must get its share. Calls that a team runs through other
// entries count too.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]int{}
		sum := 0
		for _, team := range []string{"a", "b", "c"} {
			shares[team] = rapid.IntRange(1, 5).Draw(t, team)
			sum += shares[team]
		}
		c := newTestController(PolicyFair)
		c.SetShares(shares)
		served := map[string]int{}
		now := start
		const calls = 1000
		for range calls {
			for team := range shares {
				_, _ = c.Offer(now, &Request{Team: team, Service: "s", Deadline: now.Add(time.Hour)})
			}
			next, _ := c.Next(now, "s", allowAllTeams)
			served[next.Team]++
			now = now.Add(10 * time.Millisecond)
		}
		for team, share := range shares {
			want := float64(calls) * float64(share) / float64(sum)
			require.InEpsilon(t, want, float64(served[team]), 0.05, team)
		}
	})
	c := newTestController(PolicyFair)
	now := start
	served := map[string]int{}
	for i := range 4000 {
		if i%50 == 0 {
			c.SetRemoteUnits(now, map[string]int{"a": 1})
		}
		for _, team := range []string{"a", "b"} {
			_, _ = c.Offer(now, &Request{Team: team, Service: "s", Deadline: now.Add(time.Hour)})
		}
		next, _ := c.Next(now, "s", allowAllTeams)
		if i > 2000 {
			served[next.Team]++
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.Less(t, served["a"], served["b"]/10, "team a has a whole slot elsewhere")
}

// Each queued call must leave its queue exactly once.
func TestEachCallLeavesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestController(rapid.SampledFrom([]Policy{PolicyFair, PolicyFIFO}).Draw(t, "policy"))
		waiting := map[*Request]bool{}
		leave := func(req *Request) {
			require.True(t, waiting[req])
			delete(waiting, req)
		}
		now := start
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				req := &Request{
					Team: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"), Service: "s",
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "limit")) * time.Millisecond),
					Retry:    rapid.Bool().Draw(t, "retry"),
				}
				shed, err := c.Offer(now, req)
				if err == nil {
					waiting[req] = true
				}
				if shed != nil {
					leave(shed)
				}
			case 2:
				next, late := c.Next(now, "s", func(team string) bool { return team != "b" })
				for _, req := range late {
					leave(req)
				}
				if next != nil {
					require.NotEqual(t, "b", next.Team)
					leave(next)
				}
			case 3:
				for req := range waiting {
					require.True(t, c.Cancel(req))
					leave(req)
					break
				}
			}
			require.Equal(t, len(waiting), c.WaitingOfService("s"))
		}
	})
}

// Slow answers in the past must not let all later calls be refused as too late.
func TestEstimateExpires(t *testing.T) {
	c := newTestController(PolicyFair)
	for range 100 {
		c.ObserveRunTime(start, "s", time.Minute)
	}
	_, err := c.Offer(start, request("a", 5*time.Second))
	require.Equal(t, api.CodeDeadlineUnreachable, err.Code)
	_, err = c.Offer(start.Add(runTimeValidity+1), request("a", 5*time.Second))
	require.Nil(t, err)
}
