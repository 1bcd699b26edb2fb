// Package cli implements the commands of the bramleylever binary.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of the commands.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage reports an invalid flag, argument or settings file.
	ExitUsage = 2
	// ExitUnconfirmed reports a change that was accepted but not confirmed by
	// every host in time.
	ExitUnconfirmed = 3
	// ExitConflict reports a change that conflicts with another operator's.
	ExitConflict = 4
)

// ExitError is an error with an exit code for the process.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the wrapped error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// environment holds the standard streams of a command.
type environment struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// Run executes a command line and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRoot(environment{in: in, out: out, err: errOut})
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "bramleylever:", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailure
}

func newRoot(env environment) *cobra.Command {
	root := &cobra.Command{
		Use:           "bramleylever",
		Short:         "PostgreSQL proxy with session consistency",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetIn(env.in)
	root.SetOut(env.out)
	root.SetErr(env.err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &ExitError{Code: ExitUsage, Err: err}
	})
	root.AddCommand(newProxy(env), newDev(env), newGateway(env), newExplain(env), newUsage(env), newBench(env), newStatus(env), newConfig(env), newKey(env), newStandin(env), newVersion(env))
	root.AddCommand(newServiceStates(env)...)
	return root
}

// Version is the release version, which release builds set with -ldflags.
var Version = "0.1.0-dev"

func newVersion(env environment) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run: func(*cobra.Command, []string) {
			fmt.Fprintln(env.out, Version)
		},
	}
}
