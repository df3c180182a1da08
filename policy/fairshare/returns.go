package fairshare

import (
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
)

// returns holds until when the time of each rank's refused callers is booked at this instance: each
// is told a time of its own, so that they don't return together.
type returns map[catalog.Rank]float64

const (
	// MinReturn is the shortest Retry-After: a caller that returns earlier finds the same requests
	// at the endpoints.
	MinReturn = 150 * clock.Millis(1)
	// returnShare is the part of the endpoints' rate at which callers are told to return. The rest
	// is for new requests.
	returnShare = 0.5
	// callerPatience is the part of its time left up to which a caller honors Retry-After.
	callerPatience = 1.0 / 3
)

// RetryAfter returns when a request that is refused for lack of capacity should be sent again: the
// first time that is not booked for others of its rank or a more urgent one. All instances book
// their parts of the rate, in proportion to their demand. If that is later than the caller would wait,
// it returns a time within the later half of what it would, without booking it. random is 0 to 1.
func (l *Limiter) RetryAfter(r Request, c Capacity, instances int, t Time, random float64) clock.Millis {
	longest := LongestReturn(r.TimeLeft)
	rate := l.ownRate(&c, instances, t.Now)
	if rate <= 0 {
		return MinReturn + clock.Millis(random*float64(min(clock.Second, longest-MinReturn)))
	}
	wait, booked := l.returns.book(r.Rank, float64(clock.Second)/rate, float64(t.Now), float64(longest))
	if !booked {
		return max(MinReturn, clock.Millis((1-random/2)*float64(longest)))
	}
	wait -= random * float64(clock.Second) / rate
	if c.Short() {
		wait = max(wait, float64(untilDraw(r.Content, t.Wall))) // Earlier, it would be refused again.
	}
	return min(longest, max(MinReturn, clock.Millis(wait)))
}

// LongestReturn returns the longest Retry-After that a caller honors with this much time left.
func LongestReturn(left clock.Millis) clock.Millis {
	return max(MinReturn, clock.Millis(callerPatience*float64(left)))
}

// book books the next time for a caller and returns the time until then, or false if that is too
// long. Less urgent callers that return later make room: their next time is postponed.
func (r returns) book(rank catalog.Rank, gap, now, longest float64) (wait float64, ok bool) {
	at := now + float64(MinReturn)
	for other, until := range r {
		if other <= rank {
			at = max(at, until)
		}
	}
	at += gap
	if at-now > longest {
		return 0, false
	}
	r[rank] = at
	for other, until := range r {
		if other > rank && until > now {
			r[other] = until + gap
		}
	}
	return at - now, true
}

// untilDraw returns the time until the next draw for a content.
func untilDraw(content uint64, wall clock.Millis) clock.Millis {
	return drawPeriod - (wall+phase(content))%drawPeriod
}
