package soak

import (
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// Times of the stand-ins, shorter than the platform's so that a run is short.
const (
	// EntryEvery is the time between a worker's writes of its entry, EntryLapse how
	// old an entry gets.
	EntryInterval = 300 * time.Millisecond
	EntryTTL = 1200 * time.Millisecond
	// CopyAge is how old the copy is from which the store comes back.
	CopyAge = 3 * time.Second
	// DrainTime is how long a worker that leaves still serves: well beyond the time
	// in which instances must stop to use it, so that what comes late is seen.
	DrainTime = 4500 * time.Millisecond
)

// Gone tells a worker to leave without saying so: its entry goes at once.
const RemoveEntrySignal = syscall.SIGUSR1

// NameLimit tells a worker to name a limit of LimitPerSecond requests for LimitTime.
const LimitSignal = syscall.SIGUSR2

const (
	LimitPerSecond = 2
	LimitTime      = 8 * time.Second
)

// HappenedLimited and HappenedUnlimited are recorded when a worker begins and ceases to
// name a limit.
const (
	HappenedLimited   = "limited"
	HappenedUnlimited = "unlimited"
)

// HappenedLeft is recorded once the store has acknowledged that a worker leaves, or
// that its entry is gone.
const HappenedLeft = "left"

// Recorder writes what happens at a worker as lines of JSON.
type Recorder struct {
	mu  sync.Mutex
	out io.Writer
}

// NewRecorder returns a recorder that writes to out.
func NewRecorder(out io.Writer) *Recorder { return &Recorder{out: out} }

// Record writes one line, at once: the process may be killed at any moment.
func (r *Recorder) Record(w *fake.Worker, h fake.WorkerEvent) {
	line, err := json.Marshal(Record{At: time.Now(), Worker: w.ID, Service: w.Service, WorkerEvent: h})
	if err != nil {
		slog.Error("not recorded", "error", err.Error())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
}

// LockedRandom is a seeded source for many goroutines.
func LockedRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}
