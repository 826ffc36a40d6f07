package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/daemon"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one instance until SIGTERM, then drain",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "the instance's configuration `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := daemon.LoadConfig(c.String("config"))
			if err != nil {
				return err
			}
			instance, err := daemon.New(cfg, daemon.Deps{Log: daemon.NewLogger(os.Stderr, cfg.LogLevel)})
			if err != nil {
				return trace.Wrap(err)
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return instance.Run(ctx)
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check an instance's configuration without running it",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Required: true},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := daemon.LoadConfig(c.String("config"))
			return err
		},
	}
}
