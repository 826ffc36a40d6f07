package main

import (
	"context"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/losses"
)

// defaultLossWindow is the time that one row of the table covers.
const defaultLossWindow = 2 * time.Second

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:  "losses",
		Usage: "tell from the logs of instances on standard input which requests were lost, when and why",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "target", Usage: "count first bytes after this `TIME` as late"},
			&cli.DurationFlag{Name: "window", Usage: "`TIME` of a row", Value: defaultLossWindow},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			t := losses.NewTable(losses.Options{Target: c.Duration("target"), Window: c.Duration("window")})
			if err := t.Read(os.Stdin); err != nil {
				return trace.Wrap(err)
			}
			return trace.Wrap(t.Write(os.Stdout))
		},
	}
}
