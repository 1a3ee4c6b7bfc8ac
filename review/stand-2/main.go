// Command stand-2 plays the cases 6 to 10 of the review: it starts the project's program as separate processes on
// loopback addresses, with stand-ins for callers, replicas and the operator, and judges what these see.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds a case.
const limit = 115 * time.Second

// outcome is the end of a case.
type outcome struct {
	broken bool
	text   string
}

// play is a case. With trouble unset it leaves the disruption out.
type play func(ctx context.Context, rec *record, trouble bool) (outcome, error)

// errNotReady reports VMs that did not become ready.
var errNotReady = errors.New("not all VMs became ready")

// Errors of the replica that leaves.
var (
	errOtherHome = errors.New("another VM acknowledged a status report of the replica")
	errNoLeave   = errors.New("no VM acknowledged that the replica leaves")
)

var cases = map[string]play{"6": foundings, "7": endlessHead, "8": leaveBesideRestarts, "9": longLists, "10": encodedSlash}

func main() { os.Exit(run()) }

func run() int {
	const arguments = 3
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = rec.file.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(limit):
		}
		stopAll()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %t", os.Args[1], trouble)
	out, err := cases[os.Args[1]](ctx, rec, trouble)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case out.broken:
		rec.add("broken: %s", out.text)
		fmt.Println("broken:", out.text)
		return exitBroken
	}
	rec.add("held: %s", out.text)
	fmt.Println("held:", out.text)
	return exitHeld
}
