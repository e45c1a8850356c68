// Package membership adds stores to the replicated log and removes them without an
// operator. It determines the first voters from the seed addresses, gives a store
// with an empty data folder a new member identifier, and replaces voters that
// stopped responding.
package membership

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/store"
)

// Start describes how a store starts: with the log in its data folder, as one of
// the first voters of a new log, or by joining an existing log. Only ID is set for
// a store that already has a log.
type Start struct {
	// ID is the store's member identifier.
	ID uint64
	// Members are the first voters of a new log; empty unless Initialize is true.
	Members []settings.Member
	// Join is true if the store has no log and waits to be added to an existing one.
	Join bool
	// Initialize is true if the store starts a new log.
	Initialize bool
}

// PlanStart returns how the store at address starts. A store with a log in folder
// keeps the member identifier of that log. A store without a log becomes a first
// voter only if firstStart is true, meaning that the whole system starts for the
// first time, and if seeds contains its address. Any other store without a log joins
// under a new random identifier, because it may have voted under its previous one.
// An error means that folder can't be created or that its log can't be opened.
func PlanStart(fs disk.FS, folder, address string, seeds []string, firstStart bool) (Start, error) {
	id, err := store.FolderMember(fs, folder)
	if err != nil {
		return Start{}, err
	}
	if id != 0 {
		return Start{ID: id}, nil
	}
	s := Start{ID: rand.Uint64() | 1, Join: true}
	if !firstStart {
		return s, nil
	}
	for _, seed := range seeds {
		if seed != address {
			continue
		}
		return Start{ID: initialMemberID(seed), Members: initialMembers(seeds), Initialize: true}, nil
	}
	return s, nil
}

func initialMembers(seeds []string) []settings.Member {
	var members []settings.Member
	for _, seed := range seeds {
		members = append(members, settings.Member{ID: initialMemberID(seed), Instance: seed, Address: seed})
	}
	return members
}

// initialMemberID derives the identifier of a first voter from its address, so that
// all stores compute the same one.
func initialMemberID(address string) uint64 { return xxhash.Sum64String(address) | 1 }
