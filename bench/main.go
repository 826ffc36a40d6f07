// Command bench measures the time from when settings are accepted until they are
// in force, and the cost of control traffic to an instance. Its results are
// quoted in docs/CAPACITY.md and docs/MEASUREMENTS.md.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:  "bench",
		Usage: "measure settings and control",
		Commands: []*cli.Command{
			{
				Name: "settings", Usage: "time from accepted to in force on all instances",
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "instances", Value: []int{6, 9, 18, 36}},
					&cli.IntFlag{Name: "edits", Value: 100},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					return benchSettings(ctx, c.IntSlice("instances"), c.Int("edits"))
				},
			},
			{
				Name: "sample", Usage: "processor time, memory and control bytes of running serve processes",
				Flags: []cli.Flag{
					&cli.IntSliceFlag{Name: "pid", Usage: "process ids"},
					&cli.StringSliceFlag{Name: "operators", Usage: "operators' addresses, in the order of the ids"},
					&cli.DurationFlag{Name: "duration", Value: 20 * time.Second},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return sample(c.IntSlice("pid"), c.StringSlice("operators"), c.Duration("duration"))
				},
			},
			{
				Name: "summary", Usage: "processor time for each complete request of a `load -o json` report", ArgsUsage: "JSON",
				Flags: []cli.Flag{&cli.StringFlag{Name: "name"}, &cli.Int64Flag{Name: "ticks", Usage: "processor time used, in hundredths of a second"}},
				Action: func(_ context.Context, c *cli.Command) error {
					return summarize(c.String("name"), c.Int64("ticks"), c.Args().First())
				},
			},
			{
				Name: "fit", Usage: "fit slopes to the CSV rows of `sample` and plot them", ArgsUsage: "CSV PNG",
				Action: func(_ context.Context, c *cli.Command) error { return fit(c.Args().Get(0), c.Args().Get(1)) },
			},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
