// Package snap keeps snapshot files: written to a temporary name, synced,
// renamed, and verified by CRC when they are read. The last two are kept.
package snap

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/raft"
)

const (
	suffix     = ".snap"
	tempSuffix = ".tmp"
	kept       = 2
	crcBytes   = 4
)

// ErrCorrupt is a snapshot file that fails its CRC or does not decode.
type ErrCorrupt struct {
	File   string
	Reason string
}

// Error implements error.
func (e *ErrCorrupt) Error() string { return "snap: " + e.File + " is corrupt: " + e.Reason }

// Folder holds the snapshot files of one store.
type Folder struct {
	path string
	fs   disk.FS
}

// Open returns the snapshots in an existing folder and removes unfinished files.
func Open(fs disk.FS, path string) (*Folder, error) {
	f := &Folder{path: path, fs: fs}
	names, err := fs.List(path)
	if err != nil {
		return nil, errors.Wrap(err, "snap: list")
	}
	for _, name := range names {
		if strings.HasSuffix(name, tempSuffix) {
			if err := fs.Remove(filepath.Join(path, name)); err != nil {
				return nil, errors.Wrap(err, "snap: remove unfinished file")
			}
		}
	}
	return f, nil
}

type content struct {
	Position raft.Position `cbor:"1,keyasint"`
	Data     []byte        `cbor:"2,keyasint"`
}

// Encode returns the bytes of a snapshot file: CRC (4 bytes), CBOR.
func Encode(s raft.Snapshot) ([]byte, error) {
	payload, err := cbor.Marshal(content{Position: s.Position, Data: s.Data})
	if err != nil {
		return nil, errors.Wrap(err, "snap: encode")
	}
	crc := crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli))
	return append(binary.BigEndian.AppendUint32(nil, crc), payload...), nil
}

// Decode verifies and decodes the bytes of the named snapshot file.
func Decode(file string, data []byte) (raft.Snapshot, error) {
	if len(data) < crcBytes {
		return raft.Snapshot{}, &ErrCorrupt{File: file, Reason: "too short"}
	}
	payload := data[crcBytes:]
	if crc32.Checksum(payload, crc32.MakeTable(crc32.Castagnoli)) != binary.BigEndian.Uint32(data) {
		return raft.Snapshot{}, &ErrCorrupt{File: file, Reason: "checksum differs"}
	}
	var c content
	if err := cbor.Unmarshal(payload, &c); err != nil {
		return raft.Snapshot{}, &ErrCorrupt{File: file, Reason: err.Error()}
	}
	return raft.Snapshot{Position: c.Position, Data: c.Data}, nil
}

// Save makes a snapshot durable and removes all but the last two. It returns
// the index of the oldest snapshot that is left.
func (f *Folder) Save(s raft.Snapshot) (uint64, error) {
	data, err := Encode(s)
	if err != nil {
		return 0, err
	}
	path := f.file(s.Index)
	if err := f.writeTemp(path+tempSuffix, data); err != nil {
		return 0, errors.Wrap(err, "snap: write")
	}
	if err := f.fs.Rename(path+tempSuffix, path); err != nil {
		return 0, errors.Wrap(err, "snap: rename")
	}
	if err := f.fs.SyncFolder(f.path); err != nil {
		return 0, errors.Wrap(err, "snap: sync folder")
	}
	return f.removeOld()
}

func (f *Folder) writeTemp(path string, data []byte) error {
	file, err := f.fs.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	n, err := file.Write(data)
	if err != nil {
		return err
	}
	if n < len(data) {
		return errors.Wrapf(io.ErrShortWrite, "%d of %d bytes", n, len(data))
	}
	return file.Sync()
}

func (f *Folder) removeOld() (uint64, error) {
	indices, err := f.indices()
	if err != nil {
		return 0, err
	}
	for len(indices) > kept {
		if err := f.fs.Remove(f.file(indices[0])); err != nil {
			return 0, errors.Wrap(err, "snap: remove")
		}
		indices = indices[1:]
	}
	return indices[0], nil
}

// Newest returns the newest snapshot that is intact, and false when there is
// none. damaged lists the newer files that were passed over.
func (f *Folder) Newest() (s raft.Snapshot, found bool, damaged []error, err error) {
	indices, err := f.indices()
	if err != nil {
		return s, false, nil, err
	}
	for i := len(indices) - 1; i >= 0; i-- {
		path := f.file(indices[i])
		data, err := f.fs.ReadFile(path)
		if err != nil {
			return s, false, damaged, errors.Wrap(err, "snap: read")
		}
		s, err = Decode(path, data)
		if err == nil {
			return s, true, damaged, nil
		}
		damaged = append(damaged, err)
	}
	return raft.Snapshot{}, false, damaged, nil
}

func (f *Folder) indices() ([]uint64, error) {
	names, err := f.fs.List(f.path)
	if err != nil {
		return nil, errors.Wrap(err, "snap: list")
	}
	var indices []uint64
	for _, name := range names {
		digits, ok := strings.CutSuffix(name, suffix)
		if !ok {
			continue
		}
		if index, err := strconv.ParseUint(digits, 10, 64); err == nil {
			indices = append(indices, index)
		}
	}
	return indices, nil
}

func (f *Folder) file(index uint64) string {
	return filepath.Join(f.path, fmt.Sprintf("%020d%s", index, suffix))
}
