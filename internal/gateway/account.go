package gateway

import (
	"fmt"

	"github.com/bramleylever/bramleylever/internal/outcome"
	"github.com/bramleylever/bramleylever/internal/statement"
)

// errAccountChanged means that the caller's key does not belong to the account of the operation
// any more.
var errAccountChanged = fmt.Errorf("the key does not belong to the account of the operation any more: %w", outcome.ErrNotRun)

// checkAccount returns why an operation must not go on under the current configuration: the
// caller's key was withdrawn, or belongs to another account now. Other changes of a route take
// effect with the next operation.
func (op *operation) checkAccount() statement.Result {
	account := op.session.account(op.gateway().options.Catalog().Config, op.route)
	switch {
	case account == nil:
		return statement.Result{Code: statement.NoAuth, Detail: "the key is not valid"}
	case account.Name != op.account:
		return statement.Result{Code: statement.Aborted, Detail: "the key belongs to another account now"}
	}
	return statement.Result{}
}
