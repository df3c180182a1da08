package promises

import (
	"encoding/json"
	"fmt"
	"strings"

	"foxtailbridge/link/caller"
	"foxtailbridge/link/chat"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/billing"
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/standin/engine"
	"foxtailbridge/standin/service"
)

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

// parse extracts the outcome, code and request id, and clears finished if a stream lacks the final marker.
func (r *reply) parse() {
	var problem caller.Problem
	text := r.body
	if strings.HasPrefix(text, "data:") {
		r.finished = r.finished && strings.Contains(text, "data: "+chat.Done)
		for line := range strings.Lines(text) {
			if strings.Contains(line, `"outcome"`) {
				text = strings.TrimPrefix(strings.TrimSpace(line), "data: ")
			}
		}
	}
	if json.Unmarshal([]byte(text), &problem) == nil && problem.Code != "" {
		r.outcome = problem.Outcome
		r.code = string(problem.Code)
	}
	r.requestID = claim.RequestID(r.header.Get(caller.HeaderRequestID))
}

// ranTwice returns the requests that the service executed more than once.
func ranTwice(runs []service.Run) []string {
	count := map[string]int{}
	var twice []string
	for _, run := range runs {
		count[run.Request]++
		if count[run.Request] == 2 {
			twice = append(twice, run.Request)
		}
	}
	return twice
}

// falseNotRun returns the requests that were reported as not-run although the service executed them.
func falseNotRun(replies []*reply, runs []service.Run) []claim.RequestID {
	ran := map[string]bool{}
	for _, run := range runs {
		ran[run.Request] = true
	}
	var wrong []claim.RequestID
	for _, r := range replies {
		if r.finished && r.outcome == claim.StateNotRun && ran[string(r.requestID)] {
			wrong = append(wrong, r.requestID)
		}
	}
	return wrong
}

// ledgerFrom aggregates the bill stream as the finance system does.
func ledgerFrom(records []platform.Record) *billing.Ledger {
	billed := billing.NewLedger()
	for _, record := range records {
		var bills []billing.Bill
		if json.Unmarshal(record.Data, &bills) != nil {
			continue
		}
		for _, bill := range bills {
			billed.Add(bill)
		}
	}
	return billed
}

// unbilled returns the requests that were answered completely but have no bill in the log.
func unbilled(replies []*reply, billed *billing.Ledger) []claim.RequestID {
	var missing []claim.RequestID
	for _, r := range replies {
		if r.completed() && !billed.Has(r.requestID) {
			missing = append(missing, r.requestID)
		}
	}
	return missing
}

// billedTwice returns the requests that the ledger counted more than once.
func billedTwice(billed *billing.Ledger) []claim.RequestID {
	seen := map[claim.RequestID]bool{}
	var twice []claim.RequestID
	for _, bill := range billed.Bills() {
		if seen[bill.ID] {
			twice = append(twice, bill.ID)
		}
		seen[bill.ID] = true
	}
	return twice
}

// startsAfter describes the requests that an engine started after the given time.
func startsAfter(events []engine.Event, at clock.Millis) []string {
	var late []string
	for _, e := range events {
		if e.Kind == engine.EventStart && e.At > at {
			late = append(late, fmt.Sprintf("%s on %s %d ms late", e.Request, e.Engine, e.At-at))
		}
	}
	return late
}

// peakColdRequests returns the highest number of in-flight requests during a cold start.
func peakColdRequests(events []engine.Event) int {
	peak := 0
	for _, e := range events {
		if e.Kind == engine.EventStart && e.Cold {
			peak = max(peak, e.InFlight)
		}
	}
	return peak
}

// failure describes why the caller didn't get a complete answer, or returns "".
func (r *reply) failure() string {
	if r.completed() {
		return ""
	}
	return fmt.Sprintf("status %d, done %t: %s", r.status, r.finished, r.body)
}
