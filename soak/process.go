package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is a program that the testbed starts and restarts.
type process struct {
	name    string
	command []string
	env     []string
	logDir  string
	// onLine, if not nil, is called with each line of standard output, which also goes
	// to the log.
	onLine func([]byte)
	// maxDescriptors is how many sockets and files the process may have open; 0 leaves the system's
	// limit.
	maxDescriptors uint64

	mu  sync.Mutex
	cmd *exec.Cmd
	// stopRequested is set when the testbed sends SIGTERM or SIGKILL to the process, killed when it
	// sends SIGKILL.
	stopRequested, killed bool
	exited                chan struct{}
	// crashes counts exits without a stop request; failedStops holds how planned stops ended that did
	// not end with exit status 0.
	crashes     int
	failedStops []string
}

// start starts the program unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	logFile, err := os.OpenFile(filepath.Join(p.logDir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env, cmd.Stderr = p.env, logFile
	out, err := cmd.StdoutPipe()
	if err != nil {
		logFile.Close()
		return err
	}
	if err := cmd.Start(); err != nil {
		logFile.Close()
		return err
	}
	if err := p.limitDescriptors(cmd.Process.Pid); err != nil {
		slog.Error("descriptors not limited", "process", p.name, "error", err.Error())
	}
	p.cmd, p.stopRequested, p.killed, p.exited = cmd, false, false, make(chan struct{})
	go p.supervise(cmd, out, logFile, p.exited)
	return nil
}

// limitDescriptors lowers the limit of a process that has just been started.
func (p *process) limitDescriptors(pid int) error {
	if p.maxDescriptors == 0 {
		return nil
	}
	return unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: p.maxDescriptors, Max: p.maxDescriptors}, nil)
}

// supervise reads the output to its end and waits for the process to exit.
func (p *process) supervise(cmd *exec.Cmd, out io.Reader, logFile *os.File, exited chan struct{}) {
	defer logFile.Close()
	if p.onLine == nil {
		_, _ = io.Copy(logFile, out)
	} else {
		scanner := bufio.NewScanner(io.TeeReader(out, logFile))
		for scanner.Scan() {
			p.onLine(scanner.Bytes())
		}
	}
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	switch {
	case !p.stopRequested:
		p.crashes++
		_, _ = io.WriteString(logFile, "exited unexpectedly: "+errorText(err)+"\n")
	case err != nil && !p.killed:
		p.failedStops = append(p.failedStops, err.Error())
	}
	close(exited)
}

func errorText(err error) string {
	if err == nil {
		return "exit 0"
	}
	return err.Error()
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopRequested = true
	}
	p.killed = p.killed || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s)
}

// signalUntilExit sends the signals in turn, one each interval, until the process has exited.
func (p *process) signalUntilExit(interval time.Duration, signals ...syscall.Signal) {
	p.mu.Lock()
	running, exited := p.cmd != nil, p.exited
	p.mu.Unlock()
	for i := 0; running; i++ {
		select {
		case <-exited:
			return
		case <-time.After(interval):
			p.signal(signals[i%len(signals)])
		}
	}
}

// stop stops the process by a signal, and kills it if it has not exited after grace. It
// reports whether the process exited within grace.
func (p *process) stop(s syscall.Signal, grace time.Duration) bool {
	p.mu.Lock()
	running, exited := p.cmd != nil, p.exited
	p.mu.Unlock()
	if !running {
		return true
	}
	p.signal(s)
	select {
	case <-exited:
		return true
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// running reports whether the process is running.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// stopping reports whether a stop of the process has been requested since its last
// start.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopRequested
}

// crashCount returns the number of exits without a stop request.
func (p *process) crashCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// stopFailures returns how planned stops ended that did not end with exit status 0.
func (p *process) stopFailures() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedStops
}

// parseRecord parses a line of a worker's standard output.
func parseRecord(line []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(line, &r)
	return r, err
}
