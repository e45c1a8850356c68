package operator

import (
	"net/netip"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/operator/schema"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// addLearnerChange validates a new member and returns the change that adds it as a
// learner.
func addLearnerChange(m *samphireforkv1.Member) (*wire.MembershipChange, error) {
	if m.GetId() == 0 {
		return nil, invalidArgument("add_learner.id: expected an identifier above 0")
	}
	if err := checkName("add_learner.instance", m.GetInstance()); err != nil {
		return nil, err
	}
	if err := checkName("add_learner.data_centre", m.GetDataCentre()); err != nil {
		return nil, err
	}
	if _, err := netip.ParseAddrPort(m.GetAddress()); err != nil {
		return nil, invalidArgument("add_learner.address: expected an IP address and a port: %v", err)
	}
	info := schema.ToMember(m)
	info.Learner = true
	info.Match = 0
	return &wire.MembershipChange{Add: &info}, nil
}
