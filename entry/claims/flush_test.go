package claims

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
)

// newClaimer returns a Claimer whose log appends at once.
func newClaimer(ctx context.Context) *Claimer {
	log := &platform.Log{Append: func(context.Context, platform.Stream, []byte) (platform.Offset, error) { return 0, nil }}
	c := New("a", 1, log, clock.New(), hclog.NewNullLogger())
	go c.partitions[0].batcher.Run(ctx)
	return c
}

// TestFlushBesideFinish guards against a data race between Flush and an outcome that is recorded at
// the same time, as for an abandoned claim that is read from the log during a planned stop.
func TestFlushBesideFinish(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c := newClaimer(ctx)
	var running sync.WaitGroup
	for range 200 {
		running.Go(func() { c.Finish(&Grant{ID: "r", Nonce: claim.NewNonce()}, claim.Outcome{State: claim.StateNotRun}) })
		running.Go(func() { c.Flush(ctx) })
	}
	running.Wait()
	c.Flush(ctx)
	if ctx.Err() != nil {
		t.Error("Flush did not return before its context was done")
	}
}

// TestFlushReturnsWhenContextIsDone guards against a planned stop that waits for a log that is down.
func TestFlushReturnsWhenContextIsDone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newClaimer(ctx)
	cancel() // Ends the batcher: nothing is appended any more.
	c.partitions[0].batcher = platform.NewBatcher(nil, "", c.clock)
	c.Finish(&Grant{ID: "r", Nonce: claim.NewNonce()}, claim.Outcome{State: claim.StateNotRun})
	c.Flush(ctx)
}
