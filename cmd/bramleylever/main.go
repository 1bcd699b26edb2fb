// Command bramleylever is a PostgreSQL proxy with session consistency, its
// operator commands, stand-ins and load tool in one binary.
package main

import (
	"os"

	"github.com/bramleylever/bramleylever/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
