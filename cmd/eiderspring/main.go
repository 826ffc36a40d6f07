// Command eiderspring runs and operates instances of the serving system.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/jsonc"
)

// Exit codes.
const (
	exitFailed = 1
	// exitInvalid is for invalid arguments, configuration or settings.
	exitInvalid = 2
	// exitConflict is for an edit that conflicts with another one.
	exitConflict = 3
	// exitUnknown is for an edit that may or may not have been accepted.
	exitUnknown = 4
)

func main() {
	app := &cli.Command{
		Name:  "eiderspring",
		Usage: "serve many models from fewer accelerators",
		Commands: []*cli.Command{
			serveCommand(), nodeCommand(), checkCommand(), settingsCommand(), demoCommand(), loadCommand(), statusCommand(), lossesCommand(),
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "eiderspring:", trace.UserMessage(err))
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var invalid *jsonc.Error
	if errors.As(err, &invalid) {
		return exitInvalid
	}
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		return coder.ExitCode()
	}
	return exitFailed
}
