// Command jasminecove runs the process of a VM, and is the command line for operators.
package main

import "github.com/jasminecove/jasminecove/internal/cli/command"

func main() { command.Main() }
