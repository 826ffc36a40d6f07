package demo

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/eiderspring/eiderspring/standin"
)

// Fault is a fault that is injected during a run, Start after it begins.
type Fault struct {
	Name  string
	Start time.Duration
	// Length is the duration of the fault; 0 means until the end of the run.
	Length time.Duration
}

// ParseFault parses NAME@START[+LENGTH].
func ParseFault(text string) (Fault, error) {
	name, when, found := strings.Cut(text, "@")
	if _, known := injections[name]; !known {
		return Fault{}, fmt.Errorf("fault %q is not known; the known faults are %s", name, strings.Join(FaultNames(), ", "))
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

// FaultNames returns the sorted names of the faults that can be injected.
func FaultNames() []string { return slices.Sorted(maps.Keys(injections)) }

// injection starts a fault and returns a function that ends it.
type injection func(f *Fleet) (end func())

var injections = map[string]injection{
	"store-down":         injectStoreMode(standin.StoreDown),
	"store-slow":         injectStoreMode(standin.StoreSlow),
	"store-lost-answers": injectStoreMode(standin.StoreLostAnswers),
	"orders-lost":        injectOrdersMode(standin.OrdersLost),
	"orders-late":        injectOrdersMode(standin.OrdersLate),
	"instance-kill":      func(f *Fleet) func() { f.instances[0].kill(f); return func() {} },
	"instance-pause": func(f *Fleet) func() {
		victim := f.instances[len(f.instances)-1]
		victim.pauser.pause()
		return victim.pauser.resume
	},
	"endpoint-kill":  func(f *Fleet) func() { f.engines[0].kill(f); return func() {} },
	"endpoint-leave": drainEndpoints,
	"domain-down":    killFailureDomain,
}

func injectStoreMode(m standin.StoreMode) injection {
	return func(f *Fleet) func() {
		f.platform.Objects.SetMode(m)
		return func() { f.platform.Objects.SetMode(standin.StoreUp) }
	}
}

func injectOrdersMode(m standin.OrdersMode) injection {
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

// drainEndpoints makes the second engine and the first plain endpoint leave:
// the platform lists them as leaving, and the stand-ins count work that reaches
// them too late.
func drainEndpoints(f *Fleet) func() {
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

// killFailureDomain kills every endpoint and instance of one failure domain.
func killFailureDomain(f *Fleet) func() {
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
	h.killed.Store(true)
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

// injectFaults injects the faults at their start times, counted from now. When
// stop is closed, it ends those that are active and drops the others.
func injectFaults(f *Fleet, faults []Fault, stop <-chan struct{}) {
	for _, fault := range faults {
		go func() {
			if !sleepUnlessStopped(stop, fault.Start) {
				return
			}
			end := injections[fault.Name](f)
			if fault.Length > 0 && sleepUnlessStopped(stop, fault.Length) {
				end()
				return
			}
			<-stop
			end()
		}()
	}
}

func sleepUnlessStopped(stop <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-stop:
		return false
	case <-t.C:
		return true
	}
}
