package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"

	"github.com/eiderspring/eiderspring/lease"
	"github.com/eiderspring/eiderspring/placement"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

// status is the state of a deployment, as read from the object API.
type status struct {
	Deployment string       `json:"deployment"`
	Revision   int64        `json:"revision"`
	Cells      []cellStatus `json:"cells"`
	// Unreachable are the models and adapters without a ready replica.
	Unreachable []string `json:"unreachable"`
}

type cellStatus struct {
	Name       string           `json:"name"`
	Controller string           `json:"controller"`
	Epoch      int64            `json:"epoch"`
	Endpoints  []endpointStatus `json:"endpoints"`
}

type endpointStatus struct {
	Name       string       `json:"name"`
	CapacityMB int64        `json:"capacityMB"`
	CountedMB  int64        `json:"countedMB"`
	Units      []unitStatus `json:"units"`
}

type unitStatus struct {
	Name     string              `json:"name"`
	State    placement.UnitState `json:"state"`
	MemoryMB int64               `json:"memoryMB"`
	Order    string              `json:"order,omitempty"`
}

const watchInterval = 2 * time.Second

func statusCommand() *cli.Command {
	flags := []cli.Flag{
		objectAPIFlag(), &cli.BoolFlag{Name: "watch", Usage: "print again every two seconds"},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"},
	}
	return &cli.Command{
		Name: "status", Usage: "show cells, endpoints and what is not reachable", Flags: flags,
		Action: func(ctx context.Context, c *cli.Command) error { return showStatus(ctx, c, writeOverview) },
		Commands: []*cli.Command{{
			Name: "placement", Usage: "show where each model is and which orders are open", Flags: flags,
			Action: func(ctx context.Context, c *cli.Command) error { return showStatus(ctx, c, writePlacement) },
		}},
	}
}

func showStatus(ctx context.Context, c *cli.Command, write func(io.Writer, status)) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	for {
		s, err := readStatus(ctx, newClient(c))
		if err != nil {
			return err
		}
		if c.String("output") == "json" {
			if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
				return trace.Wrap(err)
			}
		} else {
			write(os.Stdout, s)
		}
		if !c.Bool("watch") {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
			fmt.Println()
		}
	}
}

func readStatus(ctx context.Context, client store.Client) (status, error) {
	accepted, err := revision.ReadCurrent(ctx, client)
	if err != nil {
		return status{}, trace.Wrap(err, "reading the settings")
	}
	s := status{Deployment: accepted.Tree.Deployment, Revision: accepted.Entry.Revision, Unreachable: []string{}}
	ledgers, err := client.List(ctx, store.KindLedger)
	if err != nil {
		return s, trace.Wrap(err, "reading the ledgers")
	}
	reachable := map[string]bool{}
	for _, o := range ledgers.Items {
		ledger := placement.NewLedger()
		if err := json.Unmarshal(o.Spec, ledger); err != nil {
			return s, trace.Wrap(err, "ledger of cell %s", o.Metadata.Name)
		}
		s.Cells = append(s.Cells, readCell(ctx, client, o.Metadata.Name, ledger, reachable))
	}
	slices.SortFunc(s.Cells, func(a, b cellStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, name := range settings.NewCatalog(accepted.Tree).UnitNames() {
		if !reachable[name] {
			s.Unreachable = append(s.Unreachable, name)
		}
	}
	return s, nil
}

func readCell(ctx context.Context, client store.Client, name string, l *placement.Ledger, reachable map[string]bool) cellStatus {
	c := cellStatus{Name: name, Controller: "none", Epoch: l.Epoch}
	var record lease.Record
	if o, err := client.Get(ctx, store.KindLease, "cell-"+name); err == nil && json.Unmarshal(o.Spec, &record) == nil && record.Holder != "" {
		c.Controller, _, _ = strings.Cut(record.Holder, "/")
	}
	for _, endpoint := range slices.Sorted(mapKeys(l.Endpoints)) {
		use := l.Endpoints[endpoint]
		e := endpointStatus{Name: endpoint, CapacityMB: use.CapacityMB, CountedMB: use.CountedMB()}
		for _, unit := range use.UnitNames() {
			u := use.Units[unit]
			e.Units = append(e.Units, unitStatus{Name: unit, State: u.State, MemoryMB: u.MemoryMB, Order: u.Order})
			reachable[unit] = reachable[unit] || u.State == placement.Ready
		}
		c.Endpoints = append(c.Endpoints, e)
	}
	return c
}

func writeOverview(out io.Writer, s status) {
	fmt.Fprintf(out, "%s, settings revision %d\n", s.Deployment, s.Revision)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CELL\tCONTROLLER\tEPOCH\tENDPOINT\tMEMORY\tUNITS\tORDERS OPEN")
	for _, c := range s.Cells {
		for _, e := range c.Endpoints {
			openOrders := 0
			for _, u := range e.Units {
				if u.Order != "" {
					openOrders++
				}
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d of %d MB\t%d\t%d\n", c.Name, c.Controller, c.Epoch, e.Name, e.CountedMB, e.CapacityMB, len(e.Units), openOrders)
		}
	}
	w.Flush()
	if len(s.Unreachable) == 0 {
		fmt.Fprintln(out, "every model and adapter is reachable")
		return
	}
	fmt.Fprintf(out, "not reachable (%d): %s\n", len(s.Unreachable), strings.Join(s.Unreachable, " "))
}

func writePlacement(out io.Writer, s status) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "UNIT\tENDPOINT\tSTATE\tMEMORY\tORDER")
	type row struct{ unit, text string }
	var rows []row
	for _, c := range s.Cells {
		for _, e := range c.Endpoints {
			for _, u := range e.Units {
				rows = append(rows, row{u.Name + "\t" + e.Name, fmt.Sprintf("%s\t%s\t%s\t%d MB\t%s", u.Name, e.Name, u.State, u.MemoryMB, u.Order)})
			}
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.unit, b.unit) })
	for _, r := range rows {
		fmt.Fprintln(w, r.text)
	}
	w.Flush()
}
