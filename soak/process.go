package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a program that the soak started, and starts again.
type process struct {
	name    string
	command []string
	env     []string
	logs    string
	// lines gets each line of standard output, which the log has too; nil for none.
	lines func([]byte)

	mu  sync.Mutex
	cmd *exec.Cmd
	// asked is set once the soak has told the process to end.
	asked bool
	ended chan struct{}
	// crashes counts ends that nobody asked for.
	crashes int
}

// start runs the program, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.logs, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env, cmd.Stderr = p.env, log
	out, err := cmd.StdoutPipe()
	if err != nil {
		log.Close()
		return err
	}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	p.cmd, p.asked, p.ended = cmd, false, make(chan struct{})
	go p.follow(cmd, out, log, p.ended)
	return nil
}

// follow reads the output to its end and waits for the process.
func (p *process) follow(cmd *exec.Cmd, out io.Reader, log *os.File, ended chan struct{}) {
	defer log.Close()
	if p.lines == nil {
		_, _ = io.Copy(log, out)
	} else {
		scanner := bufio.NewScanner(io.TeeReader(out, log))
		for scanner.Scan() {
			p.lines(scanner.Bytes())
		}
	}
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = nil
	if !p.asked {
		p.crashes++
		_, _ = io.WriteString(log, "ended by itself: "+errorText(err)+"\n")
	}
	close(ended)
}

func errorText(err error) string {
	if err == nil {
		return "exit 0"
	}
	return err.Error()
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.asked = true
	}
	_ = p.cmd.Process.Signal(s)
}

// end ends the process: by SIGKILL at once, or behind SIGTERM when grace is over.
// It tells whether the process ended within the grace.
func (p *process) end(s syscall.Signal, grace time.Duration) bool {
	p.mu.Lock()
	running, ended := p.cmd != nil, p.ended
	p.mu.Unlock()
	if !running {
		return true
	}
	p.signal(s)
	select {
	case <-ended:
		return true
	case <-time.After(grace):
		p.signal(syscall.SIGKILL)
		<-ended
		return false
	}
}

// running tells whether the process is there.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// ending tells whether the process has been told to end and has not started again.
func (p *process) ending() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// crashed is how often the process ended by itself.
func (p *process) crashed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// recordLine reads a line of a worker.
func recordLine(line []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(line, &r)
	return r, err
}
