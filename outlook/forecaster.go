package outlook

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/returnslot"
)

const (
	// rateWindow is the time over which starts are counted, in bucketTime steps.
	rateWindow = time.Second
	bucketTime = 100 * time.Millisecond
	buckets    = int(rateWindow / bucketTime)
	// minObserved is how long starts must have been reported, and minStarts how many of them
	// are needed, to tell a rate.
	minObserved = 400 * time.Millisecond
	minStarts   = 3
	// forgetTime is how long after the last waiting request or report a unit or instance is
	// forgotten.
	forgetTime = 2 * time.Second
	// MaxEntries bounds the entries of a forecast.
	MaxEntries = 40
	// newReplicaTurnover is the time in which a new replica is assumed to fill its places once.
	newReplicaTurnover = time.Second
)

// Forecaster makes the forecasts of the instance that places units. The zero value is ready for
// use.
type Forecaster struct {
	units     map[string]*unit
	instances map[string]*instance
}

// instance is what one instance has reported last.
type instance struct {
	process string
	seenAt  time.Time
	starts  map[string]Starts
}

// unit is the state of one unit over all instances.
type unit struct {
	// counts holds the starts of the last rateWindow, by bucket; bucket is the newest one's
	// number.
	counts    [buckets]int64
	bucket    int64
	firstAt   time.Time
	contended time.Time
	book      returnslot.Book
}

// ReceiveStarts records the report of one process of an instance. It replaces the one before.
func (f *Forecaster) ReceiveStarts(now time.Time, name, process string, reports []Starts) {
	f.init()
	i := f.instances[name]
	if i == nil || i.process != process {
		i = &instance{process: process, starts: map[string]Starts{}}
		f.instances[name] = i
	}
	i.seenAt = now
	// A unit that is left out of one report keeps its count, so that the next one says how
	// many were started in between; its waiting requests have gone.
	for name, s := range i.starts {
		s.Waiting = nil
		i.starts[name] = s
	}
	for _, r := range reports {
		u := f.unit(r.Unit)
		if u.firstAt.IsZero() {
			u.firstAt = now
		}
		if last, known := i.starts[r.Unit]; known && r.Started > last.Started {
			u.count(now, r.Started-last.Started)
		}
		i.starts[r.Unit] = r
	}
}

// ReceivePromises records returns that an instance has promised.
func (f *Forecaster) ReceivePromises(now time.Time, promises []Promise) {
	f.init()
	for _, p := range promises {
		f.unit(p.Unit).book.Record(now, now.Add(milliseconds(p.InMS)))
	}
}

// Load is when a unit that no endpoint serves can be served.
type Load struct {
	// Ready is the earliest possible time, Expected the likely one, at which callers are called
	// back.
	Ready, Expected time.Time
	// Places is how many requests its first replica runs at once.
	Places int
}

// Forecast returns the entries for all units for which a new request may be unable to start at
// once: those in loads, which no endpoint serves, and those for which requests wait. Those that
// wait longest come first; there are at most MaxEntries.
func (f *Forecaster) Forecast(now time.Time, loads map[string]Load) []Entry {
	f.init()
	f.forget(now)
	var entries []Entry
	waiting := f.waiting()
	for name, l := range loads {
		entries = append(entries, f.unit(name).loading(now, name, l, waiting[name]))
	}
	for name, waiting := range waiting {
		if _, loading := loads[name]; !loading {
			entries = append(entries, f.unit(name).queued(now, name, waiting))
		}
	}
	for name, u := range f.units {
		// Instances report starts while an entry is there, so a unit keeps one for a while.
		if !slices.ContainsFunc(entries, func(e Entry) bool { return e.Unit == name }) && !u.contended.IsZero() {
			entries = append(entries, Entry{Unit: name})
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.longest(), a.longest()), cmp.Compare(a.Unit, b.Unit))
	})
	return entries[:min(len(entries), MaxEntries)]
}

// loading returns the entry of a unit that no endpoint serves. Those that wait for the replica
// take its places first.
func (u *unit) loading(now time.Time, name string, l Load, waiting map[int]int) Entry {
	u.contended = now
	perSecond := float64(max(l.Places, 1)) / newReplicaTurnover.Seconds()
	e := Entry{Unit: name, NoReplica: true, LoadMS: max(l.Ready.Sub(now), 0).Milliseconds()}
	ahead := 0
	for _, n := range waiting {
		ahead += n
	}
	u.book.SetRate(perSecond)
	u.addReturns(now, &e, max(l.Expected.Sub(now), e.longest())+time.Duration(float64(ahead)/perSecond*float64(time.Second)))
	return e
}

// queued returns the entry of a unit whose replicas are full.
func (u *unit) queued(now time.Time, name string, waiting map[int]int) Entry {
	u.contended = now
	e := Entry{Unit: name}
	rate, known := u.rate(now)
	if !known {
		return e
	}
	u.book.SetRate(rate)
	ahead := 0
	for _, priority := range slices.Backward(slices.Sorted(maps.Keys(waiting))) {
		ahead += waiting[priority]
		_, least := u.book.Wait(now, float64(ahead))
		e.Levels = append(e.Levels, Level{Priority: priority, StartMS: least.Milliseconds()})
	}
	expected, _ := u.book.Wait(now, float64(ahead))
	u.addReturns(now, &e, expected)
	return e
}

// addReturns adds the first time with room for a return after those that wait now have started,
// which takes the given time.
func (u *unit) addReturns(now time.Time, e *Entry, waiting time.Duration) {
	at, _ := u.book.Next(now, now.Add(waiting))
	interval, open := u.book.Interval()
	if !open {
		return
	}
	e.ReturnMS = max(at.Sub(now).Milliseconds(), 1)
	e.ReturnGapMS = max(interval.Milliseconds(), 1)
}

// longest returns the longest forecast of an entry.
func (e *Entry) longest() time.Duration {
	in := milliseconds(e.LoadMS)
	if n := len(e.Levels); n > 0 {
		in = max(in, milliseconds(e.Levels[n-1].StartMS))
	}
	return in
}

// waiting sums up the waiting requests of all instances, by unit and priority.
func (f *Forecaster) waiting() map[string]map[int]int {
	sums := map[string]map[int]int{}
	for _, i := range f.instances {
		for name, s := range i.starts {
			for priority, n := range s.Waiting {
				if sums[name] == nil {
					sums[name] = map[int]int{}
				}
				sums[name][priority] += n
			}
		}
	}
	return sums
}

func (f *Forecaster) init() {
	if f.units == nil {
		f.units, f.instances = map[string]*unit{}, map[string]*instance{}
	}
}

func (f *Forecaster) unit(name string) *unit {
	u := f.units[name]
	if u == nil {
		u = &unit{}
		f.units[name] = u
	}
	return u
}

// forget drops instances that no longer report and units that are no longer contended.
func (f *Forecaster) forget(now time.Time) {
	maps.DeleteFunc(f.instances, func(_ string, i *instance) bool { return now.Sub(i.seenAt) >= forgetTime })
	maps.DeleteFunc(f.units, func(name string, u *unit) bool {
		gone := now.Sub(u.contended) >= forgetTime && now.Sub(u.firstAt) >= forgetTime && u.book.Promised(now) == 0
		if gone {
			for _, i := range f.instances {
				delete(i.starts, name)
			}
		}
		return gone
	})
}

// count adds starts to the newest bucket.
func (u *unit) count(now time.Time, n int64) {
	u.advance(now)
	u.counts[u.bucket%int64(buckets)] += n
}

// advance clears the buckets that have left the window.
func (u *unit) advance(now time.Time) {
	bucket := now.UnixNano() / int64(bucketTime)
	for b := max(u.bucket+1, bucket-int64(buckets)+1); b <= bucket; b++ {
		u.counts[b%int64(buckets)] = 0
	}
	u.bucket = max(u.bucket, bucket)
}

// rate returns how many requests start in a second; false if too little is known to tell.
func (u *unit) rate(now time.Time) (perSecond float64, known bool) {
	u.advance(now)
	observed := min(now.Sub(u.firstAt), rateWindow)
	var n int64
	for _, c := range u.counts {
		n += c
	}
	if observed < minObserved || n < minStarts {
		return 0, false
	}
	return float64(n) / observed.Seconds(), true
}
