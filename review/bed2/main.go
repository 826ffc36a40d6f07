// Command bed2 plays the cases of the second review: instances as processes, with stand-ins of the
// platform's store, of workers and of clients that follow the users' pages. It exits with 1 if the
// rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
)

// unusable ends the program: the case could not run.
func unusable(why string) {
	fmt.Fprintln(os.Stderr, "the case could not run:", why)
	cleanUp()
	os.Exit(2)
}

var cleanup struct {
	sync.Mutex
	steps []func()
}

// atEnd adds a step that is carried out before the program ends.
func atEnd(f func()) {
	cleanup.Lock()
	defer cleanup.Unlock()
	cleanup.steps = append(cleanup.steps, f)
}

func cleanUp() {
	cleanup.Lock()
	defer cleanup.Unlock()
	for _, f := range cleanup.steps {
		f()
	}
	cleanup.steps = nil
}

// bed is what a case runs on.
type bed struct {
	rec     *recorder
	store   *store
	nodes   []*node
	workers []*worker
	trouble bool
	// program is eiderspring, dir a temporary folder.
	program, dir string
}

// addNodes prepares instances; they are started by the case.
func (b *bed) addNodes(count int) {
	for i := range count {
		n := newNode(b.rec, b.store, b.program, b.dir, i)
		b.nodes = append(b.nodes, n)
		atEnd(n.kill)
	}
}

// cases are the cases by the name of their folder. Each returns the breaches of its rule.
var cases = map[string]func(*bed) []string{"4": inPlaceRelease, "5": allKilled, "6": versionCrash, "7": crashingPart}

func init() {
	// Children get SIGKILL when the thread that started them ends: it is the main one.
	runtime.LockOSThread()
}

func main() {
	const usage = "usage: bed2 CASE PROGRAM FOLDER"
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		unusable(usage)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		unusable(err.Error())
	}
	atEnd(func() {
		if os.Getenv("KEEP") == "" {
			os.RemoveAll(dir)
		}
	})
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		unusable(err.Error())
	}
	b := &bed{rec: newRecorder(os.Args[3]), store: newStore(), trouble: os.Getenv("TROUBLE") != "0", program: program, dir: dir}
	breaches := cases[os.Args[1]](b)
	for _, text := range breaches {
		b.rec.printf("broken: %s", text)
		fmt.Println("broken:", text)
	}
	b.rec.printf("end, %d breaches", len(breaches))
	cleanUp()
	if len(breaches) > 0 {
		os.Exit(1)
	}
}
