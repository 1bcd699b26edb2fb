// Command bramleylever runs a PostgreSQL proxy with session consistency. The
// same binary contains the operator commands, the stand-in servers for tests
// and the load tool.
package main

import (
	"os"

	"github.com/bramleylever/bramleylever/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
