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

// parse reads the outcome out of a problem, and the final marker out of a stream.
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

// ranTwice returns the requests that took effect more than once.
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

// falseNotRun returns the refusals that said not-run of a request that ran.
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

// ledgerFrom folds the bill stream as the finance system would.
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

// unbilled returns the whole answers that no bill in the log counts.
func unbilled(replies []*reply, billed *billing.Ledger) []claim.RequestID {
	var missing []claim.RequestID
	for _, r := range replies {
		if r.completed() && !billed.Has(r.requestID) {
			missing = append(missing, r.requestID)
		}
	}
	return missing
}

// billedTwice returns the requests that the fold counted more than once.
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

// startsAfter returns the requests that an engine began after a time.
func startsAfter(events []engine.Event, at clock.Millis) []string {
	var late []string
	for _, e := range events {
		if e.Kind == engine.EventStart && e.At > at {
			late = append(late, fmt.Sprintf("%s on %s %d ms late", e.Request, e.Engine, e.At-at))
		}
	}
	return late
}

// peakColdRequests returns the most requests that an engine had at once in cold start.
func peakColdRequests(events []engine.Event) int {
	peak := 0
	for _, e := range events {
		if e.Kind == engine.EventStart && e.Cold {
			peak = max(peak, e.InFlight)
		}
	}
	return peak
}

// failure returns why the caller did not get a whole answer, or "".
func (r *reply) failure() string {
	if r.completed() {
		return ""
	}
	return fmt.Sprintf("status %d, done %t: %s", r.status, r.finished, r.body)
}
