package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/store"
)

// trialClaimTimeout bounds the claim of a trial, for which a request waits.
const trialClaimTimeout = time.Second

// errNoHolds is returned for a claim at an instance that has not connected to its store yet.
var errNoHolds = errors.New("the store is not connected yet")

// Claim implements quarantine.Trials: of all instances that claim the same trial, the store lets one
// update the hold object.
func (d *holdsTask) Claim(ctx context.Context, r quarantine.Report) (quarantine.TrialClaim, error) {
	if d == nil {
		return quarantine.TrialClaim{}, errNoHolds
	}
	ctx, cancel := context.WithTimeout(ctx, trialClaimTimeout)
	defer cancel()
	old, err := d.client.Get(ctx, store.KindHold, r.Name())
	var known quarantine.Report
	switch {
	case err == nil:
		known = d.known(old)
	case !store.IsNotFound(err):
		return quarantine.TrialClaim{}, err
	}
	if len(known.TrialsMS) > len(r.TrialsMS) {
		return quarantine.TrialClaim{Known: known}, nil
	}
	claimed := quarantine.MergeReports(r, known)
	claimed.TrialsMS = append(claimed.TrialsMS, 0)
	err = d.replace(ctx, old, claimed)
	if store.IsConflict(err) {
		return quarantine.TrialClaim{Known: known}, nil
	}
	return quarantine.TrialClaim{Granted: err == nil, Known: known}, err
}

// claimTrial claims a trial at the platform's store.
func (n *Node) claimTrial(ctx context.Context, r quarantine.Report) (quarantine.TrialClaim, error) {
	return n.holds.Load().Claim(ctx, r)
}
