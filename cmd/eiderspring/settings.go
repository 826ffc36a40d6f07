package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
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
				Flags: []cli.Flag{objectAPIFlag(), revisionFlag()}, Action: settingsGet,
			},
			{
				Name: "explain", Usage: "print every effective value of a node and where it comes from", ArgsUsage: "PATH",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "object-api", Usage: "the `URL` of the platform's object API", Sources: cli.EnvVars("EIDERSPRING_OBJECT_API")},
					&cli.StringFlag{Name: "file", Usage: "explain a `FILE` in place of the accepted settings"},
				},
				Action: settingsExplain,
			},
			{
				Name: "diff", Usage: "print the fields in which a FILE differs from the accepted settings", ArgsUsage: "FILE",
				Flags: []cli.Flag{objectAPIFlag(), revisionFlag()}, Action: settingsDiff,
			},
			{
				Name: "apply", Usage: "make a settings FILE the next revision, merged with edits since its base", ArgsUsage: "FILE",
				Flags: []cli.Flag{
					objectAPIFlag(), &cli.StringFlag{Name: "author", Usage: "who makes the change", Value: os.Getenv("USER")},
					&cli.Int64Flag{Name: "base", Usage: "the revision that FILE was derived from; its first line tells if it came from `get`"},
				},
				Action: settingsApply,
			},
			{
				Name: "history", Usage: "list the accepted revisions that are kept",
				Flags: []cli.Flag{objectAPIFlag()}, Action: settingsHistory,
			},
		},
	}
}

func revisionFlag() cli.Flag {
	return &cli.Int64Flag{Name: "revision", Usage: "a revision from the history in place of the one in force"}
}

func newClient(c *cli.Command) store.Client {
	return store.NewHTTPClient(store.Config{URL: c.String("object-api")})
}

// readRevision returns the revision given by --revision, or else the one in force.
func readRevision(ctx context.Context, c *cli.Command) (*revision.Accepted, error) {
	if n := c.Int64("revision"); n != 0 {
		accepted, err := revision.ReadRevision(ctx, newClient(c), n)
		return accepted, trace.Wrap(err)
	}
	accepted, err := revision.ReadCurrent(ctx, newClient(c))
	return accepted, trace.Wrap(err)
}

func readFileArgument(c *cli.Command) (string, []byte, error) {
	if c.Args().Len() != 1 {
		return "", nil, cli.Exit("exactly one FILE argument is required", exitInvalid)
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

// baseLinePrefix starts the first line of a settings text that names its base, the
// revision that it was derived from.
const baseLinePrefix = "// revision "

func settingsGet(ctx context.Context, c *cli.Command) error {
	accepted, err := readRevision(ctx, c)
	if err != nil {
		return err
	}
	_, err = fmt.Printf("%s%d\n%s", baseLinePrefix, accepted.Entry.Revision, withoutBaseLine(accepted.Text))
	return trace.Wrap(err)
}

// baseRevision returns the revision that the first line of a text names, or 0 if
// it names none.
func baseRevision(text []byte) int64 {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	number, found := bytes.CutPrefix(line, []byte(baseLinePrefix))
	if !found {
		return 0
	}
	n, _ := strconv.ParseInt(strings.TrimSpace(string(number)), 10, 64)
	return n
}

// withoutBaseLine blanks out the line that names the base; the other lines keep
// their numbers.
func withoutBaseLine(text []byte) []byte {
	if baseRevision(text) == 0 {
		return text
	}
	_, rest, _ := bytes.Cut(text, []byte("\n"))
	return rest
}

func settingsExplain(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("exactly one PATH argument is required, such as pools/POOL/models/MODEL or a service's name", exitInvalid)
	}
	tree, err := treeToExplain(ctx, c)
	if err != nil {
		return err
	}
	values, err := settings.Explain(tree, c.Args().First())
	if err != nil {
		return cli.Exit(err.Error(), exitInvalid)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, v := range values {
		fmt.Fprintf(w, "%s\t%v\t%s\n", v.Field, v.Value, v.Origin)
	}
	return w.Flush()
}

func treeToExplain(ctx context.Context, c *cli.Command) (*settings.Tree, error) {
	if file := c.String("file"); file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		return settings.Load(file, text)
	}
	if c.String("object-api") == "" {
		return nil, cli.Exit("--object-api or --file is required", exitInvalid)
	}
	accepted, err := revision.ReadCurrent(ctx, newClient(c))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return accepted.Tree, nil
}

func settingsDiff(ctx context.Context, c *cli.Command) error {
	_, text, err := readFileArgument(c)
	if err != nil {
		return err
	}
	accepted, err := readRevision(ctx, c)
	if err != nil {
		return err
	}
	changes, err := settings.Diff(accepted.Text, text)
	if err != nil {
		return err
	}
	for _, change := range changes {
		fmt.Println(change)
	}
	return nil
}

func settingsApply(ctx context.Context, c *cli.Command) error {
	file, text, err := readFileArgument(c)
	if err != nil {
		return err
	}
	client := newClient(c)
	base, err := editBase(ctx, c, client, text)
	if err != nil {
		return err
	}
	publisher := revision.NewPublisher(client, time.Now)
	entry, err := publisher.Edit(ctx, file, withoutBaseLine(text), c.String("author"), base)
	var conflict *settings.ConflictError
	if errors.As(err, &conflict) {
		return cli.Exit(conflict.Error()+"\nnothing was changed", exitConflict)
	}
	if store.IsUnanswered(err) {
		return cli.Exit("the object API did not respond: the edit may or may not have been accepted; see settings history", exitUnknown)
	}
	if err != nil {
		return err
	}
	fmt.Printf("revision %d accepted\n", entry.Revision)
	if _, err := publisher.CollectGarbage(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "eiderspring: failed to delete old revisions:", err)
	}
	return nil
}

// editBase returns the revision that a text was derived from: the one given by
// --base, else the one that its first line names, else the one in force. It
// returns 0 if the store has no revision.
func editBase(ctx context.Context, c *cli.Command, client store.Client, text []byte) (int64, error) {
	if c.IsSet("base") {
		return c.Int64("base"), nil
	}
	if base := baseRevision(text); base != 0 {
		return base, nil
	}
	root, err := revision.ReadRoot(ctx, client)
	if store.IsNotFound(err) {
		return 0, nil
	}
	return root.Current.Revision, trace.Wrap(err)
}

func settingsHistory(ctx context.Context, c *cli.Command) error {
	entries, err := revision.History(ctx, newClient(c))
	if err != nil {
		return trace.Wrap(err)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tACCEPTED\tAUTHOR\tCHUNKS")
	for _, e := range entries {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\n", e.Revision, e.At.Format(time.RFC3339), e.Author, len(e.Chunks))
	}
	return w.Flush()
}
