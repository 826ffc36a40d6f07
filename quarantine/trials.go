package quarantine

import (
	"context"
	"time"

	"github.com/eiderspring/eiderspring/allowance"
)

// Trials grants the trials of held parts of prompts, of which there are few for all instances
// together.
type Trials interface {
	// Claim claims the trial that follows those in the report. It returns what is known of the
	// part, which may be of other instances and, with Granted unset, newer than the report.
	// After an error the trial is not granted, but may have been used up.
	Claim(ctx context.Context, r Report) (TrialClaim, error)
}

// TrialsFunc is a function that implements Trials.
type TrialsFunc func(ctx context.Context, r Report) (TrialClaim, error)

// Claim implements Trials.
func (f TrialsFunc) Claim(ctx context.Context, r Report) (TrialClaim, error) { return f(ctx, r) }

// TrialClaim is the answer to a claim.
type TrialClaim struct {
	Granted bool
	// Known is what other instances have kept; its zero value if that is nothing.
	Known Report
}

// trialRetryAfter is when a request may come again that was rejected while the trial of its part
// was decided, or could not be.
const trialRetryAfter = 2 * time.Second

// trialsDue returns the parts of a request's prompt that are held but may be tried.
func (m *Manager) trialsDue(r Request) []Fingerprint {
	now, account := m.now(), allowance.ShortHash(r.Account)
	var due []Fingerprint
	for _, part := range r.Parts {
		if m.tracker.SharedHold(now, part, account, r.Parts).TrialDue {
			due = append(due, part)
		}
	}
	return due
}

// takeUnspent returns the parts of a request's prompt of which this instance has an unspent trial, which
// the request makes.
func (m *Manager) takeUnspent(r Request) []Fingerprint {
	var taken []Fingerprint
	for _, part := range r.Parts {
		if m.unspent[part] {
			delete(m.unspent, part)
			taken = append(taken, part)
		}
	}
	return taken
}

// claimTrials claims a trial of each part. It returns why the request is held back, nil if all were
// granted. It releases the lock while it waits.
func (m *Manager) claimTrials(ctx context.Context, parts []Fingerprint) *HeldError {
	for _, part := range parts {
		if !m.claimTrial(ctx, part) {
			now := m.now()
			left := m.tracker.HoldRemaining(now, part)
			if left == 0 {
				left = trialRetryAfter
			}
			return &HeldError{Fingerprint: part, Part: true, Terminations: m.tracker.TerminationCount(now, part), Remaining: left}
		}
	}
	return nil
}

// claimTrial claims a trial of a part and reports whether it was granted.
func (m *Manager) claimTrial(ctx context.Context, part Fingerprint) bool {
	if m.claiming[part] || m.trials == nil {
		return false
	}
	report := m.tracker.Report(m.now(), part)
	m.claiming[part] = true
	m.mu.Unlock()
	claim, err := m.trials.Claim(ctx, report)
	m.mu.Lock()
	delete(m.claiming, part)
	now := m.now()
	if err != nil {
		m.log.Info("trial of a prompt part not claimed", "part", part.Short(), "error", err.Error())
		return false
	}
	if len(claim.Known.Fingerprint) > 0 {
		m.tracker.ReceiveReport(now, claim.Known, forwardedReportSends)
	}
	if claim.Granted {
		m.tracker.RecordTrial(now, part, len(report.TrialsMS), ownReportSends)
		m.granted++
	}
	m.log.Info("trial of a prompt part", "part", part.Short(), "granted", claim.Granted, "earlier", len(report.TrialsMS), "endings", len(report.Incarnations))
	return claim.Granted
}
