package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a setting that silently falls back to its default.
func TestPlanning(t *testing.T) {
	file := filepath.Join(t.TempDir(), "store.json")
	load := func(content string) (Planning, error) {
		require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
		var s Store
		err := Load(file, &s)
		return s.Planning, err
	}
	for content, want := range map[string]Planning{
		`{}`: {}, `{"run_times":"learned","overload_order":"in_time","surplus_machines":"empty"}`: {},
		`{"run_times":"declared"}`:      {RunTimes: RunTimesDeclared},
		`{"overload_order":"deadline"}`: {OverloadOrder: OrderByDeadline},
		`{"surplus_machines":"keep"}`:   {SurplusMachines: SurplusKept},
	} {
		got, err := load(content)
		require.NoError(t, err)
		require.Equal(t, want, got, content)
	}
	for _, setting := range []string{"run_times", "overload_order", "surplus_machines"} {
		_, err := load(`{"` + setting + `":"guessed"}`)
		var invalid *Error
		require.ErrorAs(t, err, &invalid)
		require.Contains(t, invalid.Reason, `"guessed"`)
	}
}
