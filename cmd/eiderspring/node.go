package main

import (
	"context"
	"expvar"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/daemon"
	"github.com/eiderspring/eiderspring/platform"
	"github.com/eiderspring/eiderspring/signals"
)

// configVariable is the environment variable with the path of a node's
// configuration file.
const configVariable = "EIDERSPRING_SETTINGS"

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run one instance on the users' platform until SIGTERM, then drain",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "config", Usage: "the node's configuration `FILE`", Required: true, Sources: cli.EnvVars(configVariable),
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			owned := signals.Own(ctx)
			path := c.String("config")
			cfg, err := daemon.LoadNodeConfig(path)
			if err != nil {
				return err
			}
			lines := daemon.NewLogWriter(os.Stdout)
			defer lines.Close()
			log := daemon.NewLogger(lines, cfg.LogLevel)
			daemon.LogLibraries(log)
			node, err := daemon.NewNode(cfg, platform.Ports(), log)
			if err != nil {
				return trace.Wrap(err)
			}
			node.Publish("log_lines_dropped", expvar.Func(func() any { return lines.Dropped() }))
			owned.OnHangup(func() { node.Reload(daemon.LoadNodeConfig(path)) })
			return node.Run(owned.Stopping())
		},
	}
}
