package mesh

import (
	"context"
	"encoding/json"
	"slices"
	"sync"

	"foxtailbridge/entry/ledger"
	"foxtailbridge/link/peer/peerv1"
	"foxtailbridge/link/platform"
	"foxtailbridge/policy/billing"
	"foxtailbridge/policy/claim"
)

// holdCopies is how many other instances hold a bill that is not in the log.
const holdCopies = 2

// owner names this run of the instance.
func (m *Mesh) owner() ledger.Owner {
	return ledger.Owner(string(m.self) + "#" + m.run)
}

// HoldRemotely asks other instances, two at a time, until holdCopies of them hold the
// bills; it reports whether at least one does.
func (m *Mesh) HoldRemotely(ctx context.Context, bills []billing.Bill) bool {
	request := &peerv1.HoldBillsRequest{Owner: string(m.owner())}
	for _, bill := range bills {
		record, err := json.Marshal(bill)
		if err != nil {
			return false
		}
		request.Hold = append(request.Hold, &peerv1.Bill{RequestId: string(bill.ID), Record: record})
	}
	holders := 0
	for batch := range slices.Chunk(m.holderCandidates(), holdCopies) {
		holders += m.holdAt(ctx, batch, request)
		if holders >= holdCopies {
			break
		}
	}
	return holders > 0
}

// holdAt asks several instances at the same time and returns how many hold all.
func (m *Mesh) holdAt(ctx context.Context, batch []platform.InstanceListing, request *peerv1.HoldBillsRequest) int {
	held := make([]bool, len(batch))
	var done sync.WaitGroup
	for i, other := range batch {
		done.Go(func() {
			answer, err := m.Dial(other).HoldBills(ctx, request)
			m.noteFailure(other.ID, err)
			held[i] = err == nil && int(answer.Accepted) == len(request.Hold)
		})
	}
	done.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	holders := 0
	for i, other := range batch {
		if !held[i] {
			continue
		}
		holders++
		if m.holders[other.ID] == nil {
			m.holders[other.ID] = map[claim.RequestID]bool{}
		}
		for _, bill := range request.Hold {
			m.holders[other.ID][claim.RequestID(bill.RequestId)] = true
		}
	}
	return holders
}

// holderCandidates lists the others: first those that hold bills already, so
// that few instances hold all, last those that did not answer, and of each the
// other zones first.
func (m *Mesh) holderCandidates() []platform.InstanceListing {
	others := m.shuffled()
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := func(l platform.InstanceListing) int {
		rank := 0
		if m.failures[l.ID] {
			rank += 4
		}
		if len(m.holders[l.ID]) == 0 {
			rank += 2
		}
		if l.Zone == m.zone {
			rank++
		}
		return rank
	}
	slices.SortStableFunc(others, func(a, b platform.InstanceListing) int { return rank(a) - rank(b) })
	return others
}

// NotifySettled tells the holders of each bill that it is in the log.
func (m *Mesh) NotifySettled(ctx context.Context, ids []claim.RequestID) {
	settled := map[platform.InstanceID][]string{}
	m.mu.Lock()
	for holder, held := range m.holders {
		for _, id := range ids {
			if held[id] {
				settled[holder] = append(settled[holder], string(id))
				delete(held, id)
			}
		}
		if len(held) == 0 {
			delete(m.holders, holder)
		}
	}
	m.mu.Unlock()
	for holder, list := range settled {
		if other, ok := m.members.Find(holder); ok {
			_, _ = m.Dial(other).HoldBills(ctx, &peerv1.HoldBillsRequest{Owner: string(m.owner()), Settled: list})
		}
	}
}

// RenewHolds tells every holder that this instance lives, and returns the bills of
// holders that do not answer or no longer hold what they took.
func (m *Mesh) RenewHolds(ctx context.Context) []claim.RequestID {
	m.mu.Lock()
	expected := map[platform.InstanceID]int{}
	for holder, held := range m.holders {
		expected[holder] = len(held)
	}
	m.mu.Unlock()
	var lost []claim.RequestID
	for holder, count := range expected {
		if !m.renewAt(ctx, holder, count) {
			lost = append(lost, m.forgetHolder(holder)...)
		}
	}
	return lost
}

func (m *Mesh) renewAt(ctx context.Context, holder platform.InstanceID, count int) bool {
	other, ok := m.members.Find(holder)
	if !ok {
		return false
	}
	answer, err := m.Dial(other).HoldBills(ctx, &peerv1.HoldBillsRequest{Owner: string(m.owner())})
	m.noteFailure(holder, err)
	return err == nil && int(answer.Held) >= count
}

func (m *Mesh) forgetHolder(holder platform.InstanceID) []claim.RequestID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []claim.RequestID
	for id := range m.holders[holder] {
		ids = append(ids, id)
	}
	delete(m.holders, holder)
	return ids
}
