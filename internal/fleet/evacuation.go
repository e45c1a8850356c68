package fleet

import "github.com/samphirefork/samphirefork/internal/workload"

// Evacuation is the order that no new work starts in a data centre until it is taken back.
type Evacuation struct {
	DataCentre string `cbor:"1,keyasint" json:"data_centre"`
	// Since is the time at which the order was accepted.
	Since Time `cbor:"2,keyasint" json:"since_ms"`
}

// EvacuationRequest begins the evacuation of a data centre or, with End, ends it.
type EvacuationRequest struct {
	DataCentre string `cbor:"1,keyasint" json:"data_centre"`
	End        bool   `cbor:"2,keyasint,omitempty" json:"end,omitempty"`
}

// entityEvacuation is the kind of evacuations in the change feed, by data centre. They are
// not declared in files, so that applying a declaration again ends none.
const entityEvacuation EntityKind = "evacuation"

// Evacuated reports whether no new work may start in the data centre.
func (c *Config) Evacuated(dataCentre string) bool {
	_, ok := c.Evacuations[dataCentre]
	return ok
}

func (c *Config) putEvacuation(e Evacuation) {
	initMap(&c.Evacuations)
	c.Evacuations[e.DataCentre] = e
}

// removeEvacuation leaves no empty map, so that a configuration equals its decoded copy.
func (c *Config) removeEvacuation(dataCentre string) {
	delete(c.Evacuations, dataCentre)
	if len(c.Evacuations) == 0 {
		c.Evacuations = nil
	}
}

// evacuate begins or ends an evacuation. It succeeds without effect when the data centre is
// in the requested state already.
func (tx *changeTx) evacuate(r EvacuationRequest) *Refusal {
	if _, ok := tx.cfg.DataCentres[r.DataCentre]; !ok {
		return refusal(CodeNotFound, "no data centre %q", r.DataCentre)
	}
	evacuated := tx.cfg.Evacuated(r.DataCentre)
	switch {
	case r.End && evacuated:
		tx.endEvacuation(r.DataCentre)
	case r.End:
		tx.addSummary("data centre %s is not evacuated", r.DataCentre)
	case evacuated:
		tx.addSummary("data centre %s is evacuated already", r.DataCentre)
	default:
		tx.cfg.putEvacuation(Evacuation{DataCentre: r.DataCentre, Since: tx.s.Now})
		tx.markChanged(entityEvacuation, r.DataCentre)
		tx.addSummary("evacuate data centre %s", r.DataCentre)
	}
	return nil
}

func (tx *changeTx) endEvacuation(dataCentre string) {
	tx.cfg.removeEvacuation(dataCentre)
	tx.markChanged(entityEvacuation, dataCentre)
	tx.addSummary("end the evacuation of data centre %s", dataCentre)
}

// mirrorEvacuations gives the jobs of steps the evacuations that a change has begun or
// ended. All others are left as they are.
func (s *State) mirrorEvacuations(changed []EntityRef) {
	for _, ref := range changed {
		if ref.Kind != entityEvacuation {
			continue
		}
		order := &workload.Evacuate{DataCentre: ref.Name, End: !s.Config.Evacuated(ref.Name)}
		s.Workload.Apply(&workload.Command{Evacuate: order}, int64(s.Now))
	}
}
