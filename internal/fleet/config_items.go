package fleet

import (
	"encoding/hex"
	"strings"
)

// defaultDrainTimeoutMS is the drain timeout of maintenance plans that declare none.
const defaultDrainTimeoutMS = 10 * 60 * 1000

// item applies one item to the transaction.
func (tx *changeTx) item(it *ChangeItem) *Refusal {
	if it.countFields() != 1 {
		return refusal(CodeInvalid, "an item has exactly one field")
	}
	switch {
	case it.PutDataCentre != nil:
		return tx.putDataCentre(*it.PutDataCentre)
	case it.PutInstance != nil:
		return tx.putInstance(*it.PutInstance)
	case it.PutPool != nil:
		return tx.putPool(*it.PutPool)
	case it.PutTeam != nil:
		return tx.putTeam(*it.PutTeam)
	case it.PutQueue != nil:
		return tx.putQueue(*it.PutQueue)
	case it.PutService != nil:
		return tx.putService(*it.PutService)
	case it.IssueKey != nil:
		return tx.issueKey(*it.IssueKey)
	case it.WithdrawKey != "":
		return tx.withdrawKey(it.WithdrawKey)
	case it.Delete != nil:
		return tx.delete(*it.Delete)
	case it.Drain != nil:
		return tx.drain(*it.Drain)
	case it.StartPlan != nil:
		return tx.startPlan(*it.StartPlan)
	case it.SetPlanState != nil:
		return tx.setPlanState(*it.SetPlanState)
	case it.Evacuate != nil:
		return tx.evacuate(*it.Evacuate)
	default:
		return tx.declareLost(it.DeclareLost)
	}
}

func (it *ChangeItem) countFields() int {
	set := []bool{
		it.PutDataCentre != nil, it.PutInstance != nil, it.PutPool != nil, it.PutTeam != nil,
		it.PutQueue != nil, it.PutService != nil, it.IssueKey != nil, it.WithdrawKey != "", it.Delete != nil,
		it.Drain != nil, it.StartPlan != nil, it.SetPlanState != nil, it.DeclareLost != "",
		it.Evacuate != nil,
	}
	n := 0
	for _, b := range set {
		if b {
			n++
		}
	}
	return n
}

func checkName(kind EntityKind, name string) *Refusal {
	if !validName(name) {
		return refusal(CodeInvalid, "the name of a %s has 1 to %d bytes", kind, maxNameBytes)
	}
	return nil
}

func (tx *changeTx) putDataCentre(v DataCentre) *Refusal {
	if refused := checkName(EntityDataCentre, v.Name); refused != nil {
		return refused
	}
	tx.cfg.DataCentres[v.Name] = v
	tx.markChanged(EntityDataCentre, v.Name)
	tx.addSummary("put data centre %s", v.Name)
	return nil
}

func (tx *changeTx) putInstance(v Instance) *Refusal {
	if refused := checkName(EntityInstance, v.Name); refused != nil {
		return refused
	}
	if v.Kind != KindWorker && v.Kind != KindBackend {
		return refusal(CodeInvalid, "instance %s has the unknown kind %q", v.Name, v.Kind)
	}
	old, known := tx.cfg.Instances[v.Name]
	if known && (old.Pool != v.Pool || old.Kind != v.Kind || old.DataCentre != v.DataCentre) {
		if refused := tx.checkIdle(v.Name); refused != nil {
			return refused
		}
	}
	tx.cfg.Instances[v.Name] = v
	if _, ok := tx.status[v.Name]; !ok {
		tx.setStatus(v.Name, InstanceStatus{Phase: PhaseActive, PhaseSince: tx.s.Now})
	}
	tx.markChanged(EntityInstance, v.Name)
	tx.addSummary("put instance %s in pool %s", v.Name, v.Pool)
	return nil
}

// checkIdle returns a refusal when an instance runs jobs or is under maintenance.
func (tx *changeTx) checkIdle(name string) *Refusal {
	if refused := tx.checkNoJobs(name); refused != nil {
		return refused
	}
	if phase := tx.status[name].Phase; phase != PhaseActive {
		return refusal(CodeInUse, "instance %s is %s", name, phase)
	}
	return nil
}

func (tx *changeTx) checkNoJobs(name string) *Refusal {
	if n := len(tx.s.AssignedTo(name)); n > 0 {
		return refusal(CodeInUse, "instance %s runs %d jobs", name, n)
	}
	return nil
}

func (tx *changeTx) putPool(v Pool) *Refusal {
	if refused := checkName(EntityPool, v.Name); refused != nil {
		return refused
	}
	if v.MaxUnavailable < 0 || v.MaxUnavailablePerRack < 0 || v.MaxUnavailablePerDataCentre < 0 {
		return refusal(CodeInvalid, "pool %s has a negative budget", v.Name)
	}
	tx.cfg.Pools[v.Name] = v
	tx.markChanged(EntityPool, v.Name)
	tx.addSummary("put pool %s with max_unavailable %d", v.Name, v.MaxUnavailable)
	return nil
}

func (tx *changeTx) putTeam(v Team) *Refusal {
	if refused := checkName(EntityTeam, v.Name); refused != nil {
		return refused
	}
	if v.Share < 1 || v.Limit < 0 || v.Share > maxAmount || v.Limit > maxAmount {
		return refusal(CodeInvalid, "team %s needs a share of at least 1 and a limit of at least 0", v.Name)
	}
	tx.cfg.Teams[v.Name] = v
	tx.markChanged(EntityTeam, v.Name)
	tx.addSummary("put team %s with share %d and limit %d", v.Name, v.Share, v.Limit)
	return nil
}

func (tx *changeTx) putQueue(v Queue) *Refusal {
	if refused := checkName(EntityQueue, v.Name); refused != nil {
		return refused
	}
	if v.Class != ClassNormal && v.Class != ClassUrgent && v.Class != ClassWatch {
		return refusal(CodeInvalid, "queue %s has the unknown class %q", v.Name, v.Class)
	}
	if v.OnPartition == "" {
		v.OnPartition = PartitionStop
	}
	if v.OnPartition != PartitionStop && v.OnPartition != PartitionKeep {
		return refusal(CodeInvalid, "queue %s has the unknown on_partition %q", v.Name, v.OnPartition)
	}
	if v.MaxQueuedPerTeam < 1 {
		return refusal(CodeInvalid, "queue %s needs max_queued_per_team of at least 1", v.Name)
	}
	tx.cfg.Queues[v.Name] = v
	tx.markChanged(EntityQueue, v.Name)
	tx.addSummary("put queue %s on pool %s", v.Name, v.Pool)
	return nil
}

func (tx *changeTx) putService(v Service) *Refusal {
	if refused := checkName(EntityService, v.Name); refused != nil {
		return refused
	}
	if v.TimeoutMS < 1 || v.TimeoutMS > MaxCallTime.Milliseconds() {
		return refusal(CodeInvalid, "service %s needs timeout_ms between 1 and %d", v.Name, MaxCallTime.Milliseconds())
	}
	tx.cfg.Services[v.Name] = v
	tx.markChanged(EntityService, v.Name)
	tx.addSummary("put service %s on pool %s", v.Name, v.Pool)
	return nil
}

// issueKey adds a key. An identifier is never issued twice, so that a repeated declaration
// can't make a withdrawn key valid again.
func (tx *changeTx) issueKey(k Key) *Refusal {
	if !validName(k.ID) || strings.Contains(k.ID, ".") {
		return refusal(CodeInvalid, "a key identifier has 1 to %d bytes and no dot", maxNameBytes)
	}
	if sum, err := hex.DecodeString(k.SecretSHA256); err != nil || len(sum) != 32 {
		return refusal(CodeInvalid, "key %s needs the hexadecimal SHA-256 of its secret", k.ID)
	}
	if k.Withdrawn {
		return refusal(CodeInvalid, "key %s can't be issued as withdrawn", k.ID)
	}
	if _, ok := tx.cfg.Keys[k.ID]; ok {
		return refusal(CodeInUse, "key identifier %s was issued before", k.ID)
	}
	if _, ok := tx.cfg.Teams[k.Team]; !ok {
		return refusal(CodeNotFound, "key %s names the unknown team %q", k.ID, k.Team)
	}
	tx.cfg.Keys[k.ID] = k
	tx.markChanged(entityKey, k.ID)
	tx.addSummary("issue key %s of team %s", k.ID, k.Team)
	return nil
}

func (tx *changeTx) withdrawKey(id string) *Refusal {
	k, ok := tx.cfg.Keys[id]
	if !ok {
		return refusal(CodeNotFound, "no key %q", id)
	}
	k.Withdrawn = true
	tx.cfg.Keys[id] = k
	tx.markChanged(entityKey, id)
	tx.addSummary("withdraw key %s of team %s", id, k.Team)
	return nil
}

func (tx *changeTx) drain(d DrainRequest) *Refusal {
	st, ok := tx.status[d.Instance]
	if !ok {
		return refusal(CodeNotFound, "no instance %q", d.Instance)
	}
	if d.Undo {
		return tx.undrain(d.Instance, st)
	}
	if st.Phase != PhaseActive {
		return refusal(CodeInUse, "instance %s is %s", d.Instance, st.Phase)
	}
	if refused := checkBudget(tx.cfg, tx.status, d.Instance); refused != nil {
		return refused
	}
	st.Phase = PhaseDraining
	st.Plan = ""
	st.PhaseSince = tx.s.Now
	tx.setStatus(d.Instance, st)
	tx.addSummary("drain instance %s", d.Instance)
	return nil
}

func (tx *changeTx) undrain(name string, st InstanceStatus) *Refusal {
	if st.Phase != PhaseDraining || st.Plan != "" {
		return refusal(CodeInUse, "instance %s is not drained by an operator", name)
	}
	st.Phase = PhaseActive
	st.PhaseSince = tx.s.Now
	tx.setStatus(name, st)
	tx.addSummary("end the drain of instance %s", name)
	return nil
}

func (tx *changeTx) startPlan(p MaintenancePlan) *Refusal {
	if !validName(p.Name) || p.DrainTimeoutMS < 0 {
		return refusal(CodeInvalid, "a plan needs a name and a drain_timeout_ms of at least 0")
	}
	if _, ok := tx.plans[p.Name]; ok {
		return refusal(CodeInUse, "plan %s was started before", p.Name)
	}
	for _, other := range tx.plans {
		if other.Pool == p.Pool && !other.State.final() {
			return refusal(CodeInUse, "pool %s is under another plan", p.Pool)
		}
	}
	if p.DrainTimeoutMS == 0 {
		p.DrainTimeoutMS = defaultDrainTimeoutMS
	}
	tx.plans[p.Name] = MaintenancePlan{
		Name: p.Name, Pool: p.Pool, State: PlanRunning, DrainTimeoutMS: p.DrainTimeoutMS, StartedAt: tx.s.Now,
	}
	tx.addSummary("start plan %s on pool %s", p.Name, p.Pool)
	return nil
}

func (tx *changeTx) setPlanState(c PlanStateChange) *Refusal {
	p, ok := tx.plans[c.Plan]
	if !ok {
		return refusal(CodeNotFound, "no plan %q", c.Plan)
	}
	if c.State != PlanRunning && c.State != PlanPaused && c.State != PlanAborted {
		return refusal(CodeInvalid, "a plan can't be set to %q", c.State)
	}
	if p.State.final() {
		return refusal(CodeStale, "plan %s is %s", p.Name, p.State)
	}
	p.State = c.State
	if c.State == PlanAborted {
		p.FinishedAt = tx.s.Now
		p.WaitingFor = ""
	}
	tx.plans[p.Name] = p
	tx.addSummary("set plan %s to %s", p.Name, p.State)
	return nil
}

// lostRetryMS is slightly longer than the silence after which the leader considers a
// worker lost.
const lostRetryMS = 10_000

// declareLost frees the units of an instance that, as the operator knows, runs nothing
// any more. It is refused while a worker with assigned jobs is in contact: the jobs would
// continue beside their next attempts and exceed the limit of their team.
func (tx *changeTx) declareLost(name string) *Refusal {
	st, ok := tx.status[name]
	if !ok {
		return refusal(CodeNotFound, "no instance %q", name)
	}
	if n := len(tx.s.AssignedTo(name)); n > 0 && st.Seen && !st.Lost {
		refused := refusal(CodeInUse, "instance %s still announces itself and may run %d jobs", name, n)
		refused.RetryAfterMS = lostRetryMS
		return refused
	}
	st.Lost = true
	tx.setStatus(name, st)
	tx.lost = append(tx.lost, name)
	tx.addSummary("declare instance %s lost", name)
	return nil
}

func (s PlanState) final() bool { return s == PlanAborted || s == PlanDone }
