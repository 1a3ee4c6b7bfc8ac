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

// Default latency limits of the report. The routes in the tables define the ones that apply to each
// route.
const (
	defaultMaxFirstEvent = 500 * time.Millisecond
	defaultMaxPause      = 200 * time.Millisecond
)

func reportCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("report", flag.ContinueOnError)
	logs := fs.String("logs", "-", "comma-separated log files of VMs; - is standard input")
	out := fs.String("out", "report.html", "file to write the HTML page to")
	maxFirstEvent := fs.Duration("first", defaultMaxFirstEvent, "longest time to the first event of an answer that is not late")
	maxPause := fs.Duration("pause", defaultMaxPause, "longest pause between events of an answer that is not late")
	return &ffcli.Command{
		Name: "report", ShortUsage: "jasminecove report [-logs FILE,FILE] [-out FILE]", ShortHelp: "draw an HTML report of a period from VMs' logs",
		LongHelp: `Draws the results of requests in each second (served, late, refused, failed) and the
state changes on VMs, and lists the causes why requests were not served, each with a
request id to pass to explain. The page is one HTML file.

Example:
  jasminecove report -logs vm-01.log,vm-02.log -out night.html`,
		FlagSet: fs,
		Exec: func(context.Context, []string) error {
			lines, err := readLogs(*logs)
			if err != nil {
				return err
			}
			r, err := logreport.New(lines, logreport.Objective{FirstEvent: *maxFirstEvent, Pause: *maxPause})
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
		return withExitCode(ExitInvalid, fmt.Errorf("write report: %w", err))
	}
	err = r.WriteHTML(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	for _, result := range logreport.Results() {
		fmt.Fprintf(streams.Out, "%-10s %d\n", result, r.Totals[result])
	}
	for _, c := range r.Causes[:min(len(r.Causes), maxPrintedCauses)] {
		fmt.Fprintf(streams.Out, "%6d  %-8s %s  (%s)\n", c.Requests, c.Result, c.Text, c.Example)
	}
	return nil
}

// maxPrintedCauses bounds the causes on standard output; the page lists all of them.
const maxPrintedCauses = 8
