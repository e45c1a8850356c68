package schema

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Converting a configuration to the schema and back must preserve all fields except the
// key hashes. Apply would see a lost field as a change, and key hashes must not leave the
// store.
func TestConfigSurvivesConversion(t *testing.T) {
	c := fleet.NewState().Config
	c.Revision = 7
	c.DataCentres["d"] = fleet.DataCentre{Name: "d", Region: "r"}
	c.Instances["i"] = fleet.Instance{Name: "i", Pool: "p", DataCentre: "d", Rack: "k", Kind: fleet.KindBackend}
	c.Pools["p"] = fleet.Pool{Name: "p", MaxUnavailable: 1, MaxUnavailablePerRack: 2, MaxUnavailablePerDataCentre: 3, Spare: true}
	c.Teams["t"] = fleet.Team{Name: "t", Share: 4, Limit: 5}
	c.Queues["q"] = fleet.Queue{Name: "q", Pool: "p", Open: true, Class: fleet.ClassWatch, MaxQueuedPerTeam: 6, OnPartition: fleet.PartitionKeep}
	c.Services["s"] = fleet.Service{Name: "s", Pool: "p", Open: true, TimeoutMS: 8}
	c.Keys["k"] = fleet.Key{ID: "k", Team: "t", SecretSHA256: "hash", Withdrawn: true}
	got := ToConfig(FromConfig(c))
	c.Keys["k"] = fleet.Key{ID: "k", Team: "t", Withdrawn: true}
	require.Equal(t, c, got)
}

// DecodeSnapshot must not panic on a damaged document.
func FuzzDecodeSnapshot(f *testing.F) {
	doc, err := EncodeSnapshot(wire.StatusReply{Term: 3, Applied: 40})
	require.NoError(f, err)
	f.Add(doc)
	f.Add(doc[:len(doc)-2])
	f.Add([]byte(`{"format":"samphirefork-fleet-view/1","sha256":"","body":null}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeSnapshot(data)
	})
}
