package backendtest_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/bramleylever/bramleylever/internal/backend"
	"github.com/bramleylever/bramleylever/internal/backend/backendtest"
	"github.com/bramleylever/bramleylever/internal/backend/standin"
)

func TestContract(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "backend contract")
}

const password = "contract-password"

// standinGroup adapts a group of database stand-ins to the suite.
type standinGroup struct{ *standin.Group }

func (g standinGroup) Connect(ctx context.Context, k int) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/db?sslmode=disable",
		standin.DefaultUser, password, g.Instances[k].Address()))
}

func (g standinGroup) Freeze(k int) { g.Instances[k].Freeze() }
func (g standinGroup) Thaw(k int)   { g.Instances[k].Thaw() }

var _ = backendtest.Run("database stand-in", backendtest.Implementation{
	Start: func(n int) (backendtest.Group, error) {
		hosts := make([]string, n)
		for k := range hosts {
			hosts[k] = fmt.Sprintf("127.0.0.%d", k+2)
		}
		g, err := standin.StartInstances(hosts, standin.Config{Password: password})
		return standinGroup{g}, err
	},
	Dialer: backend.PGDialer{Password: password},
})
