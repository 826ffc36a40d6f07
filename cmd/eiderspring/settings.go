package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

func objectAPIFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "object-api", Usage: "the `URL` of the platform's object API",
		Required: true, Sources: cli.EnvVars("EIDERSPRING_OBJECT_API"),
	}
}

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "read, check and change the tree of settings",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a settings FILE and list every fault", ArgsUsage: "FILE",
				Action: settingsCheck,
			},
			{
				Name: "get", Usage: "print the accepted settings, comments included",
				Flags: []cli.Flag{objectAPIFlag()}, Action: settingsGet,
			},
			{
				Name: "apply", Usage: "make a settings FILE the next revision", ArgsUsage: "FILE",
				Flags:  []cli.Flag{objectAPIFlag(), &cli.StringFlag{Name: "author", Usage: "who makes the change", Value: os.Getenv("USER")}},
				Action: settingsApply,
			},
		},
	}
}

func readFileArgument(c *cli.Command) (string, []byte, error) {
	if c.Args().Len() != 1 {
		return "", nil, cli.Exit("exactly one FILE is needed", exitInvalid)
	}
	file := c.Args().First()
	text, err := os.ReadFile(file)
	return file, text, trace.ConvertSystemError(err)
}

func settingsCheck(_ context.Context, c *cli.Command) error {
	file, text, err := readFileArgument(c)
	if err != nil {
		return err
	}
	if _, err := settings.Load(file, text); err != nil {
		return err
	}
	fmt.Println(file + ": ok")
	return nil
}

func settingsGet(ctx context.Context, c *cli.Command) error {
	accepted, err := revision.ReadCurrent(ctx, store.NewHTTPClient(store.Config{URL: c.String("object-api")}))
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(accepted.Text)
	return trace.Wrap(err)
}

func settingsApply(ctx context.Context, c *cli.Command) error {
	file, text, err := readFileArgument(c)
	if err != nil {
		return err
	}
	client := store.NewHTTPClient(store.Config{URL: c.String("object-api")})
	base := int64(0)
	switch accepted, err := revision.ReadCurrent(ctx, client); {
	case err == nil:
		base = accepted.Entry.Revision
	case !store.IsNotFound(err):
		return err
	}
	entry, err := revision.NewPublisher(client, time.Now).Publish(ctx, file, text, c.String("author"), base)
	if store.IsConflict(err) {
		return cli.Exit("another revision was accepted meanwhile; nothing was changed", exitConflict)
	}
	if err != nil {
		return err
	}
	fmt.Printf("revision %d accepted\n", entry.Revision)
	return nil
}
