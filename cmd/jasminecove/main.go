// Command jasminecove is the process of each VM and the operators' command line.
package main

import "github.com/jasminecove/jasminecove/internal/cli/command"

func main() { command.Main() }
