package crash_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
)

// checkLine checks that the output is one line that names a goroutine and holds the value and the whole
// stack of its panic.
func checkLine(t *testing.T, out, goroutine, function string) {
	t.Helper()
	assert.Equal(t, strings.Count(out, "\n"), 1, out)
	var line map[string]string
	assert.NilError(t, json.Unmarshal([]byte(out), &line))
	assert.Equal(t, line["@message"]+line["@level"]+line["@module"], "panicerrorvm")
	assert.Equal(t, line["goroutine"], goroutine)
	assert.Assert(t, strings.Contains(line["value"], "out of range"), line["value"])
	assert.Assert(t, strings.Contains(line["stack"], function) && strings.Contains(line["stack"], "crash_test.go:"), line["stack"])
}

func indexBeyondEnd(s []int) int { return s[len(s)] }

// TestReport guards against a panic whose trace is lost because logs are collected by line.
func TestReport(t *testing.T) {
	var out bytes.Buffer
	crash.SetOutput("vm", &out)
	defer crash.SetOutput("", os.Stderr)
	func() {
		defer func() { assert.Assert(t, recover() != nil, "the panic does not end the process") }()
		defer crash.Report("loop")
		_ = indexBeyondEnd(nil)
	}()
	checkLine(t, out.String(), "loop", "indexBeyondEnd")
	crash.Report("nothing to report")
}

// TestContain checks that a panic that is contained is logged and counted.
func TestContain(t *testing.T) {
	var out bytes.Buffer
	crash.SetOutput("vm", &out)
	defer crash.SetOutput("", os.Stderr)
	before := crash.Contained()
	assert.Assert(t, !crash.Contain("plan", func() { _ = indexBeyondEnd(nil) }))
	checkLine(t, out.String(), "plan", "indexBeyondEnd")
	assert.Assert(t, crash.Contain("plan", func() {}))
	assert.Equal(t, crash.Contained(), before+1)
}

// TestContainNotViolations guards against tests that pass although an invariant is violated.
func TestContainNotViolations(t *testing.T) {
	crash.SetOutput("vm", io.Discard)
	defer crash.SetOutput("", os.Stderr)
	defer func() { assert.ErrorContains(t, recover().(error), "oneWinner") }()
	crash.Contain("plan", func() { invariant.Check(invariant.Fatal{}, false, "oneWinner", "two") })
}

// TestRestart guards against a loop that ends at its first panic.
func TestRestart(t *testing.T) {
	crash.SetOutput("vm", io.Discard)
	defer crash.SetOutput("", os.Stderr)
	runs := 0
	crash.Restart(t.Context(), "loop", func() {
		if runs++; runs < 3 {
			_ = indexBeyondEnd(nil)
		}
	})
	assert.Equal(t, runs, 3)
}

func TestHandler(t *testing.T) {
	var out bytes.Buffer
	crash.SetOutput("vm", &out)
	defer crash.SetOutput("", os.Stderr)
	h := crash.Handler("callers", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { _ = indexBeyondEnd(nil) }))
	func() {
		defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/", nil))
	}()
	checkLine(t, out.String(), "callers", "indexBeyondEnd")
}

// TestAllGoroutinesReport checks that each goroutine of the daemon reports its panics.
func TestAllGoroutinesReport(t *testing.T) {
	for _, area := range []string{"control", "fleet", "node", "pipeline", "request", "routing", "upstream"} {
		err := filepath.WalkDir(filepath.Join("..", "..", area), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files := token.NewFileSet()
			file, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if g, ok := n.(*ast.GoStmt); ok && !reports(g.Call.Fun) {
					t.Errorf("%s: the goroutine does not report its panics", files.Position(g.Pos()))
				}
				if c, ok := n.(*ast.CallExpr); ok && startsGoroutine(c) && !reports(c.Args[len(c.Args)-1]) {
					t.Errorf("%s: the goroutine does not report its panics", files.Position(c.Pos()))
				}
				return true
			})
			return nil
		})
		assert.NilError(t, err)
	}
}

// startsGoroutine reports whether a call runs a function literal by a method Go, as that of a
// sync.WaitGroup, or by time.AfterFunc.
func startsGoroutine(c *ast.CallExpr) bool {
	s, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || len(c.Args) == 0 {
		return false
	}
	name := fmt.Sprint(s.X) + "." + s.Sel.Name
	_, isLiteral := c.Args[len(c.Args)-1].(*ast.FuncLit)
	return isLiteral && name != "crash.Go" && (s.Sel.Name == "Go" || name == "time.AfterFunc")
}

// reports reports whether a function literal starts with a deferred call of Report, or of Recover, which
// reports too.
func reports(f ast.Expr) bool {
	lit, ok := f.(*ast.FuncLit)
	if !ok || len(lit.Body.List) == 0 {
		return false
	}
	d, ok := lit.Body.List[0].(*ast.DeferStmt)
	return ok && slices.Contains([]string{"&{crash Report}", "&{crash Recover}"}, fmt.Sprint(d.Call.Fun))
}
