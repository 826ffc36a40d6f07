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

// usage is what one process has used.
type usage struct {
	cpuTicks int64
	rssKB    int64
	bytes    map[string]float64
	calls    float64
}

// ticksPerSecond is the kernel's unit of processor time in /proc.
const ticksPerSecond = 100

// controlVars are the counters of control bytes of an instance.
var controlVars = []string{
	"platform_bytes_in", "platform_bytes_out", "engine_control_bytes_in", "engine_control_bytes_out", "peer_bytes_in", "peer_bytes_out",
}

// sample prints a CSV row with the mean and the largest of each process over
// the duration.
func sample(pids []int, operators []string, d time.Duration) error {
	if len(pids) == 0 || len(pids) != len(operators) {
		return fmt.Errorf("as many --operators as --pid are needed, and at least one")
	}
	before, err := readAll(pids, operators)
	if err != nil {
		return err
	}
	time.Sleep(d)
	after, err := readAll(pids, operators)
	if err != nil {
		return err
	}
	var cpu, rss, bytes, calls series
	parts := map[string]float64{}
	for i := range pids {
		cpu.add(100 * float64(after[i].cpuTicks-before[i].cpuTicks) / ticksPerSecond / d.Seconds())
		rss.add(float64(after[i].rssKB) / 1024)
		total := 0.0
		for _, name := range controlVars {
			perSecond := (after[i].bytes[name] - before[i].bytes[name]) / d.Seconds()
			total += perSecond
			parts[name] += perSecond / float64(len(pids))
		}
		bytes.add(total)
		calls.add((after[i].calls - before[i].calls) / d.Seconds())
	}
	fmt.Printf("%d,%.3f,%.3f,%.1f,%.1f,%.0f,%.0f,%.2f", len(pids), cpu.mean(), cpu.max, rss.mean(), rss.max, bytes.mean(), bytes.max, calls.mean()*float64(len(pids)))
	for _, name := range controlVars {
		fmt.Printf(",%.0f", parts[name])
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

func readAll(pids []int, operators []string) ([]usage, error) {
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
	// The fields behind the name in parentheses; user and system time are the
	// 12th and 13th of them.
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
	u.bytes = map[string]float64{}
	for _, name := range controlVars {
		if v, ok := vars[name].(float64); ok {
			u.bytes[name] = v
		}
	}
	if calls, ok := vars["store_calls"].(map[string]any); ok {
		for _, v := range calls {
			u.calls += v.(float64)
		}
	}
	return nil
}
