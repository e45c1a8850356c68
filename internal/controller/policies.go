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

// UnknownPolicyError names an entry of Options.Policies that selects nothing.
type UnknownPolicyError struct {
	Key, Policy string
}

// Error implements error.
func (e *UnknownPolicyError) Error() string {
	return fmt.Sprintf("controller: no policy %q for %q", e.Policy, e.Key)
}

// policyNames holds the names of the policyNames of each key, the default first.
var policyNames = map[string][]string{
	PolicyShare:       {string(share.PolicyDRF), string(share.PolicyEqual)},
	PolicyPlacement:   {string(placement.PolicyBestFit), string(placement.PolicyFirstFit)},
	PolicyMaintenance: {string(maintenance.PolicyWaves), string(maintenance.PolicyOneAtATime)},
	PolicyPoolMove:    {string(poolmove.PolicyLasting), string(poolmove.PolicyNone)},
	PolicyRetry:       {string(retry.PolicyBlame), string(retry.PolicyImmediate)},
}

// CheckPolicies returns an *UnknownPolicyError for an unknown key or policy. An
// empty policy means the default.
func CheckPolicies(chosen map[string]string) error {
	for _, key := range sortedKeys(chosen) {
		name := chosen[key]
		if names, ok := policyNames[key]; !ok || (name != "" && !slices.Contains(names, name)) {
			return &UnknownPolicyError{Key: key, Policy: name}
		}
	}
	return nil
}
