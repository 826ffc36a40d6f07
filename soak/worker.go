package soak

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// Times of the stand-ins, shorter than those of the platform to keep runs short.
const (
	// EntryInterval is the interval at which a worker renews its entry. An entry expires
	// EntryTTL after its last renewal.
	EntryInterval = 300 * time.Millisecond
	EntryTTL      = 1200 * time.Millisecond
	// SnapshotAge is the age of the snapshot from which the store is restored.
	SnapshotAge = 3 * time.Second
	// DrainTime is how long a worker that leaves still serves. It is well beyond the
	// time within which instances must stop using the worker, so that late requests are
	// recorded.
	DrainTime = 4500 * time.Millisecond
)

// RemoveEntrySignal makes a worker leave without announcing it: it removes its entry at
// once.
const RemoveEntrySignal = syscall.SIGUSR1

// LimitSignal makes a worker announce a limit of LimitPerSecond requests per second for
// LimitTime.
const LimitSignal = syscall.SIGUSR2

// Limit that a worker announces on LimitSignal.
const (
	LimitPerSecond = 2
	LimitTime      = 8 * time.Second
)

// EventStarted is recorded when a worker's process starts. A process that starts under the id of an
// earlier one knows nothing of its limit.
const EventStarted = "started"

// EventLimited and EventUnlimited are recorded when a worker starts and stops
// announcing a limit.
const (
	EventLimited   = "limited"
	EventUnlimited = "unlimited"
)

// versions are the software versions of the workers; the program must not mix them in a stream.
var versions = [...]string{fake.DefaultVersion, "v2"}

// VersionOf returns the software version of a worker with the given id: each start may be another
// version.
func VersionOf(id string) string {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return versions[h.Sum32()%uint32(len(versions))]
}

// EventLeft is recorded once the store has acknowledged that a worker leaves, or
// that its entry is removed.
const EventLeft = "left"

// Recorder writes the events at a worker as lines of JSON, each a Record.
type Recorder struct {
	mu  sync.Mutex
	out io.Writer
}

// NewRecorder returns a recorder that writes to out.
func NewRecorder(out io.Writer) *Recorder { return &Recorder{out: out} }

// Record writes one line without buffering, as the process may be killed at any moment.
func (r *Recorder) Record(w *fake.Worker, e fake.WorkerEvent) {
	line, err := json.Marshal(Record{At: time.Now(), Worker: w.ID, Service: w.Service, WorkerEvent: e})
	if err != nil {
		slog.Error("event not recorded", "error", err.Error())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
}

// LockedRandom returns a seeded source of numbers in [0, 1) that is safe for concurrent
// use.
func LockedRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}
