package endpoints

import (
	"cmp"
	"slices"
	"sync"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// Paces holds the usual time between the stream events of each model. Its methods may be
// called concurrently.
type Paces struct {
	mu      sync.Mutex
	byModel map[ticket.ModelName]*paceBaseline
}

// NewPaces returns a table that knows no paces.
func NewPaces() *Paces { return &Paces{byModel: map[ticket.ModelName]*paceBaseline{}} }

const (
	// A stream is slow if its mean time between events exceeds SlowPaceFactor times the
	// usual plus slowPaceMargin milliseconds.
	SlowPaceFactor = 2.0
	slowPaceMargin = 6.0
)

// baseline returns a model's baseline; the caller holds the lock.
func (p *Paces) baseline(model ticket.ModelName) *paceBaseline {
	b := p.byModel[model]
	if b == nil {
		b = &paceBaseline{}
		p.byModel[model] = b
	}
	return b
}

// Record adds the time that a stream of the baseline release took for its events.
func (p *Paces) Record(model ticket.ModelName, elapsed clock.Millis, events int) {
	if events < 2 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	updateAverage(&p.baseline(model).mean, meanGap(elapsed, events), paceWindow)
}

// Compare reports whether a stream's events were slow for the number of requests in flight at
// its endpoint; known is false until there are enough samples of the baseline release.
func (p *Paces) Compare(model ticket.ModelName, elapsed clock.Millis, events, inFlight int, baseline bool) (slower, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.baseline(model).compare(meanGap(elapsed, events), inFlight, baseline)
}

// IsSlow reports whether a stream exceeds factor times the usual time between events.
func (p *Paces) IsSlow(model ticket.ModelName, elapsed clock.Millis, events int, factor float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.byModel[model]
	return b != nil && b.mean.Count >= MinBaselineRuns && meanGap(elapsed, events) > factor*b.mean.Mean+slowPaceMargin
}

// Mean returns the usual time between a model's stream events in milliseconds, or 0.
func (p *Paces) Mean(model ticket.ModelName) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.byModel[model]; b != nil {
		return b.mean.Mean
	}
	return 0
}

// meanGap returns the mean time between a stream's events.
func meanGap(elapsed clock.Millis, events int) float64 {
	return float64(elapsed) / float64(events-1)
}

// paceBaseline is the usual pace of a model's streams, that is, the time between their
// events.
type paceBaseline struct {
	mean placement.MovingAverage
	// samples is a ring of the baseline release's latest streams; count is how many
	// were ever added.
	samples [paceHistory]paceSample
	count   int
}

// paceSample is the mean time between a stream's first events, and the number of
// requests that were in flight at its endpoint.
type paceSample struct {
	meanGap  float64
	inFlight int
}

const (
	// paceHistory is how many streams are searched for those under a similar load, and
	// comparedSamples how many of them a stream is compared with. It takes that many
	// streams to move the baseline when a zone is lost and the other zones become
	// crowded.
	paceHistory     = 40
	comparedSamples = 11
	// Streams count as busier if more than busierFactor times as many requests ran
	// beside them. Up to lightLoad requests, a stream runs as if it were alone.
	busierFactor = 2
	lightLoad    = 4
	// fastestShare is the share of fastest streams, those without a prompt read
	// concurrently. The slowest of them is used, as events that arrive late and in one
	// burst look fast.
	fastestShare = 0.1
	// SlowPaceShare is the share of the baseline release's streams assumed to exceed
	// SlowPaceFactor times the median because long prompts are read concurrently.
	SlowPaceShare = 0.25
	// paceWindow is how many streams the mean covers.
	paceWindow = 40
)

// compare reports whether a stream is slow for the load under which it ran; known is
// false until there are enough samples. If baseline is set, the stream is added to the
// samples.
func (p *paceBaseline) compare(meanGap float64, inFlight int, baseline bool) (slower, known bool) {
	known = p.count >= comparedSamples
	slower = known && meanGap > SlowPaceFactor*p.expected(inFlight)
	if baseline {
		p.samples[p.count%paceHistory] = paceSample{meanGap, inFlight}
		p.count++
	}
	return slower, known
}

// expected returns the pace to expect of the baseline release under a load: the median
// of the samples with the closest load, the latest ones first. If those ran under a
// much higher load, the fastest samples cap it, as a lower load slows no stream.
func (p *paceBaseline) expected(inFlight int) float64 {
	latest := make([]paceSample, 0, paceHistory)
	for i := range min(p.count, paceHistory) {
		latest = append(latest, p.samples[(p.count-1-i)%paceHistory])
	}
	slices.SortStableFunc(latest, func(a, b paceSample) int {
		return max(a.inFlight-inFlight, inFlight-a.inFlight) - max(b.inFlight-inFlight, inFlight-b.inFlight)
	})
	closest := slices.Clone(latest[:min(comparedSamples, len(latest))])
	slices.SortFunc(closest, func(a, b paceSample) int { return cmp.Compare(a.inFlight, b.inFlight) })
	busier := closest[len(closest)/2].inFlight > busierFactor*max(inFlight, lightLoad)
	slices.SortFunc(closest, func(a, b paceSample) int { return cmp.Compare(a.meanGap, b.meanGap) })
	median := closest[len(closest)/2].meanGap
	if !busier {
		return median
	}
	slices.SortFunc(latest, func(a, b paceSample) int { return cmp.Compare(a.meanGap, b.meanGap) })
	return min(median, latest[int(fastestShare*float64(len(latest)))].meanGap)
}
