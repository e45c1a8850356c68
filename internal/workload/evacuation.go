package workload

// Evacuation is the order to start nothing more in a data centre until it is taken back.
type Evacuation struct {
	// Since is the cluster time, in milliseconds, at which the order was accepted.
	Since int64 `cbor:"1,keyasint"`
}

// Evacuate begins or ends the evacuation of a data centre. A repetition changes nothing and
// succeeds.
type Evacuate struct {
	DataCentre string `cbor:"1,keyasint"`
	// End is true when the data centre is taken back.
	End bool `cbor:"2,keyasint,omitempty"`
}

func (s *State) applyEvacuate(c *Evacuate) Result {
	_, evacuated := s.Evacuations[c.DataCentre]
	switch {
	case evacuated != c.End:
		return Result{Known: true}
	case c.End:
		delete(s.Evacuations, c.DataCentre)
	default:
		s.Evacuations[c.DataCentre] = Evacuation{Since: s.now}
	}
	return Result{}
}

// Evacuated reports whether nothing may start in the data centre.
func (s *State) Evacuated(dataCentre string) bool {
	_, ok := s.Evacuations[dataCentre]
	return ok
}
