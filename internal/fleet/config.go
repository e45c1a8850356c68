package fleet

import (
	"fmt"
	"maps"
)

// changeTx is the transaction of a configuration change: either all of its items are
// applied or none. Each item is checked by itself when it is added. References between
// entities are checked once at the end, so an item may refer to an entity that a later
// item declares. Only the team of an issued key has to be declared before.
type changeTx struct {
	s   *State
	cfg *Config
	// status is the map of the State until ownStatus replaces it by a copy.
	status     map[string]InstanceStatus
	ownsStatus bool
	plans      map[string]MaintenancePlan
	// lost lists the instances that are declared lost. Their attempts end at the commit.
	lost    []string
	changed []EntityRef
	deleted []EntityRef
	summary []string
	// omitted is the number of summary lines beyond maxSummaryLines.
	omitted int
}

func (s *State) beginChange() *changeTx {
	return &changeTx{
		s:      s,
		cfg:    s.Config.Clone(),
		status: s.Status,
		plans:  maps.Clone(s.Plans),
	}
}

// changeContent is the part of a change that its fingerprint covers.
type changeContent struct {
	Operator string
	Expected Revision
	Items    []ChangeItem
}

func (s *State) applyChange(c *ConfigChange, wall int64) Result {
	if !validName(c.RequestID) || len(c.Operator) > maxNameBytes {
		return refuse(CodeInvalid, "a change needs a request identifier of at most %d bytes", maxNameBytes)
	}
	hash := fingerprint(changeContent{c.Operator, c.ExpectedRevision, c.Items})
	if first, ok := s.firstAnswer(c.RequestID); ok {
		return repeatAnswer(first, hash)
	}
	if c.ExpectedRevision != s.Config.Revision {
		r := refuse(CodeRevisionConflict, "the present revision is %d", s.Config.Revision)
		r.Refusal.PresentRevision = s.Config.Revision
		return r
	}
	if len(c.Items) == 0 {
		return refuse(CodeInvalid, "the change has no items")
	}
	tx := s.beginChange()
	for i := range c.Items {
		if refused := tx.item(&c.Items[i]); refused != nil {
			refused.Message = fmt.Sprintf("item %d: %s", i, refused.Message)
			return Result{Refusal: refused}
		}
	}
	if refused := tx.checkReferences(); refused != nil {
		return Result{Refusal: refused}
	}
	res := tx.commit(AuditRecord{RequestID: c.RequestID, Operator: c.Operator, WallUnixMS: wall})
	s.recordAnswer(Answer{RequestID: c.RequestID, Fingerprint: hash, Result: res})
	return res
}

func repeatAnswer(first Answer, hash uint64) Result {
	if first.Fingerprint != hash {
		return refuse(CodeRequestIDReused, "request identifier %q was used for another change", first.RequestID)
	}
	r := first.Result
	r.Resent = true
	return r
}

func (s *State) firstAnswer(id string) (Answer, bool) {
	pos, ok := s.index.answered[id]
	if !ok {
		return Answer{}, false
	}
	return s.Answers[pos-s.index.answerBase], true
}

func (s *State) recordAnswer(a Answer) {
	s.index.answered[a.RequestID] = s.index.answerBase + len(s.Answers)
	s.Answers = append(s.Answers, a)
	for len(s.Answers) > maxAnswers {
		delete(s.index.answered, s.Answers[0].RequestID)
		s.Answers = s.Answers[1:]
		s.index.answerBase++
	}
}

// commit replaces the configuration of the state by that of the transaction, increases
// the revision and adds an audit record.
func (tx *changeTx) commit(rec AuditRecord) Result {
	s := tx.s
	from := s.Config.Revision
	tx.cfg.Revision = from + 1
	s.Config = *tx.cfg
	s.Workload.SetConfig(stepConfig(tx.cfg))
	s.mirrorEvacuations(tx.changed)
	s.Status = tx.status
	s.Plans = tx.plans
	for _, name := range tx.lost {
		s.endAttemptsOn(name, lostOutcome("declared lost by an operator"), func(*Job) bool { return true })
	}
	s.feed.record(s.Config.Revision, tx.changed)
	s.finishPlans()
	rec.From = from
	rec.Revision = s.Config.Revision
	rec.At = s.Now
	rec.Summary = tx.summaryLines()
	s.Audit = append(s.Audit, rec)
	if len(s.Audit) > maxAudit {
		s.Audit = s.Audit[len(s.Audit)-maxAudit:]
	}
	return Result{Revision: s.Config.Revision}
}

func (tx *changeTx) setStatus(name string, st InstanceStatus) {
	tx.ownStatus()
	tx.status[name] = st
}

func (tx *changeTx) ownStatus() {
	if !tx.ownsStatus {
		tx.status = maps.Clone(tx.status)
		tx.ownsStatus = true
	}
}

func (tx *changeTx) addSummary(format string, args ...any) {
	if len(tx.summary) >= maxSummaryLines {
		tx.omitted++
		return
	}
	tx.summary = append(tx.summary, fmt.Sprintf(format, args...))
}

func (tx *changeTx) summaryLines() []string {
	if tx.omitted > 0 {
		return append(tx.summary, fmt.Sprintf("and %d more", tx.omitted))
	}
	return tx.summary
}

func (tx *changeTx) markChanged(kind EntityKind, name string) {
	tx.changed = append(tx.changed, EntityRef{Kind: kind, Name: name})
}
