// Package membership brings stores into the replicated log and out of it without
// an operator: the first voters from the seeds, a store with an empty disk under
// a new identifier, and the replacement of voters that are gone.
package membership

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/store"
)

// Start tells how a store begins.
type Start struct {
	// ID is the store's member identifier.
	ID uint64
	// Members are the first voters, when the store starts a new log.
	Members []settings.Member
	// Join is true when the store waits to be added to an existing log.
	Join bool
	// Initialize is true when the store starts a new log.
	Initialize bool
}

// PlanStart returns how a store at the address begins. A store that has a log keeps
// its identifier. One without a log starts as a first voter only when the whole
// system starts for the first time and the seeds name it; otherwise it joins
// under a new identifier, since its former self may have voted.
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

// initialMemberID is the identifier of a first voter, which all stores derive alike.
func initialMemberID(address string) uint64 { return xxhash.Sum64String(address) | 1 }
