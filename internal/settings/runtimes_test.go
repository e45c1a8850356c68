package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunTimes(t *testing.T) {
	file := filepath.Join(t.TempDir(), "store.json")
	load := func(content string) (RunTimes, error) {
		require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
		var s Store
		err := Load(file, &s)
		return s.RunTimes, err
	}
	for content, want := range map[string]RunTimes{
		`{}`: RunTimesLearned, `{"run_times":"learned"}`: RunTimesLearned, `{"run_times":"declared"}`: RunTimesDeclared,
	} {
		got, err := load(content)
		require.NoError(t, err)
		require.Equal(t, want, got, content)
	}
	_, err := load(`{"run_times":"guessed"}`)
	var invalid *Error
	require.ErrorAs(t, err, &invalid)
	require.Contains(t, invalid.Reason, `"guessed"`)
}
