package router

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// decisionLogSize is the number of decisions that a DecisionLog keeps.
const decisionLogSize = 512

// DecisionLog is a ring buffer of the most recent decisions of an instance, as
// formatted lines.
type DecisionLog struct {
	mu    sync.Mutex
	lines []string
	next  int
}

// NewDecisionLog returns an empty DecisionLog.
func NewDecisionLog() *DecisionLog {
	return &DecisionLog{}
}

// Add appends one event with its key-value pairs and overwrites the oldest line
// if the buffer is full.
func (l *DecisionLog) Add(at time.Time, event string, pairs []any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%s %s", at.Format(time.RFC3339Nano), event)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[i], pairs[i+1])
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines) < decisionLogSize {
		l.lines = append(l.lines, line.String())
		return
	}
	l.lines[l.next] = line.String()
	l.next = (l.next + 1) % decisionLogSize
}

// Latest returns up to limit lines, oldest first.
func (l *DecisionLog) Latest(limit int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	ordered := append(append([]string(nil), l.lines[l.next:]...), l.lines[:l.next]...)
	if limit > 0 && len(ordered) > limit {
		ordered = ordered[len(ordered)-limit:]
	}
	return ordered
}

// logDecision writes a decision to the logger and to the decision log.
func (r *Router) logDecision(event string, pairs ...any) {
	r.logger.Info(event, pairs...)
	r.decisions.Add(r.clock.Wall().Time(), event, pairs)
}
