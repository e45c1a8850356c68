package workload

// Outage records that no store led for a time before a leadership began. Cluster time stood
// still then, so work that was due earlier has waited for that much longer.
type Outage struct {
	// Before is the cluster time, in milliseconds, at which the leadership began.
	Before int64 `cbor:"1,keyasint"`
	// LengthMS is the time without a leader, in milliseconds.
	LengthMS int64 `cbor:"2,keyasint"`
}

// maxOutageMS bounds the length of an outage: a day, after which no job is on time.
const maxOutageMS = 24 * 60 * 60 * 1000

func (s *State) applyOutage(c *Outage) {
	length := min(max(c.LengthMS, 0), maxOutageMS)
	for _, j := range s.active {
		for _, o := range j.Occurrences {
			if o.DueAt <= c.Before {
				o.DueAt -= length
			}
		}
	}
}
