package router

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// journalSize is how many decisions an instance remembers.
const journalSize = 512

// DecisionLog remembers the latest decision lines of an instance.
type DecisionLog struct {
	mu    sync.Mutex
	lines []string
	next  int
}

// NewDecisionLog returns an empty Journal.
func NewDecisionLog() *DecisionLog {
	return &DecisionLog{}
}

// Add remembers one event with its key and value pairs.
func (j *DecisionLog) Add(at time.Time, event string, pairs []any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %s", at.Format(time.RFC3339Nano), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.lines) < journalSize {
		j.lines = append(j.lines, line.String())
		return
	}
	j.lines[j.next] = line.String()
	j.next = (j.next + 1) % journalSize
}

// Latest returns up to limit lines, oldest first.
func (j *DecisionLog) Latest(limit int) []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	ordered := append(append([]string(nil), j.lines[j.next:]...), j.lines[:j.next]...)
	if limit > 0 && len(ordered) > limit {
		ordered = ordered[len(ordered)-limit:]
	}
	return ordered
}

// decide logs and remembers a decision.
func (r *Router) decide(event string, pairs ...any) {
	r.logger.Info(event, pairs...)
	r.journal.Add(r.clock.Wall().Time(), event, pairs)
}
