// Package standincmd is the command line of the stand-ins: simulated engines, services and callers
// for tests and measurements.
package standincmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/standin/engine"
	"github.com/jasminecove/jasminecove/internal/standin/service"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "STANDIN"

// Main runs the command line with the arguments of the process, and exits with 1 on an error.
func Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	err := root().ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

func root() *ffcli.Command {
	return &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "standin <command> [flags]",
		Subcommands: []*ffcli.Command{engineCommand(), serviceCommand(), askCommand(), inFlightCommand(), faultCommand(), experimentCommand(), deathsCommand(), bookingsCommand(), controlCommand(), slopesCommand(), loadCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func engineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	id := fs.String("id", "e1", "the engine's id")
	listen := fs.String("listen", "127.0.0.1:0", "address to serve on")
	announce := fs.String("announce", "http://127.0.0.1:7001", "comma-separated base addresses of VMs")
	name := fs.String("model", "crew", "model")
	version := fs.String("version", "1", "version of the model")
	layers := fs.Uint("layers", 12, "layers of the model")
	from := fs.Uint("from", 0, "first layer that the engine holds")
	to := fs.Uint("to", 12, "one past the last layer that the engine holds")
	speed := fs.Float64("speed", 2000, "positions computed per second")
	accelerator := fs.String("accelerator", "standin", "accelerator kind")
	delay := fs.Duration("link-delay", 0, "one-way delay of the engine's link")
	rate := fs.Float64("link-rate", 0, "bandwidth of the engine's link in bytes per second, 0 for no limit")
	width := fs.Int("width", 8, "bytes per position that are passed between layers")
	ignoreFencing := fs.Bool("ignore-fencing", false, "accept orders with outdated fencing tokens")
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "standin engine -id e1 -from 0 -to 4",
		ShortHelp:  "run a stand-in engine",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			opts := []engine.Option{
				engine.WithModel(*name, *version, uint32(*layers)), engine.WithLayers(uint32(*from), uint32(*to)),
				engine.WithSpeed(*speed), engine.WithAccelerator(*accelerator), engine.WithPositionBytes(*width),
				engine.WithLink(clock.FromStd(*delay), *rate), engine.WithAnnounceTo(strings.Split(*announce, ",")...),
			}
			if *ignoreFencing {
				opts = append(opts, engine.WithIgnoreFencing())
			}
			e := engine.New(*id, opts...)
			if err := e.Start(ctx, *listen); err != nil {
				return err
			}
			fmt.Printf("engine %s serves layers %d to %d on %s\n", *id, *from, *to, e.Address())
			<-ctx.Done()
			e.Kill()
			return nil
		},
	}
}

func serviceCommand() *ffcli.Command {
	fs := flag.NewFlagSet("service", flag.ContinueOnError)
	id := fs.String("id", "s1", "the service's id")
	listen := fs.String("listen", "127.0.0.1:0", "address to serve on")
	announce := fs.String("announce", "http://127.0.0.1:7001", "comma-separated base addresses of VMs")
	name := fs.String("name", "dispatch", "name of the service")
	return &ffcli.Command{
		Name:       "service",
		ShortUsage: "standin service -id s1 -name dispatch",
		ShortHelp:  "run a stand-in service",
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			s := service.New(*id, *name, service.NewLedger())
			if err := s.Start(ctx, *listen, strings.Split(*announce, ",")); err != nil {
				return err
			}
			fmt.Printf("service %s serves %s on %s\n", *id, *name, s.Address())
			<-ctx.Done()
			s.Kill()
			return nil
		},
	}
}
