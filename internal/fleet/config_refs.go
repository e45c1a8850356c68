package fleet

// delete removes an entity. It is refused here while jobs, grants or maintenance use the
// entity; references from other entities are checked at the end of the change.
func (tx *changeTx) delete(ref EntityRef) *Refusal {
	if refused := tx.checkUnused(ref); refused != nil {
		return refused
	}
	if !tx.cfg.remove(ref) {
		return refusal(CodeNotFound, "no %s %q", ref.Kind, ref.Name)
	}
	if ref.Kind == EntityInstance {
		tx.ownStatus()
		delete(tx.status, ref.Name)
	}
	if ref.Kind == EntityDataCentre && tx.cfg.Evacuated(ref.Name) {
		tx.endEvacuation(ref.Name)
	}
	tx.markChanged(ref.Kind, ref.Name)
	tx.deleted = append(tx.deleted, ref)
	tx.addSummary("delete %s %s", ref.Kind, ref.Name)
	return nil
}

func (tx *changeTx) checkUnused(ref EntityRef) *Refusal {
	x := &tx.s.index
	switch ref.Kind {
	case EntityInstance:
		if _, ok := tx.cfg.Instances[ref.Name]; !ok {
			return nil
		}
		if tx.status[ref.Name].Lost {
			// The phase is not checked: an instance that does not return from its reboot
			// would keep its plan from ever finishing.
			return tx.checkNoJobs(ref.Name)
		}
		return tx.checkIdle(ref.Name)
	case EntityQueue:
		if n := x.unfinished[ref.Name]; n > 0 {
			return refusal(CodeInUse, "queue %s holds %d jobs", ref.Name, n)
		}
	case EntityTeam:
		if n := x.unfinishedByTeam[ref.Name]; n > 0 {
			return refusal(CodeInUse, "team %s has %d jobs", ref.Name, n)
		}
		if n := x.granted[ref.Name]; n > 0 {
			return refusal(CodeInUse, "team %s has %d units granted for calls", ref.Name, n)
		}
	}
	return nil
}

// checkReferences verifies that every reference between entities, and from a maintenance
// plan to its pool, names an entity of the changed configuration.
func (tx *changeTx) checkReferences() *Refusal {
	for _, t := range tx.changed {
		if refused := tx.checkOutgoing(t); refused != nil {
			return refused
		}
	}
	if refused := tx.checkPlans(); refused != nil {
		return refused
	}
	removed := tx.stillDeleted()
	if len(removed) == 0 {
		return nil
	}
	return tx.checkIncoming(removed)
}

// checkOutgoing verifies the references that one changed entity makes.
func (tx *changeTx) checkOutgoing(t EntityRef) *Refusal {
	c := tx.cfg
	switch t.Kind {
	case EntityInstance:
		if v, ok := c.Instances[t.Name]; ok {
			if _, ok := c.DataCentres[v.DataCentre]; !ok {
				return refusal(CodeNotFound, "instance %s names the unknown data centre %q", v.Name, v.DataCentre)
			}
			return tx.requirePool("instance", v.Name, v.Pool)
		}
	case EntityQueue:
		if v, ok := c.Queues[t.Name]; ok {
			return tx.requirePool("queue", v.Name, v.Pool)
		}
	case EntityService:
		if v, ok := c.Services[t.Name]; ok {
			return tx.requirePool("service", v.Name, v.Pool)
		}
	case entityKey:
		if v := c.Keys[t.Name]; !v.Withdrawn {
			if _, ok := c.Teams[v.Team]; !ok {
				return refusal(CodeNotFound, "key %s names the unknown team %q", v.ID, v.Team)
			}
		}
	}
	return nil
}

func (tx *changeTx) requirePool(kind, name, pool string) *Refusal {
	if _, ok := tx.cfg.Pools[pool]; !ok {
		return refusal(CodeNotFound, "%s %s names the unknown pool %q", kind, name, pool)
	}
	return nil
}

func (tx *changeTx) checkPlans() *Refusal {
	for _, p := range tx.plans {
		if p.State.final() {
			continue
		}
		if _, ok := tx.cfg.Pools[p.Pool]; ok {
			continue
		}
		if _, old := tx.s.Plans[p.Name]; old {
			return refusal(CodeInUse, "pool %s is under a maintenance plan", p.Pool)
		}
		return refusal(CodeNotFound, "a plan names the unknown pool %q", p.Pool)
	}
	return nil
}

// stillDeleted returns the deleted entities that no later item of the change declared
// again.
func (tx *changeTx) stillDeleted() map[EntityRef]bool {
	removed := map[EntityRef]bool{}
	for _, ref := range tx.deleted {
		var d ConfigDelta
		d.add(tx.cfg, ref)
		if len(d.Deleted) > 0 {
			removed[ref] = true
		}
	}
	return removed
}

// checkIncoming returns a refusal when other entities still refer to a removed one.
func (tx *changeTx) checkIncoming(removed map[EntityRef]bool) *Refusal {
	users := map[EntityRef]int{}
	for _, v := range tx.cfg.Instances {
		users[EntityRef{EntityPool, v.Pool}]++
		users[EntityRef{EntityDataCentre, v.DataCentre}]++
	}
	for _, v := range tx.cfg.Queues {
		users[EntityRef{EntityPool, v.Pool}]++
	}
	for _, v := range tx.cfg.Services {
		users[EntityRef{EntityPool, v.Pool}]++
	}
	for _, v := range tx.cfg.Keys {
		if !v.Withdrawn {
			users[EntityRef{EntityTeam, v.Team}]++
		}
	}
	for _, ref := range tx.deleted {
		if removed[ref] && users[ref] > 0 {
			return refusal(CodeInUse, "%s %s is named by %d others", ref.Kind, ref.Name, users[ref])
		}
	}
	return nil
}
