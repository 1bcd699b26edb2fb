package relay

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"

	peerv1 "github.com/bramleylever/bramleylever/api/peer/v1"
	"github.com/bramleylever/bramleylever/internal/membudget"
)

// workBytesKey is the metadata key with the size of the first request of a lease, if it is
// large. The owner takes the request in only once it has the memory for it.
const workBytesKey = "work-bytes"

// memoryWait is how long work of another host waits for memory. The other host may try
// elsewhere after it.
const memoryWait = 500 * time.Millisecond

// requestBytes returns the size of what callers have put into a request.
func requestBytes(r *peerv1.LeaseRequest) int {
	size := len(r.GetPreparedShape())
	for _, v := range r.GetValues() {
		size += len(v.GetName()) + len(v.GetValue())
	}
	for _, s := range r.GetStatements() {
		size += len(s.GetText()) + len(s.GetValue()) + len(s.GetArgs()) + len(s.GetName())
	}
	return size
}

// announce adds the size of a large first request to the metadata of its stream.
func announce(ctx context.Context, request *peerv1.LeaseRequest) context.Context {
	size := requestBytes(request)
	if size <= membudget.FreeBytes {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, workBytesKey, strconv.Itoa(size))
}

// announced returns the size that the other host has announced; 0 if it is small, or if the
// other host is of a build that does not announce it.
func announced(ctx context.Context) int {
	values := metadata.ValueFromIncomingContext(ctx, workBytesKey)
	if len(values) == 0 {
		return 0
	}
	size, err := strconv.Atoi(values[0])
	if err != nil {
		return 0
	}
	return max(0, size)
}

// exhaustedReply says that work was not run for lack of memory.
func exhaustedReply(err error) *peerv1.LeaseReply {
	return &peerv1.LeaseReply{NotRun: true, Error: []byte(err.Error())}
}
