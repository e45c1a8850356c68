package settings

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Invalid settings of a store must be rejected with an error that names the field.
func TestStoreValidate(t *testing.T) {
	cases := []struct {
		field  string
		change func(*Store)
	}{
		{"", func(*Store) {}},
		{"", func(s *Store) { s.Join, s.ID = true, 9 }},
		{"instance", func(s *Store) { s.Instance = "" }},
		{"data_centre", func(s *Store) { s.DataCentre = "" }},
		{"shared_secret", func(s *Store) { s.SharedSecret = "short" }},
		{"id", func(s *Store) { s.ID = 0 }},
		{"listen", func(s *Store) { s.Listen = "localhost:1" }},
		{"advertise", func(s *Store) { s.Listen = "0.0.0.0:1" }},
		{"advertise", func(s *Store) { s.Advertise = "x" }},
		{"members", func(s *Store) { s.Members = nil }},
		{"members", func(s *Store) { s.ID = 9 }},
		{"id", func(s *Store) { s.Join = true }},
		{"members[1].id", func(s *Store) { s.Members = append(s.Members, s.Members[0]) }},
		{"members[0].address", func(s *Store) { s.Members[0].Address = "" }},
		{"snapshot_entries", func(s *Store) { s.SnapshotEntries = -1 }},
		{"data_folder", func(s *Store) { s.DataFolder = "/dev/null/x" }},
	}
	for _, c := range cases {
		s := Store{
			Common: Common{Instance: "s1", DataCentre: "a", SharedSecret: "0123456789abcdef"},
			ID:     1, Listen: "127.0.0.1:1", Members: []Member{{ID: 1, Address: "127.0.0.1:1"}},
			DataFolder: filepath.Join(t.TempDir(), "data"),
		}
		c.change(&s)
		err := s.Validate("file.json")
		if c.field == "" {
			require.NoError(t, err)
			continue
		}
		var rejected *Error
		require.ErrorAs(t, err, &rejected)
		require.Equal(t, c.field, rejected.Field)
		require.Equal(t, "file.json", rejected.File)
	}
}
