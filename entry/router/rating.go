package router

import (
	"context"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
)

const (
	// ratingWait bounds the wait for a rating before an answer is given.
	ratingWait = 2 * clock.Second
	// ratedWeight is the weight of one observation in the share of ratings that come in time.
	ratedWeight = 0.05
)

// ratedShare is the share of ratings that come soon enough to escalate.
type ratedShare struct {
	share float64
	seen  bool
}

func (s *ratedShare) observe(inTime bool) {
	value := 0.0
	if inTime {
		value = 1
	}
	if !s.seen {
		s.share, s.seen = value, true
		return
	}
	s.share += ratedWeight * (value - s.share)
}

func (r *Router) ratedInTime() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.rated.seen {
		return 1
	}
	return r.rated.share
}

// deliverRating wakes the request that waits for the rating.
func (r *Router) deliverRating(rating platform.Rating) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting := r.raters[claim.RequestID(rating.RequestID)]; waiting != nil {
		select {
		case waiting <- rating.Good:
		default:
		}
	}
}

// ratedBad hands the answer in and reports whether it was rated bad in time.
func (j *chatJob) ratedBad(ctx context.Context, a *attempts) bool {
	r := j.router
	waiting := make(chan bool, 1)
	r.mu.Lock()
	r.raters[j.ID] = waiting
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.raters, j.ID)
		r.mu.Unlock()
	}()
	a.submitted = true
	r.parts.Learner.QueueAnswer(j.answer(a))
	ctx, cancel := context.WithTimeout(ctx, ratingWait.Duration())
	defer cancel()
	good, inTime := true, false
	select {
	case good = <-waiting:
		inTime = true
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.rated.observe(inTime)
	r.mu.Unlock()
	return !good
}
