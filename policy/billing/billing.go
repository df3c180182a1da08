package billing

import (
	"foxtailbridge/policy/claim"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// MicroEuros is an amount of money in millionths of a euro.
type MicroEuros int64

// Tokens counts model tokens.
type Tokens int64

// Bill is the charge for one request.
type Bill struct {
	ID        claim.RequestID      `json:"id"`
	Workspace ticket.WorkspaceName `json:"workspace"`
	// Serves names the model version or the service call that answered.
	Serves string     `json:"serves"`
	Tokens Tokens     `json:"tokens"`
	Cost   MicroEuros `json:"cost-micros"`
	// Attempts is the number of model answers included in the cost; after an
	// escalation it is more than one.
	Attempts int          `json:"attempts"`
	Instance string       `json:"instance"`
	At       clock.Millis `json:"at-ms"`
}

const tokensPerPriceUnit = 1000

// Price returns the cost of the tokens at a price in micro-euros per 1,000, rounded up.
func Price(perThousand int64, tokens Tokens) MicroEuros {
	return MicroEuros((perThousand*int64(tokens) + tokensPerPriceUnit - 1) / tokensPerPriceUnit)
}

// Ledger keeps the first bill of each request id and ignores duplicates.
type Ledger struct {
	bills      map[claim.RequestID]Bill
	order      []claim.RequestID
	duplicates int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{bills: map[claim.RequestID]Bill{}}
}

// Add adds a bill and reports whether it was the first of its request.
func (l *Ledger) Add(bill Bill) bool {
	if _, ok := l.bills[bill.ID]; ok {
		l.duplicates++
		return false
	}
	l.bills[bill.ID] = bill
	l.order = append(l.order, bill.ID)
	return true
}

// Has reports whether the request has been billed.
func (l *Ledger) Has(id claim.RequestID) bool {
	_, ok := l.bills[id]
	return ok
}

// Duplicates returns the number of ignored bills.
func (l *Ledger) Duplicates() int {
	return l.duplicates
}

// Bills returns the bills in the order in which they were added.
func (l *Ledger) Bills() []Bill {
	list := make([]Bill, len(l.order))
	for i, id := range l.order {
		list[i] = l.bills[id]
	}
	return list
}

// Total returns the sum of the bills of a workspace, or of all workspaces if the
// name is empty.
func (l *Ledger) Total(workspace ticket.WorkspaceName) MicroEuros {
	var total MicroEuros
	for _, bill := range l.bills {
		if workspace == "" || bill.Workspace == workspace {
			total += bill.Cost
		}
	}
	return total
}
