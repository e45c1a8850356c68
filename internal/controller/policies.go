package controller

import (
	"fmt"
	"slices"

	"github.com/samphirefork/samphirefork/internal/maintenance"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/poolmove"
	"github.com/samphirefork/samphirefork/internal/retry"
	"github.com/samphirefork/samphirefork/internal/share"
)

// UnknownPolicyError reports an entry of Options.Policies whose key or policy is
// unknown.
type UnknownPolicyError struct {
	Key, Policy string
}

// Error returns a message with the policy and its key.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("controller: no policy %q for %q", e.Policy, e.Key)
}

// policyNames maps each key to the names of its policies, the default first.
var policyNames = map[string][]string{
	PolicyShare:       {string(share.PolicyDRF), string(share.PolicyEqual)},
	PolicyPlacement:   {string(placement.PolicyBestFit), string(placement.PolicyFirstFit)},
	PolicyMaintenance: {string(maintenance.PolicyWaves), string(maintenance.PolicyOneAtATime)},
	PolicyPoolMove:    {string(poolmove.PolicyLasting), string(poolmove.PolicyNone)},
	PolicyRetry:       {string(retry.PolicyBlame), string(retry.PolicyImmediate)},
}

// CheckPolicies validates a value of Options.Policies. It returns an
// *UnknownPolicyError for the first unknown key or policy, in the order of the keys.
// An empty policy is valid and means the default.
func CheckPolicies(chosen map[string]string) error {
	for _, key := range sortedKeys(chosen) {
		name := chosen[key]
		if names, ok := policyNames[key]; !ok || (name != "" && !slices.Contains(names, name)) {
			return &UnknownPolicyError{Key: key, Policy: name}
		}
	}
	return nil
}
