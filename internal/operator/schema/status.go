package schema

import (
	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// FromStatus converts a detailed status reply to the schema.
func FromStatus(s wire.StatusReply) *samphireforkv1.StatusResponse {
	return &samphireforkv1.StatusResponse{
		Leader:      s.Leader,
		Term:        s.Term,
		Applied:     s.Applied,
		Revision:    uint64(s.Revision),
		NowMs:       int64(s.Now),
		Members:     FromMembers(s.Members),
		Entries:     fromSlice(s.Entries, fromEntry),
		Instances:   fromInstances(s),
		Plans:       fromPlans(s),
		Jobs:        fromCounts(s.Jobs),
		Usage:       fromCounts(s.Usage),
		Evacuations: fromEvacuations(s.Config),
	}
}

func fromEvacuations(c *fleet.Config) []*samphireforkv1.Evacuation {
	if c == nil {
		return nil
	}
	return fromMap(c.Evacuations, func(e fleet.Evacuation) *samphireforkv1.Evacuation {
		return &samphireforkv1.Evacuation{DataCentre: e.DataCentre, SinceMs: int64(e.Since)}
	})
}

// FromMembers converts members of the replicated log to the schema, in the same order.
func FromMembers(members []wire.MemberInfo) []*samphireforkv1.Member {
	return fromSlice(members, fromMember)
}

// ToMember converts a member of the replicated log from the schema without validating
// it.
func ToMember(m *samphireforkv1.Member) wire.MemberInfo {
	return wire.MemberInfo{
		ID:         m.GetId(),
		Instance:   m.GetInstance(),
		DataCentre: m.GetDataCentre(),
		Address:    m.GetAddress(),
		Learner:    m.GetLearner(),
		Match:      m.GetMatch(),
	}
}

// FromAudit converts audit records to the schema, in the same order.
func FromAudit(records []fleet.AuditRecord) []*samphireforkv1.AuditRecord {
	return fromSlice(records, func(r fleet.AuditRecord) *samphireforkv1.AuditRecord {
		return &samphireforkv1.AuditRecord{
			Revision:    uint64(r.Revision),
			From:        uint64(r.From),
			RequestId:   r.RequestID,
			Operator:    r.Operator,
			Summary:     r.Summary,
			AtMs:        int64(r.At),
			InForceAtMs: int64(r.InForceAt),
			WallUnixMs:  r.WallUnixMS,
		}
	})
}

func fromMember(m wire.MemberInfo) *samphireforkv1.Member {
	return &samphireforkv1.Member{
		Id:         m.ID,
		Instance:   m.Instance,
		DataCentre: m.DataCentre,
		Address:    m.Address,
		Learner:    m.Learner,
		Match:      m.Match,
	}
}

func fromEntry(e wire.EntryInfo) *samphireforkv1.EntryInfo {
	return &samphireforkv1.EntryInfo{Instance: e.Instance, DataCentre: e.DataCentre, PeerAddress: e.PeerAddress}
}

// fromInstances returns the states of all declared instances. An instance without an
// observed state is active and not yet seen.
func fromInstances(s wire.StatusReply) []*samphireforkv1.InstanceState {
	if s.Config == nil {
		return nil
	}
	return fromMap(s.Config.Instances, func(inst fleet.Instance) *samphireforkv1.InstanceState {
		st := s.Status[inst.Name]
		if st.Phase == "" {
			st.Phase = fleet.PhaseActive
		}
		return &samphireforkv1.InstanceState{
			Instance:           inst.Name,
			Pool:               inst.Pool,
			DataCentre:         inst.DataCentre,
			Role:               string(inst.Kind),
			Phase:              string(st.Phase),
			Plan:               st.Plan,
			Lost:               st.Lost,
			Seen:               st.Seen,
			QuarantinedUntilMs: int64(st.QuarantinedUntil),
			PhaseSinceMs:       int64(st.PhaseSince),
			Tasks:              taskCount(s, inst.Name),
		}
	})
}

// taskCount returns the number of jobs assigned to a worker, or -1 if the store does not
// report it.
func taskCount(s wire.StatusReply, worker string) int64 {
	if s.Tasks == nil {
		return -1
	}
	return int64(s.Tasks[worker])
}

func fromPlans(s wire.StatusReply) []*samphireforkv1.MaintenancePlan {
	sizes := poolSizes(s.Config)
	return fromMap(s.Plans, func(p fleet.MaintenancePlan) *samphireforkv1.MaintenancePlan {
		return &samphireforkv1.MaintenancePlan{
			Name:           p.Name,
			Pool:           p.Pool,
			State:          string(p.State),
			DrainTimeoutMs: p.DrainTimeoutMS,
			StartedAtMs:    int64(p.StartedAt),
			FinishedAtMs:   int64(p.FinishedAt),
			Completed:      p.Completed,
			WaitingFor:     p.WaitingFor,
			Instances:      sizes[p.Pool],
		}
	})
}

func poolSizes(c *fleet.Config) map[string]int64 {
	sizes := map[string]int64{}
	if c == nil {
		return sizes
	}
	for _, inst := range c.Instances {
		sizes[inst.Pool]++
	}
	return sizes
}

func fromCounts[K ~string](m map[K]int) map[string]int64 {
	out := make(map[string]int64, len(m))
	for k, n := range m {
		out[string(k)] = int64(n)
	}
	return out
}
