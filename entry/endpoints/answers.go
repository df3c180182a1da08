package endpoints

import (
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"

	"foxtailbridge/policy/cascade"
	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/loadlist"
	"foxtailbridge/policy/ticket"
)

// AnswerKind identifies answers that are expected to be poor with the same probability.
type AnswerKind struct {
	Route catalog.RouteName
	Model ticket.ModelName
	Size  cascade.SizeClass
}

// keys returns the keys of the kind's bands in sums.
func (k AnswerKind) keys() (keys [cascade.Bands]loadlist.Key) {
	for i := range keys {
		keys[i] = loadlist.Key(string(k.Route) + "|" + string(k.Model) + "|" + string(k.Size) + "|" + strconv.Itoa(i))
	}
	return keys
}

// Answers counts the answers of the last seconds by their confidence, of this instance and of all
// others, and what a retry costs on each service. Its methods may be called concurrently.
type Answers struct {
	clock     *clock.Clock
	scope     tally.Scope
	instances func() int

	mu     sync.Mutex
	byKind map[AnswerKind]*answerCounts
	prices map[ticket.ServiceName]*cascade.RetryPrice
	peers  loadlist.Sum
	// peersAt is when the peers' answers were received, or 0.
	peersAt clock.Millis
}

// answerCounts holds the own answers of one kind.
type answerCounts struct {
	recent    cascade.RecentAnswers
	keys      [cascade.Bands]loadlist.Key
	poorShare tally.Gauge
}

const (
	// peerAnswersTTL is how long the answers of other instances count without an update.
	peerAnswersTTL = 1500 * clock.Millis(1)
	// maxReportedAnswers bounds the sum of all instances' reports in units; a larger number is
	// taken for malformed.
	maxReportedAnswers = 100_000
	// forgottenAnswers is the number of own answers below which a kind is dropped, so that models
	// and routes that no longer exist take no memory.
	forgottenAnswers = 0.05
)

// NewAnswers returns a table that knows no answers; instances returns how many instances report.
func NewAnswers(c *clock.Clock, scope tally.Scope, instances func() int) *Answers {
	return &Answers{
		clock: c, scope: scope, instances: instances,
		byKind: map[AnswerKind]*answerCounts{}, prices: map[ticket.ServiceName]*cascade.RetryPrice{},
	}
}

// Record counts an answer with a known confidence.
func (a *Answers) Record(kind AnswerKind, c cascade.Confidence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Mono()
	counts := a.byKind[kind]
	if counts == nil {
		tags := map[string]string{"route": string(kind.Route), "model": string(kind.Model), "size": string(kind.Size)}
		counts = &answerCounts{keys: kind.keys(), poorShare: a.scope.Tagged(tags).Gauge("poor_share")}
		a.byKind[kind] = counts
	}
	counts.recent.Record(c, now)
	counts.poorShare.Update(counts.recent.At(now).Add(a.ofPeers(counts.keys, now)).PoorShare())
}

// Recent returns the answers of all instances of the last seconds.
func (a *Answers) Recent(kind AnswerKind) cascade.Answers {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Mono()
	if counts := a.byKind[kind]; counts != nil {
		return counts.recent.At(now).Add(a.ofPeers(counts.keys, now))
	}
	return a.ofPeers(kind.keys(), now)
}

// ofPeers returns the answers that other instances reported; the caller holds the lock.
func (a *Answers) ofPeers(keys [cascade.Bands]loadlist.Key, now clock.Millis) cascade.Answers {
	if a.peers == nil || now-a.peersAt > peerAnswersTTL {
		return cascade.Answers{}
	}
	var units [cascade.Bands]int
	for i, key := range keys {
		units[i] = a.peers[key]
	}
	return cascade.AnswersReported(units)
}

// AddReport adds this instance's answers to what it reports.
func (a *Answers) AddReport(loads *loadlist.Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, limit := a.clock.Mono(), maxReportedAnswers/max(1, a.instances())
	sum := loadlist.Sum{}
	for kind, counts := range a.byKind {
		answers := counts.recent.At(now)
		if answers.Total() < forgottenAnswers {
			delete(a.byKind, kind)
			continue
		}
		for i, n := range answers.Report(limit) {
			if n > 0 {
				sum[counts.keys[i]] = n
			}
		}
	}
	if len(sum) > 0 {
		loads.Sums[loadlist.KindAnswers] = sum
	}
}

// SetPeers sets the answers of all other instances.
func (a *Answers) SetPeers(loads loadlist.Loads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.peers, a.peersAt = loads.Sums[loadlist.KindAnswers], a.clock.Mono()
}

// RetryPrice returns what a retry costs other requests of a service.
func (a *Answers) RetryPrice(service ticket.ServiceName) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.prices[service]; p != nil {
		return p.Value(a.clock.Mono())
	}
	return 0
}

// RecordEscalation counts an escalation of a service and its net gain, and whether the retry budget
// allowed it.
func (a *Answers) RecordEscalation(service ticket.ServiceName, gain float64, allowed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.prices[service]
	if p == nil {
		p = &cascade.RetryPrice{}
		a.prices[service] = p
	}
	if allowed {
		p.Allowed(a.clock.Mono())
	} else {
		p.Refused(gain, a.clock.Mono())
	}
}
