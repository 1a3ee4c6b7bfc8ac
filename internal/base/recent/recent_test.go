package recent_test

import (
	"fmt"

	"github.com/jasminecove/jasminecove/internal/base/recent"
)

func ExampleMap() {
	m := recent.New[string, int](2)
	m.Set("a", 1)
	m.Set("b", 2)
	m.Set("a", 3)
	m.Set("c", 4)
	m.Set("d", 5)
	fmt.Println(m.Get("a"))
	m.Set("e", 6)
	fmt.Println(m.Get("a"))
	fmt.Println(m.Get("e"))
	// Output:
	// 3 true
	// 0 false
	// 6 true
}
