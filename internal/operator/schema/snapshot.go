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

// SnapshotFormat is the name and version of the snapshot document format.
const SnapshotFormat = "samphirefork-fleet-view/1"

// ErrSnapshot is returned for a snapshot document that is damaged or has another format.
var ErrSnapshot = errors.New("schema: not a complete snapshot document")

// Snapshot is the state of the fleet at one index of the replicated log, as operators
// see it. It contains no key hashes and no individual jobs.
type Snapshot struct {
	// Applied is the log index, and Term the term of the leader.
	Applied uint64 `json:"applied"`
	Term    uint64 `json:"term"`
	// NowMS is the cluster time in milliseconds.
	NowMS  fleet.Time   `json:"now_ms"`
	Config fleet.Config `json:"config"`
	// Status maps instance names to observed states. Instances that have none are
	// missing.
	Status map[string]fleet.InstanceStatus `json:"status"`
	// Plans contains the maintenance plans by name.
	Plans map[string]fleet.MaintenancePlan `json:"plans"`
	// Audit contains the most recent records of the audit trail, newest first.
	Audit   []fleet.AuditRecord `json:"audit"`
	Members []wire.MemberInfo   `json:"members"`
	// Jobs is the number of jobs by state.
	Jobs     map[fleet.JobState]int `json:"jobs"`
	Revision fleet.Revision         `json:"revision"`
}

// envelope is a snapshot document: a Snapshot with its format and checksum.
type envelope struct {
	Format string          `json:"format"`
	SHA256 string          `json:"sha256"`
	Body   json.RawMessage `json:"body"`
}

// EncodeSnapshot returns the snapshot document, in JSON, for a detailed status reply. Key
// hashes are removed.
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
		snap.Config = withoutKeyHashes(*s.Config)
	}
	body, err := json.Marshal(snap)
	if err != nil {
		return nil, errors.Wrap(err, "schema: encode snapshot")
	}
	sum := sha256.Sum256(body)
	out, err := json.Marshal(envelope{Format: SnapshotFormat, SHA256: hex.EncodeToString(sum[:]), Body: body})
	return out, errors.Wrap(err, "schema: encode snapshot")
}

// DecodeSnapshot verifies the format and the checksum of a snapshot document and decodes
// it. All errors wrap ErrSnapshot; an unknown field is an error, too.
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

func withoutKeyHashes(c fleet.Config) fleet.Config {
	c.Keys = maps.Clone(c.Keys)
	for id, k := range c.Keys {
		k.SecretSHA256 = ""
		c.Keys[id] = k
	}
	return c
}
