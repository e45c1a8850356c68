package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
)

// maxVoters is the maximum number of initial voters of the replicated log.
const maxVoters = 7

// Validate checks the settings of a store before defaults are set, and returns *Error
// for the first invalid field. file is the name of the settings file in the error.
// Validate creates the data folder if it does not exist, and checks that files can be
// created in it.
func (s *Store) Validate(file string) error {
	checks := []func(string) error{s.checkIdentity, s.checkAddresses, s.checkMembers, s.checkOwnID, s.checkDataFolder}
	for _, check := range checks {
		if err := check(file); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) checkIdentity(file string) error {
	if err := s.checkCommon(file); err != nil {
		return err
	}
	switch {
	case s.ID == 0:
		return &Error{File: file, Field: "id", Reason: "is missing or zero"}
	case s.SnapshotEntries < 0:
		return &Error{File: file, Field: "snapshot_entries", Reason: "is negative"}
	}
	return nil
}

func (s *Store) checkAddresses(file string) error {
	if err := CheckAddress(file, "listen", s.Listen); err != nil {
		return err
	}
	if s.Advertise != "" {
		return CheckAddress(file, "advertise", s.Advertise)
	}
	if addr := netip.MustParseAddrPort(s.Listen); addr.Addr().IsUnspecified() {
		return &Error{File: file, Field: "advertise", Reason: "is required when listen is an unspecified address such as 0.0.0.0"}
	}
	return nil
}

func (s *Store) checkMembers(file string) error {
	if len(s.Members) == 0 && !s.Join {
		return &Error{File: file, Field: "members", Reason: "is empty and join is not set"}
	}
	if len(s.Members) > maxVoters {
		return &Error{File: file, Field: "members", Reason: fmt.Sprintf("names more than %d voters", maxVoters)}
	}
	seen := map[uint64]bool{}
	for i, m := range s.Members {
		field := fmt.Sprintf("members[%d]", i)
		if m.ID == 0 || seen[m.ID] {
			return &Error{File: file, Field: field + ".id", Reason: "is zero or used twice"}
		}
		seen[m.ID] = true
		if err := CheckAddress(file, field+".address", m.Address); err != nil {
			return err
		}
	}
	return nil
}

// checkOwnID keeps a store that lost its disk from acting as its former member, whose
// votes and log entries it has lost: it joins under an ID that no voter has had, so a
// joining store must not be among the members.
func (s *Store) checkOwnID(file string) error {
	listed := slices.ContainsFunc(s.Members, func(m Member) bool { return m.ID == s.ID })
	if s.Join && listed {
		return &Error{File: file, Field: "id", Reason: "a joining store needs a new id, but members names this one"}
	}
	if !s.Join && !listed {
		return &Error{File: file, Field: "members", Reason: fmt.Sprintf("does not name this store's id %d", s.ID)}
	}
	return nil
}

func (s *Store) checkDataFolder(file string) error {
	if s.DataFolder == "" {
		return &Error{File: file, Field: "data_folder", Reason: "is missing"}
	}
	if err := os.MkdirAll(s.DataFolder, 0o750); err != nil {
		return &Error{File: file, Field: "data_folder", Reason: err.Error()}
	}
	probe, err := os.CreateTemp(s.DataFolder, "probe")
	if err != nil {
		return &Error{File: file, Field: "data_folder", Reason: err.Error()}
	}
	_ = probe.Close()
	if err := os.Remove(probe.Name()); err != nil {
		return &Error{File: file, Field: "data_folder", Reason: err.Error()}
	}
	return nil
}
