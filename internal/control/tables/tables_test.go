package tables_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/control/tables"
)

const validDocument = `
routes:
  - name: chat
    match: {model: crew-7b}
    pool: crew
  - name: bookings
    match: {pathPrefix: /dispatch/bookings, methods: [POST]}
    pool: dispatch
    calls: nonIdempotent
    deadline: 5s
pools:
  - name: crew
    model: crew-7b
    layers: 12
  - name: dispatch
    service: dispatch
`

func ExampleParse() {
	doc, err := tables.Parse([]byte(validDocument))
	if err != nil {
		fmt.Println(err)
		return
	}
	route, _, _ := doc.RouteForPath("POST", "/dispatch/bookings/7")
	fmt.Println(route.Name, route.Pool, route.Repeatable("POST"), route.Deadline)
	// Output: bookings dispatch false 5s
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := tables.Parse([]byte(`
routes:
  - name: chat
    match: {model: crew-7b}
    pool: nowhere
  - name: chat
    match: {model: crew-7b}
    pool: crew
pools:
  - name: crew
    model: crew-7b
`))
	var invalid *tables.InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	keys := map[string]int{}
	for _, f := range invalid.Faults {
		keys[f.Key] = f.Line
	}
	assert.DeepEqual(t, keys, map[string]int{
		"routes[0].pool": 5, "routes[1].name": 6, "routes[1].match": 7, "pools[0].layers": 10,
	})
}

func TestParseInvalidSyntax(t *testing.T) {
	for _, text := range []string{
		"routes: []\npools: []\ncolour: red\n",
		"routes: []\nroutes: []\npools: []\n",
		"routes:\n  - name: a\n    match: {pathPrefix: /a}\n    pool: p\n    deadline: 5\npools:\n  - {name: p, service: s}\n",
	} {
		_, err := tables.Parse([]byte(text))
		var invalid *tables.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "Parse accepted %q", text)
	}
}

func TestRouteForPathLongestPrefix(t *testing.T) {
	doc, err := tables.Parse([]byte(`
routes:
  - {name: all, match: {pathPrefix: /d}, pool: p}
  - {name: book, match: {pathPrefix: /d/book, methods: [POST]}, pool: p}
pools: [{name: p, service: s}]
`))
	assert.NilError(t, err)
	for _, tc := range []struct{ method, path, want string }{
		{"POST", "/d/book", "book"}, {"GET", "/d/book", "all"}, {"POST", "/d/bookings", "all"},
	} {
		r, _, _ := doc.RouteForPath(tc.method, tc.path)
		assert.Equal(t, r.Name, tc.want, "%s %s", tc.method, tc.path)
	}
	_, known, found := doc.RouteForPath("GET", "/dx")
	assert.Assert(t, !known && !found)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("routes: [{name: a}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := tables.Parse(data)
		if err != nil {
			return
		}
		again, err := doc.Encode()
		assert.NilError(t, err)
		_, err = tables.Parse(again)
		assert.NilError(t, err)
	})
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			text := "routes:\n"
			for i := range n {
				text += fmt.Sprintf("  - {name: r%d, match: {pathPrefix: /s%d}, pool: p%d, deadline: 5s}\n", i, i, i)
			}
			text += "pools:\n"
			for i := range n {
				text += fmt.Sprintf("  - {name: p%d, service: s%d}\n", i, i)
			}
			for b.Loop() {
				_, err := tables.Parse([]byte(text))
				assert.NilError(b, err)
			}
		})
	}
}
