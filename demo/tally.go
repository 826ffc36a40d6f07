package demo

import (
	"fmt"
	"iter"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/eiderspring/eiderspring/load"
	"github.com/eiderspring/eiderspring/settings"
)

// tally counts the results of the callers' requests.
type tally struct {
	mu         sync.Mutex
	requests   int
	outcomes   map[load.Outcome]int
	truncated  int
	corrupted  int
	metTargets int
	// byName counts requests and those that met their targets, by the name of
	// the service, model or adapter.
	byName map[string]*attainment
	errors map[string]int
}

type attainment struct{ requests, metTargets int }

func newTally() *tally {
	return &tally{outcomes: map[load.Outcome]int{}, byName: map[string]*attainment{}, errors: map[string]int{}}
}

func (t *tally) add(r load.Request, result load.Result, v verdict, metTargets bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests++
	t.outcomes[result.Outcome]++
	a := t.byName[r.Name]
	if a == nil {
		a = &attainment{}
		t.byName[r.Name] = a
	}
	a.requests++
	if metTargets {
		t.metTargets++
		a.metTargets++
	}
	switch v {
	case verdictTruncated:
		t.truncated++
	case verdictCorrupted:
		t.corrupted++
	}
	if result.Err != nil {
		t.errors[shortenError(result.Err.Error())]++
	}
}

const maxErrorBytes = 110

func shortenError(s string) string {
	if i := strings.Index(s, `"message":"`); i >= 0 {
		s = s[i:]
	}
	return s[:min(len(s), maxErrorBytes)]
}

// Summary is the result of a run, as counted by the stand-ins and the callers.
type Summary struct {
	Requests, Complete, NotRun, Unknown, Refused int
	Truncated, Duplicated, Corrupted             int
	OverMemory                                   int64
	UnreachableModels                            []string
	// MaxUnreachable is the largest number of units that no engine held ready at
	// one time. UnreachableSeconds is the time from when such a unit was first seen
	// to when one was last seen.
	MaxUnreachable                  int
	UnreachableSeconds              float64
	LeavingLate                     int64
	Attainment                      float64
	Devices                         int
	Moves                           int64
	StoreWritesPerS, StoreReadsPerS float64
	AddedP50Us, AddedP95Us          int64
	// ByService is the attainment of each named service.
	ByService map[string]float64
	// Errors counts the errors that callers saw, by text.
	Errors map[string]int
}

// ViolatesGuarantee reports whether a response was truncated or corrupted, a
// request ran more than once, or an engine exceeded its memory.
func (s Summary) ViolatesGuarantee() bool {
	return s.Truncated != 0 || s.Duplicated != 0 || s.Corrupted != 0 || s.OverMemory != 0
}

// String returns the summary as one line of key=value pairs.
func (s Summary) String() string {
	return fmt.Sprintf("requests=%d complete=%d not_run=%d unknown=%d refused=%d cut=%d doubled=%d mixed=%d over_memory=%d "+
		"unreachable_models=%d leaving_late=%d attainment=%.4f devices=%d attainment_per_device=%.5f moves=%d "+
		"store_writes_per_s=%.1f store_reads_per_s=%.1f added_p50_us=%d added_p95_us=%d unreachable_most=%d unreachable_s=%.1f",
		s.Requests, s.Complete, s.NotRun, s.Unknown, s.Refused, s.Truncated, s.Duplicated, s.Corrupted, s.OverMemory,
		len(s.UnreachableModels), s.LeavingLate, s.Attainment, s.Devices, s.Attainment/float64(max(1, s.Devices)), s.Moves,
		s.StoreWritesPerS, s.StoreReadsPerS, s.AddedP50Us, s.AddedP95Us, s.MaxUnreachable, s.UnreachableSeconds)
}

func (t *tally) summary(services map[string]*settings.Service) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Summary{
		Requests: t.requests, Complete: t.outcomes[load.Complete], NotRun: t.outcomes[load.NotRun],
		Unknown: t.outcomes[load.Unknown], Refused: t.outcomes[load.Refused], Truncated: t.truncated, Corrupted: t.corrupted,
		Attainment: float64(t.metTargets) / float64(max(1, t.requests)), ByService: map[string]float64{}, Errors: maps.Clone(t.errors),
	}
	for name := range services {
		if a := t.byName[name]; a != nil {
			s.ByService[name] = float64(a.metTargets) / float64(a.requests)
		}
	}
	return s
}

func mapKeys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }

func sortedPoolNames(t *settings.Tree) []string { return slices.Sorted(maps.Keys(t.Pools)) }
