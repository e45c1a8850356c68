package store

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/snap"
	"github.com/samphirefork/samphirefork/internal/wal"
)

const (
	discardedMember = 7
	newMember       = 8
)

// trimmedFolder returns a data folder with a log that starts after a snapshot, so that
// neither can be opened without the other.
func trimmedFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	walFolder, snapFolder := filepath.Join(folder, "wal"), filepath.Join(folder, "snapshots")
	require.NoError(t, os.Mkdir(walFolder, 0o750))
	require.NoError(t, os.Mkdir(snapFolder, 0o750))
	base := raft.Position{Index: 9, Term: 1}
	log, _, err := wal.Open(walFolder, wal.Options{FS: disk.OS{}})
	require.NoError(t, err)
	require.NoError(t, log.Init(wal.Meta{MemberID: discardedMember, Incarnation: 1}, base))
	require.NoError(t, log.Close())
	snaps, err := snap.Open(disk.OS{}, snapFolder)
	require.NoError(t, err)
	_, err = snaps.Save(raft.Snapshot{Position: base, Data: []byte("{}")})
	require.NoError(t, err)
	return folder
}

// startAgain finishes a discard and opens the folder like a store that starts. It returns
// the member whose log was found, or 0.
func startAgain(t *testing.T, folder string) uint64 {
	t.Helper()
	_, err := FinishDiscard(disk.OS{}, folder)
	require.NoError(t, err)
	found, err := FolderMember(disk.OS{}, folder)
	require.NoError(t, err)
	cfg := settings.Store{ID: found, DataFolder: folder, Listen: "127.0.0.1:0"}
	if found == 0 {
		cfg.ID, cfg.Join = newMember, true
	}
	node, err := Open(cfg, Options{Machine: newCounter(), Log: zerolog.Nop()})
	require.NoError(t, err)
	node.Close()
	require.NoFileExists(t, filepath.Join(folder, discardMarker))
	return found
}

// Guards against a removed store that never opens its folder again because it died while
// it emptied the folder.
func TestInterruptedDiscardIsFinishedAtTheNextStart(t *testing.T) {
	const segment, snapshot = "wal/00000000000000000001.wal", "snapshots/00000000000000000009.snap"
	cases := map[string][]string{
		"marker only":        nil,
		"log gone":           {"wal"},
		"snapshots gone":     {"snapshots"},
		"both gone":          {"wal", "snapshots"},
		"segment gone":       {segment},
		"snapshot file gone": {snapshot},
	}
	for name, gone := range cases {
		t.Run(name, func(t *testing.T) {
			folder := trimmedFolder(t)
			require.FileExists(t, filepath.Join(folder, segment))
			require.FileExists(t, filepath.Join(folder, snapshot))
			require.NoError(t, os.WriteFile(filepath.Join(folder, discardMarker), nil, 0o640))
			for _, path := range gone {
				require.NoError(t, os.RemoveAll(filepath.Join(folder, path)))
			}
			require.Zero(t, startAgain(t, folder))
			require.Equal(t, uint64(newMember), startAgain(t, folder), "the new log must stay")
		})
	}
}

var errPowerLoss = errors.New("power lost")

// powerFS loses power before the operation after the next steps ones. Names of the data
// folder that were created or removed since its last sync are kept or lost one by one.
type powerFS struct {
	disk.OS
	folder, trash    string
	steps            int
	created, removed []string
}

func (f *powerFS) step() error {
	f.steps--
	if f.steps < 0 {
		return errPowerLoss
	}
	return nil
}

func (f *powerFS) Create(path string) (disk.File, error) {
	if err := f.step(); err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		f.created = append(f.created, filepath.Base(path))
	}
	return f.OS.Create(path)
}

func (f *powerFS) Remove(path string) error { return f.RemoveAll(path) }

func (f *powerFS) RemoveAll(path string) error {
	if err := f.step(); err != nil {
		return err
	}
	if _, err := os.Stat(path); err != nil {
		return nil
	}
	name := filepath.Base(path)
	f.removed = append(f.removed, name)
	return os.Rename(path, filepath.Join(f.trash, name))
}

func (f *powerFS) SyncFolder(path string) error {
	if err := f.step(); err != nil {
		return err
	}
	f.created, f.removed = nil, nil
	return f.OS.SyncFolder(path)
}

// losePower undoes the changes of names since the last sync whose bits are set in lost. It
// returns false if lost has more bits than there are changes.
func (f *powerFS) losePower(t *testing.T, lost int) bool {
	t.Helper()
	if lost>>(len(f.created)+len(f.removed)) > 0 {
		return false
	}
	for i, name := range f.removed {
		if lost>>i&1 == 1 {
			require.NoError(t, os.Rename(filepath.Join(f.trash, name), filepath.Join(f.folder, name)))
		}
	}
	for i, name := range f.created {
		if lost>>(len(f.removed)+i)&1 == 1 {
			require.NoError(t, os.Remove(filepath.Join(f.folder, name)))
		}
	}
	return true
}

// Guards against names that survive a power loss one by one: after each operation of a
// discard, or of the finish of one whose marker isn't durable, each subset must open.
func TestPowerLossDuringDiscardLeavesAFolderThatOpens(t *testing.T) {
	finish := func(fs disk.FS, folder string) error {
		_, err := FinishDiscard(fs, folder)
		return err
	}
	for name, discard := range map[string]func(disk.FS, string) error{"discard": DiscardFolder, "finish": finish} {
		t.Run(name, func(t *testing.T) {
			completed := false
			for steps := 0; !completed; steps++ {
				for lost, more := 0, true; more; lost++ {
					folder := trimmedFolder(t)
					fs := &powerFS{folder: folder, trash: t.TempDir(), steps: steps}
					if name == "finish" {
						require.NoError(t, os.WriteFile(filepath.Join(folder, discardMarker), nil, 0o640))
						fs.created = []string{discardMarker}
					}
					err := discard(fs, folder)
					completed = err == nil
					if more = fs.losePower(t, lost); !more {
						continue
					}
					found := startAgain(t, folder)
					require.Contains(t, []uint64{0, discardedMember}, found, "%d operations, lost %b", steps, lost)
					if completed {
						require.Zero(t, found)
						continue
					}
					require.ErrorIs(t, err, errPowerLoss)
				}
			}
		})
	}
}
