package endpoints

import (
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/placement"
	"foxtailbridge/policy/ticket"
)

// memoryLogPeriod is the least time between two log lines on engines that are short of memory:
// each request may meet them.
const memoryLogPeriod = 10 * clock.Second

// logMemory logs that endpoints have no memory for a request; the caller holds the lock.
func (t *Tracker) logMemory(service ticket.ServiceName, q *placement.Query, choice *placement.Choice) {
	if choice.ShortOfMemory == 0 || t.memoryLoggedAt > 0 && q.Now-t.memoryLoggedAt < memoryLogPeriod {
		return
	}
	t.memoryLoggedAt = q.Now
	t.deps.Logger.Info("memory-short", "service", service, "short", choice.ShortOfMemory, "considered", choice.Considered,
		"tokens", q.Memory.Tokens, "mean", int64(q.Memory.OthersMean), "capacity", q.Memory.Capacity)
}
