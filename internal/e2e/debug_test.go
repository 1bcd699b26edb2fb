package e2e_test

import (
	"context"
	"fmt"
	"testing"
	"time"
	"sync/atomic"

	"github.com/jackc/pgx/v5"

	"github.com/bramleylever/bramleylever/internal/backend/standin"
	"github.com/bramleylever/bramleylever/internal/frontend"
)

type lim struct{ refuse atomic.Bool }

func (l *lim) Admit(string, time.Time) bool { return !l.refuse.Load() }

func TestDebug(t *testing.T) {
	l := &lim{}
	tweak = func(c *frontend.Config) { c.Limiter = l }
	s, err := newStack(standin.Settings{Lag: standin.Duration(30 * time.Millisecond)})
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	ctx := context.Background()
	c1, _ := pgx.Connect(ctx, callerURL(s.address))
	_, err = c1.Exec(ctx, "CREATE TABLE readings (op bigint PRIMARY KEY, session bigint, seq bigint)")
	fmt.Println(err)
	q := "SELECT count(*) FROM readings WHERE session = $1"
	var n int64
	read := func(tag string) { fmt.Println(tag, c1.QueryRow(ctx, q, int64(65537)).Scan(&n), n) }
	ins := func(tag string, id int) {
		_, err := c1.Exec(ctx, "INSERT INTO readings (op, session, seq) VALUES ($1, $2, $3) ON CONFLICT (op) DO NOTHING", id, int64(65537), int64(1))
		fmt.Println(tag, err)
	}
	read("1")
	ins("i1", 1)
	l.refuse.Store(true)
	read("2")
	ins("i2", 2)
	read("2")
	l.refuse.Store(false)
	ins("i3", 3)
	read("3")
	ins("i4", 4)
	read("4")
}
