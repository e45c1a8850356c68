package control

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// BenchmarkRenew measures renewals by nine entries, each of which wants units of 240
// teams.
func BenchmarkRenew(b *testing.B) {
	s := newTestServer(b, 10)
	wanted := map[string]int{}
	var items []fleet.ChangeItem
	for i := range 240 {
		name := fmt.Sprint("team-", i)
		wanted[name] = 3
		items = append(items, fleet.ChangeItem{PutTeam: &fleet.Team{Name: name, Share: 1, Limit: 100}})
	}
	rev := s.change(items...)
	var granted [9]map[string]int
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		k := i % len(granted)
		req := wire.RenewRequest{
			Instance: fmt.Sprint("e", k), Incarnation: "1", Sequence: uint64(i + 1), Term: 1,
			Revision: rev, Wanted: wanted, Used: wanted, Granted: granted[k],
		}
		reply, err := s.Renew(context.Background(), req)
		require.NoError(b, err)
		granted[k] = reply.Grants
	}
}
