package main

import (
	"context"
	"expvar"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/daemon"
	"github.com/eiderspring/eiderspring/platform"
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
			cfg, err := daemon.LoadNodeConfig(c.String("config"))
			if err != nil {
				return err
			}
			lines := daemon.NewLogWriter(os.Stdout)
			defer lines.Close()
			node, err := daemon.NewNode(cfg, platform.Ports(), daemon.NewLogger(lines, cfg.LogLevel))
			if err != nil {
				return trace.Wrap(err)
			}
			node.Publish("log_lines_dropped", expvar.Func(func() any { return lines.Dropped() }))
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			go reloadOnHangup(ctx, c.String("config"), node)
			return node.Run(ctx)
		},
	}
}

// reloadOnHangup reloads the configuration on each SIGHUP. An invalid
// configuration changes nothing.
func reloadOnHangup(ctx context.Context, path string, node *daemon.Node) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			cfg, err := daemon.LoadNodeConfig(path)
			node.Reload(cfg, err)
		}
	}
}
