package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/eiderspring/eiderspring/load"
)

// summarize prints the processor time of the instance for each complete request
// of the report at path.
func summarize(name string, ticks int64, path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var r load.Report
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	complete := r.Outcomes[load.Complete]
	cpu := time.Duration(ticks) * time.Second / ticksPerSecond
	if complete == 0 || cpu == 0 {
		return fmt.Errorf("%s: no complete requests or no processor time", name)
	}
	fmt.Printf("%s: requests=%d complete=%d cpu_us_per_request=%d requests_per_core_second=%.0f p50_us=%d p95_us=%d\n",
		name, r.Requests, complete, cpu.Microseconds()/complete, float64(complete)/cpu.Seconds(), r.Total.P50, r.Total.P95)
	return nil
}
