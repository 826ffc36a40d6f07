// Command eiderspring-standin runs the stand-ins of the platform and of the
// endpoints as processes, to test instances by hand. It is for tests only.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/standin"
)

func main() {
	app := &cli.Command{
		Name:     "eiderspring-standin",
		Usage:    "stand-ins of the platform and the endpoints, for tests",
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), balancerCommand(), memberCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "eiderspring-standin:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "IP:PORT to listen on"}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Required: true, Usage: "the platform stand-in's `URL`"}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "object API, list of members and weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "list-lag", Value: 500 * time.Millisecond},
			&cli.FloatFlag{Name: "loads-per-second", Value: 2},
			&cli.IntFlag{Name: "loads-at-once", Value: 15},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			weights := standin.NewWeightStore(c.Float("loads-per-second"), c.Int("loads-at-once"))
			return serve(ctx, c.String("listen"), standin.NewPlatform(c.Duration("list-lag"), weights))
		},
	}
}

func endpointFlags() []cli.Flag {
	return []cli.Flag{
		listenFlag(), platformFlag(),
		&cli.StringFlag{Name: "name", Required: true}, &cli.StringFlag{Name: "pool", Required: true},
		&cli.StringFlag{Name: "failure-domain", Required: true}, &cli.StringFlag{Name: "incarnation", Value: "1"},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "a model engine",
		Flags: append(endpointFlags(),
			&cli.Int64Flag{Name: "memory-mb", Value: 81920}, &cli.IntFlag{Name: "concurrency", Value: 16},
			&cli.BoolFlag{Name: "checks-fencing"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			e := standin.NewEngine(standin.EngineConfig{
				Name: c.String("name"), MemoryMB: c.Int64("memory-mb"), Concurrency: c.Int("concurrency"),
				ChecksFencing: c.Bool("checks-fencing"), Weights: standin.RemoteWeights{URL: c.String("platform")},
				StepBase: 12 * time.Millisecond, StepPerSequence: 300 * time.Microsecond, PrefillPerToken: 100 * time.Microsecond,
				MaxWaiting: 32, LoadLag: 500 * time.Millisecond,
			}, c.String("incarnation"), nil)
			return serveMember(ctx, c, e)
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "a plain service",
		Flags: append(endpointFlags(), &cli.DurationFlag{Name: "latency", Value: 5 * time.Millisecond}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveMember(ctx, c, standin.NewService(c.Duration("latency")))
		},
	}
}

func balancerCommand() *cli.Command {
	return &cli.Command{
		Name: "balancer", Usage: "spread callers over the instances that are ready",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringSliceFlag{Name: "instance", Usage: "CALLERS,OPERATORS addresses of an instance"},
		},
		// The values of --instance contain a comma.
		DisableSliceFlagSeparator: true,
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := net.Listen("tcp", c.String("listen"))
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			b := standin.NewBalancer(l)
			for _, text := range c.StringSlice("instance") {
				callers, operators, found := strings.Cut(text, ",")
				if !found {
					return trace.BadParameter("--instance %q must be CALLERS,OPERATORS", text)
				}
				b.Add(callers, operators)
			}
			waitForSignal(ctx)
			b.Close()
			return nil
		},
	}
}

func memberCommand() *cli.Command {
	return &cli.Command{
		Name: "member", Usage: "put a member on the platform's list, or change its state",
		Flags: []cli.Flag{
			platformFlag(), &cli.StringFlag{Name: "name", Required: true}, &cli.StringFlag{Name: "pool", Value: "instances"},
			&cli.StringFlag{Name: "address", Required: true}, &cli.StringFlag{Name: "failure-domain", Required: true},
			&cli.StringFlag{Name: "incarnation", Value: "1"},
			&cli.IntFlag{Name: "peer-port", Usage: "an instance's port for datagrams"},
			&cli.IntFlag{Name: "stream-port", Usage: "an instance's port for streams"},
			&cli.StringFlag{Name: "state", Value: standin.MemberLive, Usage: "live or leaving"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return registerMember(c.String("platform"), newMember(c, c.String("address"), c.String("state")))
		},
	}
}

func newMember(c *cli.Command, address, state string) standin.Member {
	return standin.Member{
		Name: c.String("name"), Pool: c.String("pool"), Address: address, FailureDomain: c.String("failure-domain"),
		Incarnation: c.String("incarnation"), State: state, PeerPort: c.Int("peer-port"), StreamPort: c.Int("stream-port"),
	}
}

func registerMember(platform string, m standin.Member) error {
	body, err := json.Marshal(m)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := http.Post(platform+"/members", "application/json", bytes.NewReader(body))
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("the platform rejected the member: %s", resp.Status)
	}
	return nil
}

// serveMember registers an endpoint on the platform's list and serves it.
func serveMember(ctx context.Context, c *cli.Command, h http.Handler) error {
	if err := registerMember(c.String("platform"), newMember(c, c.String("listen"), standin.MemberLive)); err != nil {
		return err
	}
	return serve(ctx, c.String("listen"), h)
}

func serve(ctx context.Context, address string, h http.Handler) error {
	s := &http.Server{Addr: address, Handler: h}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.ListenAndServe() }()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	select {
	case err := <-serveErr:
		return trace.Wrap(err)
	case <-ctx.Done():
		return trace.Wrap(s.Close())
	}
}

func waitForSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
}
