// Command jasminecove-platform runs the process of a VM on the users' platform.
package main

import (
	"os"

	"github.com/jasminecove/jasminecove/platform"
)

func main() { os.Exit(platform.Main()) }
