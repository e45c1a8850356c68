// Package settings loads the JSON settings of the processes and checks them
// before a process starts. Every rejection names the file, the field and the reason.
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

// Error is a rejected setting.
type Error struct {
	File   string
	Field  string
	Reason string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: field %q: %s", e.File, e.Field, e.Reason)
}

// ErrDuration is a duration that is not a string with a unit.
var ErrDuration = errors.New("a duration is a string with a unit, such as \"250ms\"")

// Duration is a JSON string with a unit, such as "250ms"; a bare number is rejected.
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
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

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Common holds the settings that all processes share.
type Common struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	// SharedSecret proves the processes of a fleet to each other; at least 16 bytes.
	SharedSecret string `json:"shared_secret"`
	LogLevel     string `json:"log_level,omitempty"`
}

// Member is one store of the replicated log.
type Member struct {
	// ID is unique for the lifetime of the log; a store that lost its disk gets a new one.
	ID         uint64 `json:"id"`
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
}

// Store holds the settings of samphire-store.
type Store struct {
	Common
	ID uint64 `json:"id"`
	// Listen is the address for peers and entries; Advertise is what they dial.
	Listen     string `json:"listen"`
	Advertise  string `json:"advertise,omitempty"`
	DataFolder string `json:"data_folder"`
	// Members are the voters that a new log starts with.
	Members []Member `json:"members"`
	// Join makes a store with an empty data folder wait to be added as a learner
	// instead of starting a new log.
	Join bool `json:"join,omitempty"`
	// Tick is the unit of the consensus timers: a heartbeat each tick, an
	// election after 10 to 20 ticks without one.
	Tick Duration `json:"tick,omitempty"`
	// SnapshotEntries is the number of applied entries between snapshots.
	SnapshotEntries int `json:"snapshot_entries,omitempty"`
	// Policies selects decision policies by name, for measurements against baselines.
	Policies map[string]string `json:"policies,omitempty"`
}

// Entry holds the settings of samphire-entry.
type Entry struct {
	Common
	// Listen serves callers, operators, backend servers and workers.
	Listen string `json:"listen"`
	// PeerListen serves the other processes; PeerAdvertise is what they dial.
	PeerListen    string `json:"peer_listen"`
	PeerAdvertise string `json:"peer_advertise,omitempty"`
	// Stores are the peer addresses of the stores.
	Stores []string `json:"stores"`
	// Ledgers maps each data centre to the peer address of the store that keeps its ledger.
	Ledgers map[string]string `json:"ledgers"`
	// Peers are the peer addresses of other entries, used until the leader names the live ones.
	Peers []string `json:"peers,omitempty"`
	// OperatorToken admits operators' calls.
	OperatorToken string            `json:"operator_token"`
	Policies      map[string]string `json:"policies,omitempty"`
}

// Load decodes the file into v strictly: an unknown field, trailing data or a
// wrong type is an *Error.
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

// CheckAddress rejects what is not an IP address with a port.
func CheckAddress(file, field, addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &Error{File: file, Field: field, Reason: fmt.Sprintf("address %q: %v", addr, err)}
	}
	return nil
}
