package router

import (
	"context"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
)

const (
	// ratingTimeout limits the wait for a rating before the answer is returned.
	ratingTimeout = 2 * clock.Second
	// timelyRatingWeight is the weight of a new observation in the moving
	// average of timelyRatingRatio.
	timelyRatingWeight = 0.05
)

// timelyRatingRatio is the exponentially weighted moving average of the fraction
// of ratings that arrive within ratingTimeout, in time to escalate.
type timelyRatingRatio struct {
	share float64
	seen  bool
}

func (s *timelyRatingRatio) observe(inTime bool) {
	value := 0.0
	if inTime {
		value = 1
	}
	if !s.seen {
		s.share, s.seen = value, true
		return
	}
	s.share += timelyRatingWeight * (value - s.share)
}

func (r *Router) timelyRatingShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.timelyRatings.seen {
		return 1
	}
	return r.timelyRatings.share
}

// deliverRating passes a rating to the request that waits for it, if any.
func (r *Router) deliverRating(rating platform.Rating) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiter := r.ratingWaiters[claim.RequestID(rating.RequestID)]; waiter != nil {
		select {
		case waiter <- rating.Good:
		default:
		}
	}
}

// ratedBadInTime submits the answer for rating and reports whether it was rated
// bad within ratingTimeout.
func (j *chatJob) ratedBadInTime(ctx context.Context, a *attemptRunner) bool {
	r := j.router
	waiter := make(chan bool, 1)
	r.mu.Lock()
	r.ratingWaiters[j.ID] = waiter
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.ratingWaiters, j.ID)
		r.mu.Unlock()
	}()
	a.submittedForRating = true
	r.deps.Learner.QueueAnswer(j.answerToRate(a))
	ctx, cancel := context.WithTimeout(ctx, ratingTimeout.Duration())
	defer cancel()
	good, inTime := true, false
	select {
	case good = <-waiter:
		inTime = true
	case <-ctx.Done():
	}
	r.mu.Lock()
	r.timelyRatings.observe(inTime)
	r.mu.Unlock()
	return !good
}
