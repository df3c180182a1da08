package placement

import "foxtailbridge/policy/clock"

const (
	// backlogTTL is how long the backlog that other instances report is valid. Prompts are read
	// within a second or two, so an older one says nothing.
	backlogTTL = 1500 * clock.Millis(1)
	// maxBelievedBacklog bounds the backlog that is believed of one endpoint, in ms of reading. No
	// caller waits longer, and a nonsensical report must not distort the cost level of all others.
	maxBelievedBacklog = 30_000.0
)

// peerBacklog is the number of weighted prompt tokens that other instances report as not yet read
// at an endpoint.
type peerBacklog struct {
	tokens float64
	at     clock.Millis
}

// SetPeerBacklog records the weighted prompt tokens of all other instances' requests that the
// endpoint has yet to read.
func (s *State) SetPeerBacklog(tokens float64, now clock.Millis) {
	s.peerBacklog = peerBacklog{tokens, now}
}

// peerBacklogTokens returns the weighted prompt tokens of other instances that the endpoint has
// yet to read, or 0 if that is not known.
func (s *State) peerBacklogTokens(now clock.Millis) float64 {
	if now-s.peerBacklog.at > backlogTTL {
		return 0
	}
	return s.peerBacklog.tokens
}

// peerBacklogTime returns how long the endpoint takes to read the prompts of other instances'
// requests, in ms, or 0 where prompts are alike.
func (q *Query) peerBacklogTime(s *State) float64 {
	if q.MeanPrompt <= 0 {
		return 0
	}
	return min(maxBelievedBacklog, s.peerBacklogTokens(q.Now)/q.readRate(s))
}

// PromptSizes tracks the reading effort of the prompts of one service's requests. It tells
// services whose prompts are alike, where the number of requests at an endpoint says how long its
// prompts take, from those where a few long prompts delay many short ones. The zero value has no
// observations. It is not safe for concurrent use.
type PromptSizes struct {
	mean, meanSquare movingMean
	varied           bool
}

// movingMean is the mean of about the last values of a window.
type movingMean struct {
	value float64
	count int
}

// add adds a value to a mean that covers the given number of values.
func (m *movingMean) add(value float64, window int) {
	m.count++
	m.value += (value - m.value) / float64(min(m.count, window))
}

const (
	// sizeWindow is the number of prompts that PromptSizes covers: an instance of a large
	// deployment sees about 10 in a second, and one in 20 may be long.
	sizeWindow = 300
	// minSizes is the number of prompts from which PromptSizes says anything.
	minSizes = 30
	// variedRatio is the size-biased mean of the prompts relative to their mean from which they
	// count as varied. A request that arrives while a prompt is read finds one of the size-biased
	// mean. It is 1 for equal prompts and 2 for exponentially distributed ones, whose 95th
	// percentile is 3 times the mean. Unlike a percentile, it also finds 1 long prompt in 20.
	variedRatio = 2.0
	// alikeRatio is the ratio below which varied prompts count as alike again.
	alikeRatio = 1.7
)

// Add counts a prompt of the given number of weighted tokens. It reports whether this changes what
// Varied returns.
func (p *PromptSizes) Add(tokens float64) (changed bool) {
	p.mean.add(tokens, sizeWindow)
	p.meanSquare.add(tokens*tokens, sizeWindow)
	before := p.varied
	if p.mean.count >= minSizes {
		threshold := variedRatio
		if p.varied {
			threshold = alikeRatio
		}
		p.varied = p.Ratio() >= threshold
	}
	return p.varied != before
}

// Ratio returns the size-biased mean of the prompts relative to their mean, or 0.
func (p *PromptSizes) Ratio() float64 {
	if p.mean.value <= 0 {
		return 0
	}
	return p.meanSquare.value / (p.mean.value * p.mean.value)
}

// Varied reports whether some prompts take much longer to read than others.
func (p *PromptSizes) Varied() bool {
	return p.varied
}

// VariedMean returns the mean number of weighted tokens of a prompt, or 0 if prompts are alike.
func (p *PromptSizes) VariedMean() float64 {
	if !p.varied {
		return 0
	}
	return p.mean.value
}
