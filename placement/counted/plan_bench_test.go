package counted

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlan measures one plan for cells of 12, 140, 720 and 3,000 endpoints.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ endpoints, models, adapters int }{{12, 26, 3}, {140, 305, 2}, {720, 950, 2}, {3000, 196, 6}} {
		b.Run(fmt.Sprintf("%d endpoints", size.endpoints), func(b *testing.B) {
			c, now := benchController(size.endpoints, size.models, size.adapters)
			b.ReportAllocs()
			for b.Loop() {
				c.plan(now)
			}
		})
	}
}

// BenchmarkBusyPlan measures a plan after a steep rise of demand for models and
// adapters, with a few models resident at many endpoints.
func BenchmarkBusyPlan(b *testing.B) {
	for _, endpoints := range []int{12, 140, 720, 3000} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			c, now := benchController(endpoints, 196, 12)
			for i, e := range c.sortedEndpoints {
				resident := []string{"m000", fmt.Sprintf("m%03d", 1+i%7), fmt.Sprintf("m%03d", 8+i%(196-8))}
				c.Step(now, ReportReply{Endpoint: e.Name, RequestedAt: now, Report: &Report{Resident: resident, OnDisk: resident}})
			}
			rate := map[string]float64{}
			for i := range 196 {
				rate[fmt.Sprintf("m%03d", i)] = 100_000 / float64(1+i)
				for a := range 12 {
					rate[fmt.Sprintf("m%03d/a%d", i, a)] = 50_000 / float64((1+i)*(1+a))
				}
			}
			for range 3 {
				now = now.Add(2 * time.Second)
				c.nextPlanAt = now.Add(time.Hour)
				c.Step(now, demandNow(now, rate, nil))
			}
			moves := 0
			for b.Loop() {
				moves = len(c.plan(now))
			}
			b.ReportMetric(float64(moves), "moves")
		})
	}
}

// BenchmarkReports measures applying reports of the endpoints in turn while no plan is
// due.
func BenchmarkReports(b *testing.B) {
	for _, endpoints := range []int{12, 140, 720, 3000} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			c, now := benchController(endpoints, 196, 6)
			names := sortedNames(c.endpoints)
			c.nextPlanAt = now.Add(time.Hour)
			for i := 0; b.Loop(); i++ {
				name := names[i%len(names)]
				c.Step(now, ReportReply{Endpoint: name, RequestedAt: now, Report: &Report{Resident: []string{"m000"}}})
			}
		})
	}
}

// BenchmarkDemand measures applying a demand report while requests wait for units that
// are resident.
func BenchmarkDemand(b *testing.B) {
	for _, endpoints := range []int{12, 140, 720, 3000} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			c, now := benchController(endpoints, 196, 6)
			c.nextPlanAt = now.Add(time.Hour)
			waiting := map[string]int{}
			for i := range 100 {
				waiting[fmt.Sprintf("m%03d", i%min(endpoints*3, 196))] = 1
			}
			for b.Loop() {
				c.Step(now, demandNow(now, nil, waiting))
			}
		})
	}
}

func benchController(endpoints, models, adapters int) (*Controller, time.Time) {
	now := time.Unix(1000, 0)
	c := NewController(Config{RateWindow: 5 * time.Second, RateFactor: 1.1})
	cfg := CellSettings{CapacityMB: 220, AdapterSlots: 8, LoadsPerSecond: 20}
	for i := range models {
		name := fmt.Sprintf("m%03d", i)
		cfg.Units = append(cfg.Units, Unit{Name: name, MemoryMB: 70, StoreLoadTime: 9 * time.Second, DiskLoadTime: 2 * time.Second})
		for a := range adapters {
			cfg.Units = append(cfg.Units, Unit{Name: fmt.Sprintf("%s/a%d", name, a), Base: name, MemoryMB: 1})
		}
	}
	c.Step(now, cfg)
	var l MemberList
	for i := range endpoints {
		l.Members = append(l.Members, Member{Name: fmt.Sprintf("e%03d", i), FailureDomain: fmt.Sprint(i % 3)})
	}
	c.Step(now, l)
	c.Step(now, LeaseAcquired{Epoch: 1})
	d := DemandReport{Rate: map[string]float64{}, Waiting: map[string]int{}}
	for i, name := range sortedNames(c.endpoints) {
		var resident []string
		for k := range 3 {
			resident = append(resident, fmt.Sprintf("m%03d", (i*3+k)%models))
		}
		c.Step(now, ReportReply{Endpoint: name, RequestedAt: now, Report: &Report{Resident: resident, OnDisk: resident}})
	}
	for i := range models / 3 {
		d.Rate[fmt.Sprintf("m%03d", i)] = float64(1000 * (i%50 + 1))
	}
	c.Step(now, demandNow(now, d.Rate, nil))
	later := now.Add(4 * time.Second)
	c.Step(later, demandNow(later, d.Rate, nil))
	return c, now.Add(5 * time.Second)
}

// BenchmarkForecast measures a forecast while all models are requested and a fifth of them are on
// no endpoint.
func BenchmarkForecast(b *testing.B) {
	for _, endpoints := range []int{140, 720, 3000} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			c, now := benchController(endpoints, 196, 6)
			c.cfg.ForecastLoads = true
			requested := map[string]int{}
			for i := range 196 {
				requested[fmt.Sprintf("m%03d", i)] = 1
			}
			c.demand.observe(now, demandNow(now, nil, requested))
			for _, e := range c.sortedEndpoints {
				for i := 0; i < 196; i += 5 {
					delete(e.resident, fmt.Sprintf("m%03d", i))
				}
			}
			loads := 0
			for b.Loop() {
				c.nextForecastAt = now
				loads = len(c.forecastLoads(now)[0].(ForecastLoads).Loads)
			}
			b.ReportMetric(float64(loads), "loads")
		})
	}
}
