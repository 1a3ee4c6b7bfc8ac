// Command jasminecove-platform is the process of each VM on the users' platform.
package main

import (
	"os"

	"github.com/jasminecove/jasminecove/platform"
)

func main() { os.Exit(platform.Main()) }
