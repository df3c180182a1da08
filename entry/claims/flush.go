package claims

import (
	"context"
	"sync"
)

// pendingOutcomes counts the outcome records that aren't in the log yet. Unlike a sync.WaitGroup it
// may be added to while others wait.
type pendingOutcomes struct {
	mu    sync.Mutex
	count int
	// none is closed when count becomes 0; it is nil before the first add.
	none chan struct{}
}

func (p *pendingOutcomes) add() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == 0 {
		p.none = make(chan struct{})
	}
	p.count++
}

func (p *pendingOutcomes) done() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count--
	if p.count == 0 {
		close(p.none)
	}
}

// wait waits until all records that were added before are done, or ctx is done.
func (p *pendingOutcomes) wait(ctx context.Context) {
	p.mu.Lock()
	none, count := p.none, p.count
	p.mu.Unlock()
	if count == 0 {
		return
	}
	select {
	case <-none:
	case <-ctx.Done():
	}
}

// Flush waits until all recorded outcomes are in the log, or ctx is done.
func (c *Claimer) Flush(ctx context.Context) {
	c.pending.wait(ctx)
}
