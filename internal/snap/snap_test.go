package snap

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/raft"
)

// Guards against a damaged or incomplete newest snapshot that is loaded or hides the
// intact one before it, and against old files that are not removed.
func TestNewestIntactOfTwo(t *testing.T) {
	path := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(path, "9.snap.tmp"), []byte("unfinished"), 0o600))
	f, err := Open(disk.OS{}, path)
	require.NoError(t, err)
	_, found, _, err := f.Newest()
	require.NoError(t, err)
	require.False(t, found)
	for index := uint64(1); index <= 4; index++ {
		pos := raft.Position{Index: index, Term: 2, Members: []raft.Member{{ID: 1, Address: "a"}}}
		oldest, err := f.Save(raft.Snapshot{Position: pos, Data: []byte{byte(index)}})
		require.NoError(t, err)
		require.Equal(t, max(index, 2)-1, oldest)
	}
	names, err := disk.OS{}.List(path)
	require.NoError(t, err)
	require.Len(t, names, 2)
	s, found, damaged, err := f.Newest()
	require.NoError(t, err)
	require.True(t, found)
	require.Empty(t, damaged)
	require.Equal(t, []byte{4}, s.Data)
	require.Equal(t, "a", s.Members[0].Address)

	data, err := os.ReadFile(f.file(4))
	require.NoError(t, err)
	data[len(data)-1] ^= 1
	require.NoError(t, os.WriteFile(f.file(4), data, 0o600))
	s, found, damaged, err = f.Newest()
	require.NoError(t, err)
	require.True(t, found)
	require.Len(t, damaged, 1)
	require.Equal(t, uint64(3), s.Index)
}

// Guards against a panic on damaged input.
func FuzzDecode(f *testing.F) {
	data, _ := Encode(raft.Snapshot{Data: []byte("state")})
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = Decode("file", data) })
}

// folderFS fails to sync folders.
type folderFS struct{ disk.OS }

var errFolder = errors.New("sync failed")

func (folderFS) SyncFolder(string) error { return errFolder }

// Guards against a snapshot whose name is lost with the power after the log was cut at it: the
// store would never open again.
func TestNamesAreDurableOnceOpened(t *testing.T) {
	folder := t.TempDir()
	f, err := Open(disk.OS{}, folder)
	require.NoError(t, err)
	_, err = f.Save(raft.Snapshot{Position: raft.Position{Index: 7}})
	require.NoError(t, err)
	_, err = Open(folderFS{}, folder)
	require.ErrorIs(t, err, errFolder)
}
