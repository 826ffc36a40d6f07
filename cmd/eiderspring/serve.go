package main

import (
	"context"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/daemon"
	"github.com/eiderspring/eiderspring/signals"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one instance until SIGTERM, then drain",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "the instance's configuration `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			owned := signals.Own(ctx)
			cfg, err := daemon.LoadConfig(c.String("config"))
			if err != nil {
				return err
			}
			lines := daemon.NewLogWriter(os.Stderr)
			defer lines.Close()
			log := daemon.NewLogger(lines, cfg.LogLevel)
			daemon.LogLibraries(log)
			instance, err := daemon.New(cfg, daemon.Deps{Log: log})
			if err != nil {
				return trace.Wrap(err)
			}
			owned.OnHangup(func() { log.Info("hangup ignored: the configuration file is read at the start only") })
			return instance.Run(owned.Stopping())
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
