package command_test

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jasminecove/jasminecove/internal/cli/command"
	"github.com/jasminecove/jasminecove/internal/cli/standincmd"
	"github.com/jasminecove/jasminecove/internal/testkit/freeport"
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

// setPorts finds free ports.
func setPorts(env *testscript.Env) error {
	for i := range portsPerScript {
		env.Setenv(fmt.Sprintf("P%d", i), strconv.Itoa(freeport.Find()))
	}
	env.Setenv("HOME", env.WorkDir)
	return nil
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
