package command_test

import (
	"encoding/json"
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/jasminecove/jasminecove/internal/node/admin"
)

// Limits of retry and readyat. They end a script that would hang; they are no limits that the tests check.
const (
	maxRetryAttempts = 400
	retryInterval    = 50 * time.Millisecond
)

// retry implements "retry COMMAND ARGS". It runs a command until it succeeds, or until it fails after "!".
func retry(ts *testscript.TestScript, neg bool, args []string) {
	for range maxRetryAttempts {
		err := ts.Exec(args[0], args[1:]...)
		if (err == nil) != neg {
			return
		}
		time.Sleep(retryInterval)
	}
	ts.Fatalf("retry %v: no attempt ended with the expected status", args)
}

// cutFile implements "cutfile FILE BYTES". It removes bytes from the end of a file.
func cutFile(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	n, err := strconv.ParseInt(args[1], 10, 64)
	ts.Check(err)
	info, err := os.Stat(file)
	ts.Check(err)
	ts.Check(os.Truncate(file, info.Size()-n))
}

// envSubst implements "envsubst FILE". It replaces $NAME and ${NAME} in a file by environment variables.
func envSubst(ts *testscript.TestScript, _ bool, args []string) {
	file := ts.MkAbs(args[0])
	data, err := os.ReadFile(file)
	ts.Check(err)
	ts.Check(os.WriteFile(file, []byte(os.Expand(string(data), ts.Getenv)), 0o600))
}

// applyMany implements "applymany SERVER AUTHORITY FILE FIRST-BASE TIMES". It applies a tables file
// TIMES times, each time based on the revision of the previous one.
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

// readyAt implements "readyat SERVER AUTHORITY REVISION". It waits until a VM reports that it is ready,
// and checks that it has the revision in that same status.
func readyAt(ts *testscript.TestScript, _ bool, args []string) {
	for range maxRetryAttempts {
		err := ts.Exec("jasminecove", "status", "-server", args[0], "-authority", args[1], "-output", "json")
		var s admin.Status
		if err == nil && json.Unmarshal([]byte(ts.ReadFile("stdout")), &s) == nil && s.Ready == "yes" {
			if strconv.FormatUint(s.Revision, 10) != args[2] {
				ts.Fatalf("ready with revision %d, want %s", s.Revision, args[2])
			}
			return
		}
		time.Sleep(retryInterval / 10)
	}
	ts.Fatalf("the VM did not become ready")
}
