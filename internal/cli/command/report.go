package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/cli/logreport"
)

// Usual objectives of the report; see the routes of the tables for those in force.
const (
	reportFirst = 500 * time.Millisecond
	reportPause = 200 * time.Millisecond
)

func reportCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("report", flag.ContinueOnError)
	logs := fs.String("logs", "-", "log files of VMs, with commas between; - is standard input")
	out := fs.String("out", "report.html", "file to write the page to")
	first := fs.Duration("first", reportFirst, "a first event later than that is late")
	pause := fs.Duration("pause", reportPause, "a pause between events longer than that is late")
	return &ffcli.Command{
		Name: "report", ShortUsage: "jasminecove report [-logs FILE,FILE] [-out FILE]", ShortHelp: "draw a page of a period from VMs' logs",
		LongHelp: `Draws what became of requests in each second (served, late, refused, failed), what
VMs learnt and decided meanwhile, and lists why requests were not served, with one
request of each kind for explain. The page is one HTML file.

Example:
  jasminecove report -logs vm-01.log,vm-02.log -out night.html`,
		FlagSet: fs,
		Exec: func(context.Context, []string) error {
			lines, err := readLogs(*logs)
			if err != nil {
				return err
			}
			r, err := logreport.New(lines, logreport.Objective{FirstEvent: *first, Pause: *pause})
			if err != nil {
				return err
			}
			return writeReport(streams, r, *out)
		},
	}
}

func writeReport(streams Streams, r *logreport.Report, name string) error {
	f, err := os.Create(name)
	if err != nil {
		return exit(ExitInvalid, fmt.Errorf("write report: %w", err))
	}
	err = r.WriteHTML(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	for _, end := range logreport.Results() {
		fmt.Fprintf(streams.Out, "%-10s %d\n", end, r.Totals[end])
	}
	for _, c := range r.Causes[:min(len(r.Causes), topCauses)] {
		fmt.Fprintf(streams.Out, "%6d  %-8s %s  (%s)\n", c.Requests, c.Result, c.Text, c.Example)
	}
	return nil
}

// topCauses is how many causes are printed; the page has all.
const topCauses = 8
