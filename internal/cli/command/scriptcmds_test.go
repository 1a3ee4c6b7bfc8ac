package command_test

import (
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jasminecove/jasminecove/internal/node/admin"
)

// Limits of retry. It is no bound on what is tested: it only ends a script that
// would hang.
const (
	retryTries = 400
	retryPause = 50 * time.Millisecond
)

// retry runs a command until it succeeds: retry COMMAND ARGS.
func retry(ts *testscript.TestScript, neg bool, args []string) {
	for range retryTries {
		err := ts.Exec(args[0], args[1:]...)
		if (err == nil) != neg {
			return
		}
		time.Sleep(retryPause)
	}
	ts.Fatalf("%v never ended as asked", args)
}

// cutFile cuts bytes off a file's end: cutfile FILE BYTES.
func cutFile(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	n, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	info, err := os.Stat(file)
	ts.Check(err)
	ts.Check(os.Truncate(file, info.Size()-n))
}

// envSubst replaces $NAME and ${NAME} in a file: envsubst FILE.
func envSubst(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	data, err := os.ReadFile(file)
	ts.Check(err)
	ts.Check(os.WriteFile(file, []byte(os.Expand(string(data), ts.Getenv)), 0o600))
}

// applyMany applies a tables file so many times, each based on the one before:
// applymany SERVER AUTHORITY FILE FIRST-BASE TIMES.
func applyMany(ts *testscript.TestScript, _ bool, args []string) {
	first, err := strconv.Atoi(args[3])
	ts.Check(err)
	times, err := strconv.Atoi(args[4])
	ts.Check(err)
	for i := range times {
		ts.Check(ts.Exec("jasminecove", "apply", "-server", args[0], "-authority", args[1], "-f", args[2],
			"-base", strconv.Itoa(first+i), "-change-id", "many-"+strconv.Itoa(i), "-author", "amal"))
	}
}

// readyAt waits until a VM says that it is ready, and checks that it has the
// revision from that moment on: readyat SERVER AUTHORITY REVISION.
func readyAt(ts *testscript.TestScript, _ bool, args []string) {
	for range retryTries {
		err := ts.Exec("jasminecove", "status", "-server", args[0], "-authority", args[1], "-output", "json")
		var s admin.Status
		if err == nil && json.Unmarshal([]byte(ts.ReadFile("stdout")), &s) == nil && s.Ready == "yes" {
			if strconv.FormatUint(s.Revision, 10) != args[2] {
				ts.Fatalf("ready with revision %d, want %s", s.Revision, args[2])
			}
			return
		}
		time.Sleep(retryPause / 10)
	}
	ts.Fatalf("never ready")
}
