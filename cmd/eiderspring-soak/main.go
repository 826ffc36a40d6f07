// Command eiderspring-soak runs the randomized soak test, and the stand-ins that
// the test starts as processes. It is for tests only.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/platform/fake"
	"github.com/eiderspring/eiderspring/soak"
)

func main() {
	app := &cli.Command{
		Name: "eiderspring-soak", Usage: "run the program as processes under random faults",
		Commands: []*cli.Command{runCommand(), storeCommand(), workerCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "eiderspring-soak:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name: "run", Usage: "play schedules of faults and judge them; exit 1 if a promise was broken",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Required: true, Usage: "the `FILE` of eiderspring"},
			&cli.Uint64Flag{Name: "seed", Value: uint64(time.Now().UnixNano() % 1_000_000), Usage: "the first seed; drawn from the clock if not given"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds to play, one after the other"},
			&cli.DurationFlag{Name: "faults", Value: 15 * time.Second, Usage: "for how long faults go on"},
			&cli.IntFlag{Name: "nodes", Value: 4}, &cli.IntFlag{Name: "engines", Value: 3}, &cli.IntFlag{Name: "plain", Value: 3},
			&cli.IntFlag{Name: "callers", Value: 4, Usage: "callers of each instance"},
			&cli.StringFlag{Name: "logs", Value: os.TempDir(), Usage: "the `FOLDER` for logs, one folder a seed"},
		},
		Action: func(_ context.Context, c *cli.Command) error { return runSeeds(c) },
	}
}

func runSeeds(c *cli.Command) error {
	executable, err := os.Executable()
	if err != nil {
		return trace.Wrap(err)
	}
	program, err := filepath.Abs(c.String("program"))
	if err != nil {
		return trace.Wrap(err)
	}
	failed := 0
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		dir := filepath.Join(c.String("logs"), fmt.Sprintf("soak-%d", seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return trace.Wrap(err)
		}
		report, err := soak.Run(soak.Options{
			Programs: soak.Programs{Node: program, StandIns: executable}, Seed: seed, Callers: c.Int("callers"), Dir: dir,
			Size: soak.Size{Nodes: c.Int("nodes"), Engines: c.Int("engines"), Plain: c.Int("plain"), Faults: c.Duration("faults")},
		})
		if err != nil {
			return trace.Wrap(err, "seed %d", seed)
		}
		fmt.Println(report)
		for _, v := range report.Violations {
			fmt.Println("  broken:", v)
		}
		if len(report.Violations) > 0 {
			failed++
		}
	}
	if failed > 0 {
		return trace.Errorf("%d of %d seeds violated a guarantee", failed, c.Int("seeds"))
	}
	return nil
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "IP:PORT to listen on"}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name: "store", Usage: "the platform's object store", Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			store := fake.NewStoreHandler()
			mux := http.NewServeMux()
			mux.Handle("/", store)
			for path, mode := range map[string]fake.Mode{
				"up": fake.Up, string(soak.StoreRefusing): fake.Refusing, string(soak.StoreLosing): fake.DroppingResponses,
				string(soak.StoreSilent): fake.Silent,
			} {
				mux.HandleFunc("POST /control/mode/"+path, func(http.ResponseWriter, *http.Request) { store.SetMode(mode) })
			}
			mux.HandleFunc("POST /control/forget", func(http.ResponseWriter, *http.Request) { store.DropHistory() })
			store.SetEra(1)
			snapshots := fake.NewSnapshots(store, soak.SnapshotAge)
			mux.HandleFunc("POST /control/copied", func(http.ResponseWriter, *http.Request) { snapshots.RestoreOldest() })
			go func() {
				for range time.Tick(soak.EntryInterval / 3) {
					store.ExpireEntries(soak.EntryTTL)
					snapshots.Take()
				}
			}()
			return trace.Wrap(http.ListenAndServe(c.String("listen"), mux))
		},
	}
}

func workerCommand() *cli.Command {
	return &cli.Command{
		Name: "worker", Usage: "a model worker, or a plain one",
		Flags: []cli.Flag{
			listenFlag(), &cli.StringFlag{Name: "advertise", Required: true}, &cli.StringFlag{Name: "store", Required: true},
			&cli.StringFlag{Name: "id", Required: true}, &cli.StringFlag{Name: "service", Required: true},
			&cli.FloatFlag{Name: "capacity-mb"}, &cli.FloatFlag{Name: "model-mb"},
		},
		Action: runWorker,
	}
}

// runWorker serves until it receives SIGTERM or soak.RemoveEntrySignal. On SIGTERM it
// announces that it is draining; on soak.RemoveEntrySignal it removes its entry at once,
// without notice. Either way it serves the requests that still arrive for soak.DrainTime.
func runWorker(_ context.Context, c *cli.Command) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, soak.RemoveEntrySignal)
	w := fake.NewWorkerHandler(fake.RemoteRegistry{URL: c.String("store")}, c.String("id"), c.String("service"), "z1")
	w.Address, w.Version = c.String("advertise"), soak.VersionOf(c.String("id"))
	recorder := soak.NewRecorder(os.Stdout)
	w.Observe(c.Float("capacity-mb"), c.Float("model-mb"), func(e fake.WorkerEvent) { recorder.Record(w, e) })
	recorder.Record(w, fake.WorkerEvent{What: soak.EventStarted})
	w.SetHandler(crashOnRequest(fake.FaultyHandler(w, soak.LockedRandom(uint64(time.Now().UnixNano())))))
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return trace.Wrap(err)
	}
	go func() { _ = http.Serve(listener, w) }()
	go announceLimits(w, recorder)
	received := renewEntry(w, signals)
	drained := time.After(soak.DrainTime)
	leaveEvent := fake.WorkerEvent{What: soak.EventLeft}
	if received == soak.RemoveEntrySignal {
		w.RemoveEntry()
		recorder.Record(w, leaveEvent)
		<-drained
		return nil
	}
	w.WriteEntry("draining")
	recorder.Record(w, leaveEvent)
	renewWhileDraining(w, drained)
	w.RemoveEntry()
	return nil
}

// announceLimits makes the worker announce a limit for soak.LimitTime on each
// soak.LimitSignal.
func announceLimits(w *fake.Worker, recorder *soak.Recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, soak.LimitSignal)
	for range signals {
		recorder.Record(w, fake.WorkerEvent{What: soak.EventLimited})
		w.AnnounceLimit(strconv.Itoa(soak.LimitPerSecond))
		time.Sleep(soak.LimitTime)
		w.AnnounceLimit("")
		recorder.Record(w, fake.WorkerEvent{What: soak.EventUnlimited})
	}
}

// crashOnRequest exits the process on a request for which soak.CrashesEndpoint is
// true, and passes all others to serve.
func crashOnRequest(serve http.HandlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if soak.CrashesEndpoint(r) {
			os.Exit(exitCrashed)
		}
		serve(rw, r)
	}
}

// exitCrashed is the exit status of a worker that a request has crashed.
const exitCrashed = 3

// renewEntry renews the worker's entry until a signal arrives, and returns the
// signal.
func renewEntry(w *fake.Worker, signals <-chan os.Signal) os.Signal {
	ticker := time.NewTicker(soak.EntryInterval)
	defer ticker.Stop()
	for {
		w.WriteEntry("ready")
		select {
		case received := <-signals:
			return received
		case <-ticker.C:
		}
	}
}

// renewWhileDraining renews the entry of a draining worker until drained fires.
func renewWhileDraining(w *fake.Worker, drained <-chan time.Time) {
	ticker := time.NewTicker(soak.EntryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-drained:
			return
		case <-ticker.C:
			w.WriteEntry("draining")
		}
	}
}
