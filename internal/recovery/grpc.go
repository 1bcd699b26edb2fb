package recovery

import (
	"context"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// errHandler is the answer to a call whose handler panicked.
var errHandler = status.Error(codes.Internal, "the handler of the call failed")

// ServerOptions returns the options of a gRPC server whose handlers may panic without
// ending the process; such a call fails with codes.Internal.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.ChainUnaryInterceptor(containUnary), grpc.ChainStreamInterceptor(containStream)}
}

func containUnary(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
	defer func() {
		if value := recover(); value != nil {
			report(info.FullMethod, value, debug.Stack())
			reply, err = nil, errHandler
		}
	}()
	return handler(ctx, request)
}

func containStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
	defer func() {
		if value := recover(); value != nil {
			report(info.FullMethod, value, debug.Stack())
			err = errHandler
		}
	}()
	return handler(server, stream)
}
