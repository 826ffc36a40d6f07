package main

import (
	"context"
	"encoding/json"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"os"
	"os/signal"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a set rate to a running system and measure what callers see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "url", Required: true, Usage: "the callers' `URL`"},
			&cli.StringFlag{Name: "token", Required: true, Usage: "the caller's bearer token", Sources: cli.EnvVars("EIDERSPRING_TOKEN")},
			&cli.StringFlag{Name: "name", Required: true, Usage: "the model or service to ask for"},
			&cli.BoolFlag{Name: "plain", Usage: "the name is a plain service"},
			&cli.BoolFlag{Name: "keyed", Usage: "give each request an idempotency key of its own"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "arrivals a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long requests arrive"},
			&cli.IntFlag{Name: "max-tokens", Value: 32, Usage: "the length of each answer"},
			&cli.IntFlag{Name: "prompt-bytes", Value: 256, Usage: "the length of each prompt"},
			&cli.BoolFlag{Name: "stream", Value: true, Usage: "ask for streams"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	if c.Float("rate") <= 0 || c.Duration("duration") <= 0 {
		return cli.Exit("--rate and --duration must be above 0", exitInvalid)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	client := load.NewClient(c.String("url"), c.String("token"))
	recorder := load.NewRecorder()
	prompt := string(make([]byte, 0, c.Int("prompt-bytes")))
	for len(prompt) < c.Int("prompt-bytes") {
		prompt += "measure "
	}
	random := rand.New(rand.NewPCG(c.Uint64("seed"), 0))
	runID := random.Uint64()
	arrivals := load.Arrivals{Rate: load.ConstantRate(c.Float("rate")), Duration: c.Duration("duration"), Random: random}
	start := time.Now()
	arrivals.Run(ctx, func(ctx context.Context, due time.Time) {
		request := load.Request{Name: c.String("name"), Plain: c.Bool("plain"), Stream: c.Bool("stream"), MaxTokens: c.Int("max-tokens"), Prompt: prompt}
		if c.Bool("keyed") {
			request.Key = fmt.Sprintf("load-%x-%d-%d", runID, start.UnixNano(), due.UnixNano())
		}
		recorder.Add(client.Do(ctx, due, request))
	})
	report := recorder.Report(time.Since(start))
	if c.String("output") == "json" {
		return trace.Wrap(json.NewEncoder(os.Stdout).Encode(report))
	}
	report.WriteText(os.Stdout)
	return nil
}

func mapKeys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }
