package command_test

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jasminecove/jasminecove/internal/cli/command"
	"github.com/jasminecove/jasminecove/internal/cli/standincmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jasminecove": command.Main,
		"standin":     standincmd.Main,
	})
}

// TestScripts runs the scripts under testdata. Each script runs the real programs as separate
// processes on free ports.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setPorts,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"fleet":     writeFleet,
			"retry":     retry,
			"cutfile":   cutFile,
			"envsubst":  envSubst,
			"applymany": applyMany,
			"readyat":   readyAt,
		},
	})
}

// portsPerScript is the number of free ports of a script, in the environment variables P0, P1 and so on.
const portsPerScript = 24

// The ports of scripts are outside the range from which the kernel takes ports for others.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// nextPort counts the ports that scripts of this process have looked at. It begins at another port in
// each process.
var nextPort atomic.Int64

// setPorts finds ports that are free for TCP and UDP.
func setPorts(env *testscript.Env) error {
	nextPort.CompareAndSwap(0, 1+int64(os.Getpid())*portsPerScript)
	for i := 0; i < portsPerScript; {
		port := strconv.FormatInt(firstPort+nextPort.Add(1)%(lastPort-firstPort), 10)
		if isFree(port) {
			env.Setenv(fmt.Sprintf("P%d", i), port)
			i++
		}
	}
	env.Setenv("HOME", env.WorkDir)
	return nil
}

// isFree reports whether a port is free for TCP and UDP.
func isFree(port string) bool {
	l, err := net.Listen("tcp", "127.0.0.1:"+port)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := net.ListenPacket("udp", "127.0.0.1:"+port)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// writeFleet implements "fleet VMS VOTERS". It writes keys and settings for VMS VMs, of which the
// first VOTERS have a data folder and a vote. VM i uses the ports P(4i) to P(4i+3) for callers,
// upstreams, operators and the fleet.
func writeFleet(ts *testscript.TestScript, _ bool, args []string) {
	var vms, voters int
	_, err := fmt.Sscan(args[0]+" "+args[1], &vms, &voters)
	ts.Check(err)
	seeds, voterNames := "", ""
	for i := range vms {
		seeds += fmt.Sprintf("\"127.0.0.1:%s\", ", ts.Getenv(fmt.Sprint("P", 4*i+3)))
		if i < voters {
			voterNames += fmt.Sprintf("vm%d, ", i)
		}
	}
	ts.Check(ts.Exec("jasminecove", "keys", "authority", "-folder", "keys"))
	for i := range vms {
		ts.Check(ts.Exec("jasminecove", "keys", "issue", "-folder", "keys", fmt.Sprint("vm", i)))
		port := func(k int) string { return ts.Getenv(fmt.Sprint("P", 4*i+k)) }
		dataFolder := ""
		if i < voters {
			dataFolder = fmt.Sprintf("dataFolder: %s\n", ts.MkAbs(fmt.Sprint("data", i)))
		}
		text := fmt.Sprintf(`vm: vm%d
dataCentre: dc%d
%slisten: {callers: "127.0.0.1:%s", upstreams: "127.0.0.1:%s", operators: "127.0.0.1:%s", fleet: "127.0.0.1:%s"}
fleet: {keys: %q, seeds: [%s], voters: [%s]}
callers: {anonymous: true}
drain: {notice: 100ms, limit: 10s}
`, i, i%3, dataFolder, port(0), port(1), port(2), port(3), ts.MkAbs(fmt.Sprint("keys/vm", i)), seeds, voterNames)
		ts.Check(os.WriteFile(ts.MkAbs(fmt.Sprintf("vm%d.yaml", i)), []byte(text), 0o600))
	}
}
