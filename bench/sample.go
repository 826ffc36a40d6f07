package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// usage is the resource usage of one process so far.
type usage struct {
	cpuTicks     int64
	rssKB        int64
	controlBytes map[string]float64
	storeCalls   float64
}

// ticksPerSecond is the kernel's unit of processor time in /proc.
const ticksPerSecond = 100

// controlCounters are the expvar counters of an instance's control traffic, in
// bytes.
var controlCounters = []string{
	"platform_bytes_in", "platform_bytes_out", "engine_control_bytes_in", "engine_control_bytes_out", "peer_bytes_in", "peer_bytes_out",
}

// sample samples the processes over the duration and prints a CSV row with the
// means and maxima over the processes.
func sample(pids []int, operators []string, d time.Duration) error {
	if len(pids) == 0 || len(pids) != len(operators) {
		return fmt.Errorf("the same number of --pid and --operators is needed, and at least one of each")
	}
	before, err := readAllUsage(pids, operators)
	if err != nil {
		return err
	}
	time.Sleep(d)
	after, err := readAllUsage(pids, operators)
	if err != nil {
		return err
	}
	var cpu, rssMB, bytes, calls series
	meanByCounter := map[string]float64{}
	for i := range pids {
		cpu.add(100 * float64(after[i].cpuTicks-before[i].cpuTicks) / ticksPerSecond / d.Seconds())
		rssMB.add(float64(after[i].rssKB) / 1024)
		total := 0.0
		for _, name := range controlCounters {
			perSecond := (after[i].controlBytes[name] - before[i].controlBytes[name]) / d.Seconds()
			total += perSecond
			meanByCounter[name] += perSecond / float64(len(pids))
		}
		bytes.add(total)
		calls.add((after[i].storeCalls - before[i].storeCalls) / d.Seconds())
	}
	fmt.Printf("%d,%.3f,%.3f,%.1f,%.1f,%.0f,%.0f,%.2f", len(pids), cpu.mean(), cpu.max, rssMB.mean(), rssMB.max, bytes.mean(), bytes.max, calls.mean()*float64(len(pids)))
	for _, name := range controlCounters {
		fmt.Printf(",%.0f", meanByCounter[name])
	}
	fmt.Println()
	return nil
}

type series struct {
	sum, max float64
	n        int
}

func (s *series) add(v float64) {
	s.sum += v
	s.max = max(s.max, v)
	s.n++
}

func (s *series) mean() float64 { return s.sum / float64(s.n) }

func readAllUsage(pids []int, operators []string) ([]usage, error) {
	all := make([]usage, len(pids))
	for i := range pids {
		u, err := readUsage(pids[i], operators[i])
		if err != nil {
			return nil, err
		}
		all[i] = u
	}
	return all, nil
}

func readUsage(pid int, operators string) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The fields after the process name in parentheses; user and system time are
	// the 12th and 13th of them.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	u.cpuTicks = user + system
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	if _, rest, found := strings.Cut(string(status), "VmRSS:"); found {
		u.rssKB, _ = strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	}
	return u, u.readVars(operators)
}

func (u *usage) readVars(operators string) error {
	resp, err := http.Get("http://" + operators + "/debug/vars")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	var vars map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return err
	}
	u.controlBytes = map[string]float64{}
	for _, name := range controlCounters {
		if v, ok := vars[name].(float64); ok {
			u.controlBytes[name] = v
		}
	}
	if calls, ok := vars["store_calls"].(map[string]any); ok {
		for _, v := range calls {
			u.storeCalls += v.(float64)
		}
	}
	return nil
}
