package store

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/wal"
)

// discardMarker is the name of the empty file that exists in a data folder while its log
// and snapshots are removed.
const discardMarker = "discarding"

// FolderMember returns the identifier of the member whose log is in the data folder, or
// 0 if there is no log. It creates the folder of the log if it does not exist, and
// truncates an incomplete last batch. It must not be called while a Node uses the
// folder.
func FolderMember(fs disk.FS, folder string) (uint64, error) {
	walFolder := filepath.Join(folder, "wal")
	if err := fs.MkdirAll(walFolder); err != nil {
		return 0, err
	}
	log, contents, err := wal.Open(walFolder, wal.Options{FS: fs})
	if err != nil {
		return 0, err
	}
	return contents.Meta.MemberID, log.Close()
}

// DiscardFolder removes the log and the snapshots in the data folder of a member that was
// removed from the membership. When it returns nil, their removal is durable. After a
// crash or an error the folder holds all of the data, none of it, or a marker that makes
// FinishDiscard remove the rest. It returns disk.ErrLocked if a Node uses the folder.
func DiscardFolder(fs disk.FS, folder string) error {
	lock, err := disk.LockFolder(folder)
	if err != nil {
		return err
	}
	defer lock.Release()
	return errors.Wrap(discard(fs, folder), "store: discard data folder")
}

// FinishDiscard completes a DiscardFolder that a crash or an error interrupted, and
// returns whether there was one. It must be called before FolderMember and Open. When it
// returns true and nil, the removal of the log and the snapshots is durable; a crash or an
// error in the middle leaves a folder for which it can be called again. It creates the
// data folder if it does not exist, and returns disk.ErrLocked if a Node uses it.
func FinishDiscard(fs disk.FS, folder string) (bool, error) {
	if err := fs.MkdirAll(folder); err != nil {
		return false, errors.Wrap(err, "store: create data folder")
	}
	lock, err := disk.LockFolder(folder)
	if err != nil {
		return false, err
	}
	defer lock.Release()
	_, err = fs.ReadFile(filepath.Join(folder, discardMarker))
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, errors.Wrap(err, "store: read discard marker")
	}
	return true, errors.Wrap(discard(fs, folder), "store: finish discard of data folder")
}

// discard removes the log and the snapshots of a locked folder. The marker is durable
// before the first removal, also if an interrupted call left one that is not, and stays
// until all removals are durable: a power loss may keep or lose each removed name since
// the last sync of the folder. The removal of the marker is durable on return.
func discard(fs disk.FS, folder string) error {
	marker := filepath.Join(folder, discardMarker)
	if err := createDurably(fs, marker); err != nil {
		return err
	}
	for _, name := range []string{"wal", "snapshots"} {
		if err := fs.RemoveAll(filepath.Join(folder, name)); err != nil {
			return err
		}
	}
	if err := fs.SyncFolder(folder); err != nil {
		return err
	}
	if err := fs.Remove(marker); err != nil {
		return err
	}
	return fs.SyncFolder(folder)
}

// createDurably creates an empty file. It and its name are durable on return.
func createDurably(fs disk.FS, path string) error {
	file, err := fs.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := file.Sync(); err != nil {
		return err
	}
	return fs.SyncFolder(filepath.Dir(path))
}
