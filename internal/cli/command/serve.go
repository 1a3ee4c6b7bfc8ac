package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/jasminecove/jasminecove/internal/control/tables"
	"github.com/jasminecove/jasminecove/internal/node/assembly"
	"github.com/jasminecove/jasminecove/internal/node/settings"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "JASMINECOVE"

// serveFlags are the flags of serve. A flag takes precedence over its environment variable, which
// takes precedence over the settings file.
type serveFlags struct {
	settings string
	tables   string
	vm       string
	logLevel string
}

func serveCommand(streams Streams) *ffcli.Command {
	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
	var f serveFlags
	fs.StringVar(&f.settings, "settings", "vm.yaml", "settings file of this VM")
	fs.StringVar(&f.tables, "tables", "", "initial tables of a new fleet")
	fs.StringVar(&f.vm, "vm", "", "name of this VM, overrides the settings file")
	fs.StringVar(&f.logLevel, "log-level", "", "log level, overrides the settings file")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "jasminecove serve -settings vm.yaml",
		ShortHelp:  "run the process of one VM",
		LongHelp: `Runs until SIGTERM or SIGINT, which drain the VM. A second signal ends the drain
at once and prints how many requests were cut.

Each flag can be set by an environment variable, for example
JASMINECOVE_SETTINGS=vm.yaml.

Example:
  jasminecove serve -settings examples/single/vm.yaml -tables examples/single/tables.yaml`,
		FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:    func(ctx context.Context, _ []string) error { return serve(ctx, streams, f) },
	}
}

func serve(ctx context.Context, streams Streams, f serveFlags) error {
	s, err := settings.Load(f.settings)
	if err != nil {
		return withExitCode(ExitInvalid, err)
	}
	if f.vm != "" {
		s = s.WithVM(f.vm)
	}
	if f.logLevel != "" {
		s.Telemetry.LogLevel = f.logLevel
	}
	var opts []assembly.Option
	if f.tables != "" {
		document, err := loadTables(f.tables)
		if err != nil {
			return err
		}
		opts = append(opts, assembly.WithInitialTables(document))
	}
	n, err := assembly.New(s, streams.Err, opts...)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := n.Start(ctx); err != nil {
		return err
	}
	select {
	case <-signals:
	case <-n.DrainRequested():
	case err := <-n.Failed():
		n.Stop()
		return fmt.Errorf("the data folder can no longer be trusted: %w", err)
	}
	return drainUntilSignal(ctx, streams, n, signals)
}

// drainUntilSignal drains the VM. A further signal ends the drain early.
func drainUntilSignal(ctx context.Context, streams Streams, n *assembly.Node, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	if cut := n.Drain(ctx); cut > 0 {
		return withExitCode(ExitIncomplete, fmt.Errorf("drain: %d requests were cut", cut))
	}
	fmt.Fprintln(streams.Err, "drained, nothing was cut")
	return nil
}

// loadTables reads and checks a tables file.
func loadTables(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, withExitCode(ExitInvalid, fmt.Errorf("read tables: %w", err))
	}
	if _, err := tables.Parse(data); err != nil {
		return nil, withExitCode(ExitInvalid, fmt.Errorf("%s: %w", file, err))
	}
	return data, nil
}
