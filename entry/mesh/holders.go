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

// targetHolders is the desired number of peers that hold a copy of a bill until it
// is in the log.
const targetHolders = 2

// ownerID identifies this run of the instance, so that peers can tell it from
// an earlier one.
func (m *Mesh) ownerID() ledger.Owner {
	return ledger.Owner(string(m.self) + "#" + m.runID)
}

// HoldRemotely asks peers, targetHolders at a time, to hold the bills until
// targetHolders of them do. It reports whether at least one peer holds them all.
func (m *Mesh) HoldRemotely(ctx context.Context, bills []billing.Bill) bool {
	request := &peerv1.HoldBillsRequest{Owner: string(m.ownerID())}
	for _, bill := range bills {
		record, err := json.Marshal(bill)
		if err != nil {
			return false
		}
		request.Hold = append(request.Hold, &peerv1.Bill{RequestId: string(bill.ID), Record: record})
	}
	holders := 0
	for batch := range slices.Chunk(m.holderCandidates(), targetHolders) {
		holders += m.holdOnPeers(ctx, batch, request)
		if holders >= targetHolders {
			break
		}
	}
	return holders > 0
}

// holdOnPeers asks the peers concurrently and returns how many of them hold every bill.
func (m *Mesh) holdOnPeers(ctx context.Context, peers []platform.InstanceListing, request *peerv1.HoldBillsRequest) int {
	held := make([]bool, len(peers))
	var done sync.WaitGroup
	for i, target := range peers {
		done.Go(func() {
			response, err := m.Dial(target).HoldBills(ctx, request)
			m.recordResult(target.ID, err)
			held[i] = err == nil && int(response.Accepted) == len(request.Hold)
		})
	}
	done.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	holders := 0
	for i, target := range peers {
		if !held[i] {
			continue
		}
		holders++
		if m.holders[target.ID] == nil {
			m.holders[target.ID] = map[claim.RequestID]bool{}
		}
		for _, bill := range request.Hold {
			m.holders[target.ID][claim.RequestID(bill.RequestId)] = true
		}
	}
	return holders
}

// holderCandidates returns the peers in order of preference. Peers that already hold
// bills come first, which keeps the number of holders small, and peers whose last
// call failed come last. Within each group, peers in other zones come first.
func (m *Mesh) holderCandidates() []platform.InstanceListing {
	peers := m.shuffledPeers()
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
	slices.SortStableFunc(peers, func(a, b platform.InstanceListing) int { return rank(a) - rank(b) })
	return peers
}

// NotifySettled tells the holders of each bill that it is in the log and can be released.
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
			_, _ = m.Dial(other).HoldBills(ctx, &peerv1.HoldBillsRequest{Owner: string(m.ownerID()), Settled: list})
		}
	}
}

// RenewHolds sends a heartbeat to every holder. It returns the bills of those holders
// that did not respond or hold fewer bills than they accepted.
func (m *Mesh) RenewHolds(ctx context.Context) []claim.RequestID {
	m.mu.Lock()
	expected := map[platform.InstanceID]int{}
	for holder, held := range m.holders {
		expected[holder] = len(held)
	}
	m.mu.Unlock()
	var lost []claim.RequestID
	for holder, count := range expected {
		if !m.renewHold(ctx, holder, count) {
			lost = append(lost, m.removeHolder(holder)...)
		}
	}
	return lost
}

func (m *Mesh) renewHold(ctx context.Context, holder platform.InstanceID, minHeld int) bool {
	other, ok := m.members.Find(holder)
	if !ok {
		return false
	}
	response, err := m.Dial(other).HoldBills(ctx, &peerv1.HoldBillsRequest{Owner: string(m.ownerID())})
	m.recordResult(holder, err)
	return err == nil && int(response.Held) >= minHeld
}

func (m *Mesh) removeHolder(holder platform.InstanceID) []claim.RequestID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []claim.RequestID
	for id := range m.holders[holder] {
		ids = append(ids, id)
	}
	delete(m.holders, holder)
	return ids
}
