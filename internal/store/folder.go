package store

import (
	"path/filepath"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/wal"
)

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
