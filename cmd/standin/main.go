// Command standin runs stand-in engines, services and callers for tests.
package main

import "github.com/jasminecove/jasminecove/internal/cli/standincmd"

func main() { standincmd.Main() }
