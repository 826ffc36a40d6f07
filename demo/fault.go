package demo

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/eiderspring/eiderspring/standin"
)

// Fault is something that fails during a run.
type Fault struct {
	Name  string
	Start time.Duration
	// Length is how long it lasts; 0 means to the end of the run.
	Length time.Duration
}

// ParseFault reads NAME@START[+LENGTH].
func ParseFault(text string) (Fault, error) {
	name, when, found := strings.Cut(text, "@")
	if _, known := injections[name]; !known {
		return Fault{}, fmt.Errorf("fault %q is not known; there are %s", name, strings.Join(FaultNames(), ", "))
	}
	if !found {
		return Fault{}, fmt.Errorf("fault %q needs a start, as in %s@5s", text, name)
	}
	start, length, hasLength := strings.Cut(when, "+")
	f := Fault{Name: name}
	var err error
	if f.Start, err = time.ParseDuration(start); err != nil {
		return f, fmt.Errorf("fault %q: %w", text, err)
	}
	if hasLength {
		if f.Length, err = time.ParseDuration(length); err != nil {
			return f, fmt.Errorf("fault %q: %w", text, err)
		}
	}
	return f, nil
}

// FaultNames returns the faults that can be played.
func FaultNames() []string { return slices.Sorted(maps.Keys(injections)) }

// injection begins a fault and returns how to end it.
type injection func(f *Fleet) (end func())

var injections = map[string]injection{
	"store-down":         storeMode(standin.StoreDown),
	"store-slow":         storeMode(standin.StoreSlow),
	"store-lost-answers": storeMode(standin.StoreLostAnswers),
	"orders-lost":        ordersMode(standin.OrdersLost),
	"orders-late":        ordersMode(standin.OrdersLate),
	"instance-kill":      func(f *Fleet) func() { f.instances[0].kill(f); return func() {} },
	"instance-pause": func(f *Fleet) func() {
		victim := f.instances[len(f.instances)-1]
		victim.freezer.freeze()
		return victim.freezer.thaw
	},
	"endpoint-kill":  func(f *Fleet) func() { f.engines[0].kill(f); return func() {} },
	"endpoint-leave": endpointLeave,
	"domain-down":    domainDown,
}

func storeMode(m standin.StoreMode) injection {
	return func(f *Fleet) func() {
		f.platform.Objects.SetMode(m)
		return func() { f.platform.Objects.SetMode(standin.StoreUp) }
	}
}

func ordersMode(m standin.OrdersMode) injection {
	return func(f *Fleet) func() {
		for _, e := range f.engines {
			e.engine.SetOrdersMode(m)
		}
		return func() {
			for _, e := range f.engines {
				e.engine.SetOrdersMode(standin.OrdersPrompt)
			}
		}
	}
}

// endpointLeave makes the second engine and the first plain endpoint leave:
// the platform lists them as leaving, and the judge counts late work.
func endpointLeave(f *Fleet) func() {
	now := time.Now()
	e := f.engines[1]
	e.member.State = standin.MemberLeaving
	f.platform.Members.Set(e.member)
	e.leaving.Store(true)
	e.engine.Leave(now)
	s := f.services[0]
	s.member.State = standin.MemberLeaving
	f.platform.Members.Set(s.member)
	s.service.Leave(now)
	return func() {}
}

// domainDown kills every endpoint and instance of one failure domain.
func domainDown(f *Fleet) func() {
	domain := f.catalog.Tree.FailureDomains[0]
	for _, e := range f.engines {
		if e.member.FailureDomain == domain {
			e.kill(f)
		}
	}
	for _, s := range f.services {
		if s.member.FailureDomain == domain {
			s.host.kill(f)
		}
	}
	for _, i := range f.instances {
		if i.member.FailureDomain == domain {
			i.kill(f)
		}
	}
	return func() {}
}

func (h *host) kill(f *Fleet) {
	h.gone.Store(true)
	h.server.Close()
	f.platform.Members.Remove(h.member.Name)
}

func (h *engineHost) kill(f *Fleet) {
	h.engine.Close()
	h.host.kill(f)
}

func (h *instanceHost) kill(f *Fleet) {
	h.instance.Kill()
	f.platform.Members.Remove(h.member.Name)
}

// runFaults plays the faults from now on and ends with stop.
func runFaults(f *Fleet, faults []Fault, stop <-chan struct{}) {
	for _, fault := range faults {
		go func() {
			if !waitOr(stop, fault.Start) {
				return
			}
			end := injections[fault.Name](f)
			if fault.Length > 0 && waitOr(stop, fault.Length) {
				end()
				return
			}
			<-stop
			end()
		}()
	}
}

func waitOr(stop <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-stop:
		return false
	case <-t.C:
		return true
	}
}
