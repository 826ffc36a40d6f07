// Command standin runs the scripted cases of the review. It starts instances of eiderspring as
// processes and serves the platform's store, the workers and the clients itself, on loopback.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which reports whether the rule was broken.
var cases = map[string]func(*bed) (broken bool, err error){
	"stops":    runStops,
	"repeated": runRepeated,
	"slow":     runSlow,
	// Further findings, which are not cases.
	"target":  runTarget,
	"rollout": runRollout,
}

// maxTime is when a case is given up.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	b, err := newBed(filepath.Join("target", "eiderspring"), record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "case not run:", err)
		return exitNotRun
	}
	defer b.close()
	watchdog := time.AfterFunc(maxTime, func() {
		b.note("case not run: it takes too long")
		b.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	broken, err := cases[name](b)
	switch {
	case err != nil:
		b.note("case not run: %v", err)
		return exitNotRun
	case broken:
		b.note("the rule was broken")
		return exitBroken
	default:
		b.note("the rule held")
		return exitHeld
	}
}
