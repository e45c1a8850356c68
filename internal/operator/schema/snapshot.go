package schema

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// SnapshotFormat names the document format, with its version.
const SnapshotFormat = "samphirefork-fleet-view/1"

// ErrSnapshot is returned for a snapshot document that is damaged or of another format.
var ErrSnapshot = errors.New("schema: not a complete snapshot document")

// Snapshot is the operators' view of the fleet state at one log index. Key
// hashes are left out, and jobs are counted by state.
type Snapshot struct {
	Applied  uint64                           `json:"applied"`
	Term     uint64                           `json:"term"`
	NowMS    fleet.Time                       `json:"now_ms"`
	Config   fleet.Config                     `json:"config"`
	Status   map[string]fleet.InstanceStatus  `json:"status"`
	Plans    map[string]fleet.MaintenancePlan `json:"plans"`
	Audit    []fleet.AuditRecord              `json:"audit"`
	Members  []wire.MemberInfo                `json:"members"`
	Jobs     map[fleet.JobState]int           `json:"jobs"`
	Revision fleet.Revision                   `json:"revision"`
}

// envelope protects the body of a document with its checksum.
type envelope struct {
	Format string          `json:"format"`
	SHA256 string          `json:"sha256"`
	Body   json.RawMessage `json:"body"`
}

// EncodeSnapshot returns the document of a detailed status reply.
func EncodeSnapshot(s wire.StatusReply) ([]byte, error) {
	snap := Snapshot{
		Applied:  s.Applied,
		Term:     s.Term,
		NowMS:    s.Now,
		Status:   s.Status,
		Plans:    s.Plans,
		Audit:    s.Audit,
		Members:  s.Members,
		Jobs:     s.Jobs,
		Revision: s.Revision,
	}
	if s.Config != nil {
		snap.Config = withoutHashes(*s.Config)
	}
	body, err := json.Marshal(snap)
	if err != nil {
		return nil, errors.Wrap(err, "schema: encode snapshot")
	}
	sum := sha256.Sum256(body)
	out, err := json.Marshal(envelope{Format: SnapshotFormat, SHA256: hex.EncodeToString(sum[:]), Body: body})
	return out, errors.Wrap(err, "schema: encode snapshot")
}

// DecodeSnapshot checks and decodes a document.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var env envelope
	var snap Snapshot
	if err := json.Unmarshal(data, &env); err != nil {
		return snap, errors.Wrap(ErrSnapshot, err.Error())
	}
	if env.Format != SnapshotFormat {
		return snap, errors.Wrapf(ErrSnapshot, "format %q, expected %q", env.Format, SnapshotFormat)
	}
	sum := sha256.Sum256(env.Body)
	if env.SHA256 != hex.EncodeToString(sum[:]) {
		return snap, errors.Wrap(ErrSnapshot, "checksum differs")
	}
	dec := json.NewDecoder(bytes.NewReader(env.Body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&snap); err != nil {
		return snap, errors.Wrap(ErrSnapshot, err.Error())
	}
	return snap, nil
}

func withoutHashes(c fleet.Config) fleet.Config {
	c.Keys = maps.Clone(c.Keys)
	for id, k := range c.Keys {
		k.SecretSHA256 = ""
		c.Keys[id] = k
	}
	return c
}
