//go:build deps

// Package deps pins the libraries of slices that are still being added.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgconn"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jackc/pgx/v5/pgxpool"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/onsi/gomega/gmeasure"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/spf13/cobra"
	_ "github.com/xdg-go/scram"
	_ "github.com/zeromicro/go-zero/core/breaker"
	_ "github.com/zeromicro/go-zero/core/collection"
	_ "github.com/zeromicro/go-zero/core/conf"
	_ "github.com/zeromicro/go-zero/core/proc"
	_ "github.com/zeromicro/go-zero/core/service"
	_ "github.com/zeromicro/go-zero/core/syncx"
	_ "github.com/zeromicro/go-zero/core/threading"
	_ "github.com/zeromicro/go-zero/rest"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "google.golang.org/grpc/test/bufconn"
	_ "modernc.org/sqlite"
	_ "pgregory.net/rapid"
)
