// Package settings loads the JSON settings files of the processes and validates them
// before a process starts. Every error names the file and the reason, and the field
// where it is known.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Error is returned for a settings file that cannot be read, decoded or accepted.
type Error struct {
	File string
	// Field is the name of the invalid field as the file writes it. It is empty when
	// no single field is known to be invalid, as in a syntax error.
	Field string
	// Reason says what is wrong.
	Reason string
}

// Error returns the file, the field and the reason on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: field %q: %s", e.File, e.Field, e.Reason)
}

// ErrDuration is returned for a duration that is negative or not a string with a unit.
var ErrDuration = errors.New("expected a duration string with a unit, such as \"250ms\"")

// Duration is a time.Duration that JSON represents as a string with a unit, such as
// "250ms". Numbers and negative durations are rejected with ErrDuration.
type Duration time.Duration

// UnmarshalJSON decodes a string in the syntax of time.ParseDuration.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return ErrDuration
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Wrapf(ErrDuration, "%q", s)
	}
	if v < 0 {
		return errors.Wrapf(ErrDuration, "%q is negative", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON encodes d in the format of time.Duration.String.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Common contains the settings that stores and entries have in common.
type Common struct {
	// Instance is the name of the instance on which the process runs.
	Instance string `json:"instance"`
	// DataCentre is the name of the data centre of the instance.
	DataCentre string `json:"data_centre"`
	// SharedSecret authenticates the processes of a fleet to each other. It has at
	// least 16 bytes and is the same in all processes.
	SharedSecret string `json:"shared_secret"`
	// LogLevel is a zerolog level name; empty means "info".
	LogLevel string `json:"log_level,omitempty"`
}

// Member is a store that is a member of the replicated log.
type Member struct {
	// ID is never reused during the lifetime of the log: a store that lost its disk
	// gets a new one.
	ID         uint64 `json:"id"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// Address is the peer address of the store: an IP address and a port.
	Address string `json:"address"`
}

// Store contains the settings of samphire-store.
type Store struct {
	Common
	// ID is the member ID of the store; it is not 0.
	ID uint64 `json:"id"`
	// Listen is the address on which the store accepts connections from other stores
	// and from entries.
	Listen string `json:"listen"`
	// Advertise is the address at which the others connect to the store. It is required
	// when Listen is an unspecified address such as 0.0.0.0; otherwise it defaults to
	// Listen.
	Advertise string `json:"advertise,omitempty"`
	// DataFolder is the directory for the log, the snapshots and the request ledger.
	DataFolder string `json:"data_folder"`
	// Members are the initial voters of a new log.
	Members []Member `json:"members"`
	// Join makes a store with an empty data folder wait until it is added as a learner,
	// instead of starting a new log.
	Join bool `json:"join,omitempty"`
	// Tick is the time unit of the consensus timers: the leader sends a heartbeat every
	// tick, and a follower starts an election after 10 to 20 ticks without one. 0 selects
	// the default of the store, 50 ms.
	Tick Duration `json:"tick,omitempty"`
	// SnapshotEntries is the number of applied log entries after which the store takes a
	// snapshot; it takes one earlier when these entries are large. 0 selects the default
	// of the store, 10 000.
	SnapshotEntries int `json:"snapshot_entries,omitempty"`
	// Policies maps a kind of decision to the name of its policy, for measurements
	// against baselines. A missing kind has the default policy.
	Policies map[string]string `json:"policies,omitempty"`
	Planning
}

// Entry contains the settings of samphire-entry.
type Entry struct {
	Common
	// Listen is the address for callers, operators, backend servers and workers.
	Listen string `json:"listen"`
	// PeerListen is the address on which the entry accepts connections from the other
	// processes of the fleet.
	PeerListen string `json:"peer_listen"`
	// PeerAdvertise is the address at which the other processes connect to the entry. It
	// is required when PeerListen is an unspecified address such as 0.0.0.0; otherwise it
	// defaults to the address on which the entry listens for them.
	PeerAdvertise string `json:"peer_advertise,omitempty"`
	// Stores contains the peer addresses of the stores; at least one.
	Stores []string `json:"stores"`
	// Ledgers maps a data centre to the peer address of the store that keeps its request
	// ledger. The data centre of the entry is required.
	Ledgers map[string]string `json:"ledgers"`
	// Peers contains the peer addresses of other entries. They are used until the leader
	// has reported the entries that are running.
	Peers []string `json:"peers,omitempty"`
	// OperatorToken is the bearer token that operator calls must carry.
	OperatorToken string `json:"operator_token"`
	// Policies selects the admission policy, "fair" (the default) or "fifo", under the
	// name "admission".
	Policies map[string]string `json:"policies,omitempty"`
}

// Load reads the JSON file at path into v, a pointer to a settings struct. An unreadable
// file, an unknown field, a value of the wrong type or data after the object returns
// *Error. Load does not validate the values.
func Load(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return &Error{File: path, Reason: err.Error()}
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(path, err)
	}
	if dec.More() {
		return &Error{File: path, Reason: "data after the settings object"}
	}
	return nil
}

func decodeError(path string, err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &Error{File: path, Field: typeErr.Field, Reason: "expected " + typeErr.Type.String() + ", found " + typeErr.Value}
	}
	return &Error{File: path, Reason: err.Error()}
}

// CheckAddress returns *Error with the given file and field unless addr is an IP address
// with a port.
func CheckAddress(file, field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &Error{File: file, Field: field, Reason: fmt.Sprintf("address %q: %v", addr, err)}
	}
	return nil
}
