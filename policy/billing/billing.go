package billing

import (
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// MicroEuros is money in micro-euros.
type MicroEuros int64

// Tokens counts model tokens.
type Tokens int64

// Bill is the charge for one request.
type Bill struct {
	ID        claim.RequestID      `json:"id"`
	Workspace ticket.WorkspaceName `json:"workspace"`
	// Serves names the version or the service call that answered.
	Serves string     `json:"serves"`
	Tokens Tokens     `json:"tokens"`
	Cost   MicroEuros `json:"cost-micros"`
	// Attempts counts the model answers in the cost, more than one after an escalation.
	Attempts int          `json:"attempts"`
	Instance string       `json:"instance"`
	At       clock.Millis `json:"at-ms"`
}

const tokensPerPrice = 1000

// Price returns the cost of the tokens at a price in micro-euros per 1,000, rounded up.
func Price(perThousand int64, tokens Tokens) MicroEuros {
	return MicroEuros((perThousand*int64(tokens) + tokensPerPrice - 1) / tokensPerPrice)
}

// Ledger counts the first bill of each request id and ignores the rest.
type Ledger struct {
	bills      map[claim.RequestID]Bill
	order      []claim.RequestID
	duplicates int
}

// NewLedger returns an empty Fold.
func NewLedger() *Ledger {
	return &Ledger{bills: map[claim.RequestID]Bill{}}
}

// Add counts a bill and reports whether it was the first of its request.
func (f *Ledger) Add(bill Bill) bool {
	if _, ok := f.bills[bill.ID]; ok {
		f.duplicates++
		return false
	}
	f.bills[bill.ID] = bill
	f.order = append(f.order, bill.ID)
	return true
}

// Has reports whether the request is billed.
func (f *Ledger) Has(id claim.RequestID) bool {
	_, ok := f.bills[id]
	return ok
}

// Duplicates returns how many bills were ignored.
func (f *Ledger) Duplicates() int {
	return f.duplicates
}

// Bills returns the counted bills in the order of the log.
func (f *Ledger) Bills() []Bill {
	list := make([]Bill, len(f.order))
	for i, id := range f.order {
		list[i] = f.bills[id]
	}
	return list
}

// Total sums the counted bills of a workspace, or of all if the name is empty.
func (f *Ledger) Total(workspace ticket.WorkspaceName) MicroEuros {
	var total MicroEuros
	for _, bill := range f.bills {
		if workspace == "" || bill.Workspace == workspace {
			total += bill.Cost
		}
	}
	return total
}
