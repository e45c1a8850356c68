package api

import (
	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Paths of the stalled work: that of the team whose key the request carries, and that of the
// whole fleet, for operators. Both take the query parameters queue and reason.
const (
	PathStalled         = "/v1/stalled"
	PathOperatorStalled = "/v1/operator/stalled"
)

// StalledWork is the JSON record of a step that makes no progress.
type StalledWork struct {
	stall.Stall
	// StalledMS is the time since the last progress in milliseconds.
	StalledMS int64 `json:"stalled_ms"`
	// Remedy says what would let the work go on.
	Remedy string `json:"remedy"`
}

// StalledList is the JSON body of the answer to a request for stalled work.
type StalledList struct {
	Stalled []StalledWork `json:"stalled"`
	// Omitted is the number of further records, which the answer does not contain.
	Omitted int `json:"omitted,omitempty"`
}

// NewStalledList returns the JSON body for the reply of the leader.
func NewStalledList(reply wire.StalledReply) StalledList {
	list := StalledList{Stalled: []StalledWork{}, Omitted: reply.Omitted}
	for _, s := range reply.Stalls {
		list.Stalled = append(list.Stalled, StalledWork{Stall: s, StalledMS: max(reply.NowMS-s.SinceMS, 0), Remedy: s.Reason.Remedy()})
	}
	return list
}
