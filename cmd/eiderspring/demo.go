package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/demo"
)

const (
	defaultInstances = 6
	maxInstances     = 64
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "play a whole deployment on loopback and judge every answer",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "tideline", Usage: "tideline or liege"},
			&cli.IntFlag{Name: "instances", Value: defaultInstances, Usage: "how many instances"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "how long requests arrive"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the requests"},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second in place of the deployment's"},
			&cli.StringFlag{Name: "routing", Usage: "routing policy in place of the default"},
			&cli.StringFlag{Name: "listen", Usage: "the callers' `ADDRESS`; any free port if not set"},
			&cli.BoolFlag{Name: "cold", Usage: "start with empty engines"},
			&cli.BoolFlag{Name: "hold", Usage: "keep serving after the run"},
			&cli.StringFlag{Name: "log", Usage: "write the instances' log lines to `FILE`"},
			&cli.BoolFlag{Name: "errors", Usage: "print what the callers saw go wrong, and attainment by service"},
			&cli.StringSliceFlag{Name: "fault", Usage: "NAME@START[+LENGTH], one of " + strings.Join(demo.FaultNames(), ", ")},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	o := demo.Options{
		Deployment: c.String("deployment"), Instances: c.Int("instances"), Duration: c.Duration("duration"),
		Seed: c.Uint64("seed"), Rate: c.Float("rate"), RoutingPolicy: c.String("routing"), Cold: c.Bool("cold"),
		Hold: c.Bool("hold"), Listen: c.String("listen"), Out: os.Stdout,
	}
	if o.Instances < 1 || o.Instances > maxInstances {
		return cli.Exit(fmt.Sprintf("--instances must be from 1 to %d", maxInstances), exitInvalid)
	}
	if _, known := demo.Deployments()[o.Deployment]; !known {
		return cli.Exit("--deployment must be tideline or liege", exitInvalid)
	}
	for _, text := range c.StringSlice("fault") {
		fault, err := demo.ParseFault(text)
		if err != nil {
			return cli.Exit(err.Error(), exitInvalid)
		}
		o.Faults = append(o.Faults, fault)
	}
	if path := c.String("log"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		defer file.Close()
		o.Log = file
	}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		o.Progress = os.Stderr
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	summary, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	if c.Bool("errors") {
		printErrors(summary)
	}
	if summary.ViolatesGuarantee() {
		return cli.Exit("a guarantee was violated: see cut, doubled, mixed and over_memory", exitFailed)
	}
	return nil
}

func printErrors(s demo.Summary) {
	if len(s.UnreachableModels) > 0 {
		fmt.Println("unreachable:", strings.Join(s.UnreachableModels, " "))
	}
	for _, name := range slices.Sorted(mapKeys(s.ByService)) {
		fmt.Printf("attainment of %s: %.4f\n", name, s.ByService[name])
	}
	for _, text := range slices.Sorted(mapKeys(s.Errors)) {
		fmt.Printf("%6d %s\n", s.Errors[text], text)
	}
}
