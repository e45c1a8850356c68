package fleet

import "slices"

// phaseTransitions lists the phases that may follow each phase.
var phaseTransitions = map[InstancePhase][]InstancePhase{
	PhaseActive:    {PhaseDraining},
	PhaseDraining:  {PhaseRebooting, PhaseActive},
	PhaseRebooting: {PhaseVerifying, PhaseActive},
	PhaseVerifying: {PhaseActive, PhaseRebooting},
}

// applyPhases verifies and applies each step separately against the newest state. A reason
// for an unknown plan refuses the whole command.
func (s *State) applyPhases(c *PhaseChange) Result {
	for plan := range c.Waiting {
		if _, ok := s.Plans[plan]; !ok {
			return refuse(CodeNotFound, "no plan %q", plan)
		}
	}
	var res Result
	for i, step := range c.Steps {
		if refused := s.checkPhase(step); refused != nil {
			res.reject(i, refused)
			continue
		}
		s.setPhase(step)
	}
	for plan, reason := range c.Waiting {
		p := s.Plans[plan]
		p.WaitingFor = reason
		s.Plans[plan] = p
	}
	s.finishPlans()
	return res
}

func (s *State) checkPhase(step PhaseStep) *Refusal {
	st, ok := s.Status[step.Instance]
	if !ok {
		return refusal(CodeNotFound, "no instance %q", step.Instance)
	}
	if !slices.Contains(phaseTransitions[st.Phase], step.Phase) {
		return refusal(CodeStale, "instance %s is %s", step.Instance, st.Phase)
	}
	if st.Phase != PhaseActive && st.Plan != step.Plan {
		return refusal(CodeStale, "instance %s is held by plan %q", step.Instance, st.Plan)
	}
	if step.Completed && (step.Phase != PhaseActive || st.Phase != PhaseVerifying) {
		return refusal(CodeInvalid, "instance %s is not verified", step.Instance)
	}
	if step.Phase == PhaseRebooting && len(s.AssignedTo(step.Instance)) > 0 {
		return refusal(CodeInUse, "instance %s still runs jobs", step.Instance)
	}
	if st.Phase == PhaseActive {
		return s.checkDrain(step)
	}
	return nil
}

// checkDrain verifies that a drain of an active instance may start: its plan, if any, is
// running and has not completed the instance, and the availability budgets allow it.
func (s *State) checkDrain(step PhaseStep) *Refusal {
	if step.Plan != "" {
		p, ok := s.Plans[step.Plan]
		if !ok {
			return refusal(CodeNotFound, "no plan %q", step.Plan)
		}
		if p.State != PlanRunning {
			return refusal(CodeStale, "plan %s is %s", p.Name, p.State)
		}
		if p.Pool != s.Config.Instances[step.Instance].Pool || slices.Contains(p.Completed, step.Instance) {
			return refusal(CodeStale, "instance %s is not due in plan %s", step.Instance, p.Name)
		}
	}
	return s.CheckBudget(step.Instance)
}

func (s *State) setPhase(step PhaseStep) {
	st := s.Status[step.Instance]
	st.Phase = step.Phase
	st.Plan = step.Plan
	st.PhaseSince = s.Now
	switch step.Phase {
	case PhaseRebooting:
		st.RebootFrom = st.Incarnation
	case PhaseActive:
		st.Plan = ""
		st.RebootFrom = ""
	}
	s.Status[step.Instance] = st
	if p, ok := s.Plans[step.Plan]; ok && step.Completed {
		p.Completed = append(slices.Clone(p.Completed), step.Instance)
		slices.Sort(p.Completed)
		s.Plans[p.Name] = p
	}
}

// finishPlans sets to PlanDone the running plans that have completed every instance of
// their pool.
func (s *State) finishPlans() {
	for name, p := range s.Plans {
		if p.State != PlanRunning || s.hasRemaining(p) {
			continue
		}
		p.State = PlanDone
		p.FinishedAt = s.Now
		p.WaitingFor = ""
		s.Plans[name] = p
	}
}

// hasRemaining reports whether the plan has yet to complete an instance of its pool.
func (s *State) hasRemaining(p MaintenancePlan) bool {
	for name, in := range s.Config.Instances {
		if in.Pool != p.Pool {
			continue
		}
		if _, done := slices.BinarySearch(p.Completed, name); !done {
			return true
		}
	}
	return false
}

// applyMove moves an idle instance to another pool and increases the revision.
func (s *State) applyMove(m *PoolMove, wall int64) Result {
	in, ok := s.Config.Instances[m.Instance]
	if !ok {
		return refuse(CodeNotFound, "no instance %q", m.Instance)
	}
	if in.Pool != m.From || m.From == m.To {
		return refuse(CodeStale, "instance %s is in pool %s", m.Instance, in.Pool)
	}
	if s.Status[m.Instance].Lost {
		return refuse(CodeInUse, "instance %s is lost", m.Instance)
	}
	if s.Config.Evacuated(in.DataCentre) {
		return refuse(CodeStale, "instance %s is in the evacuated data centre %s", m.Instance, in.DataCentre)
	}
	tx := s.beginChange()
	in.Pool = m.To
	if refused := tx.putInstance(in); refused != nil {
		return Result{Refusal: refused}
	}
	if refused := tx.checkReferences(); refused != nil {
		return Result{Refusal: refused}
	}
	tx.summary = nil
	tx.addSummary("move instance %s from pool %s to pool %s: %s", m.Instance, m.From, m.To, m.Reason)
	return tx.commit(AuditRecord{Operator: systemOperator, WallUnixMS: wall})
}

// systemOperator is the operator in audit records of changes by the system itself.
const systemOperator = "system"

// applyInForce records that a revision and all before it are in force everywhere.
func (s *State) applyInForce(c *MarkInForce) Result {
	if c.Revision > s.Config.Revision {
		return refuse(CodeInvalid, "revision %d is not accepted yet", c.Revision)
	}
	s.InForce = max(s.InForce, c.Revision)
	for i := len(s.Audit) - 1; i >= 0 && s.Audit[i].InForceAt == 0; i-- {
		if s.Audit[i].Revision <= c.Revision {
			s.Audit[i].InForceAt = s.Now
		}
	}
	return Result{Revision: s.Config.Revision}
}

// InForceAt returns the time at which a revision was known to be in force everywhere. It
// returns 0 when the revision is not yet in force or its audit record was removed.
func (s *State) InForceAt(rev Revision) Time {
	for i := len(s.Audit) - 1; i >= 0 && s.Audit[i].Revision >= rev; i-- {
		if s.Audit[i].Revision == rev {
			return s.Audit[i].InForceAt
		}
	}
	return 0
}
