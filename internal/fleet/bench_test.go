package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// newDesignSizeFixture returns a fixture with 2,000 instances, 240 teams and 10,000 jobs in
// addition to those of newFixture.
func newDesignSizeFixture(b *testing.B) *fixture {
	fx := newFixture(b)
	var items []ChangeItem
	for i := range 2000 {
		in := Instance{Name: fmt.Sprint("worker-", i), Pool: "p", DataCentre: "dc", Rack: fmt.Sprint("rack-", i/4), Kind: KindWorker}
		items = append(items, ChangeItem{PutInstance: &in})
	}
	for i := range 240 {
		team := fmt.Sprint("team-", i)
		items = append(items, ChangeItem{PutTeam: &Team{Name: team, Share: 1, Limit: 100}},
			ChangeItem{IssueKey: &Key{ID: "k" + team, Team: team, SecretSHA256: testHash}})
	}
	items = append(items, ChangeItem{PutQueue: &Queue{Name: "q", Pool: "p", Class: ClassNormal, MaxQueuedPerTeam: 1 << 40}})
	fx.mustApply(fx.change(items...))
	for i := range 10000 {
		fx.mustApply(submit(fmt.Sprint("dc.1700000000000-", i), fmt.Sprint("team-", i%240), "q", true))
	}
	return fx
}

func BenchmarkApplySubmit(b *testing.B) {
	fx := newDesignSizeFixture(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		fx.apply(submit(fmt.Sprint("more-", i), "team-1", "q", true))
	}
}

func BenchmarkApplyChange(b *testing.B) {
	fx := newDesignSizeFixture(b)
	b.ReportAllocs()
	for b.Loop() {
		fx.mustApply(fx.change(ChangeItem{PutTeam: &Team{Name: "team-1", Share: 1, Limit: 100}}))
	}
}

func BenchmarkSnapshot(b *testing.B) {
	fx := newDesignSizeFixture(b)
	var data []byte
	for b.Loop() {
		var err error
		data, err = fx.s.EncodeSnapshot()
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(data)), "snapshot-bytes")
}

// BenchmarkCapture measures the part of a snapshot that blocks the apply loop.
func BenchmarkCapture(b *testing.B) {
	fx := newDesignSizeFixture(b)
	for b.Loop() {
		fx.s.Capture()
	}
}

func BenchmarkRestore(b *testing.B) {
	data, err := newDesignSizeFixture(b).s.EncodeSnapshot()
	require.NoError(b, err)
	for b.Loop() {
		_, err := DecodeSnapshot(data)
		require.NoError(b, err)
	}
}
