package command_test

import (
	"os"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
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
