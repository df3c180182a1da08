package members

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// DefaultPeriod is how often the list is read.
const DefaultPeriod = 500 * clock.Millis(1)

// Members holds the list as last read; it outlives an outage of the list.
type Members struct {
	// OnListing is called with each list read.
	OnListing func(*platform.Listing)

	self      platform.InstanceID
	directory *platform.Directory
	clock     *clock.Clock
	logger    hclog.Logger

	mu      sync.Mutex
	listing platform.Listing
	failing bool
}

// New returns Members for an instance that knows only the given peers.
func New(self platform.InstanceID, seeds []platform.InstanceListing, d *platform.Directory, c *clock.Clock, logger hclog.Logger) *Members {
	return &Members{
		self:      self,
		directory: d,
		clock:     c,
		logger:    logger.Named("members"),
		listing:   platform.Listing{Instances: seeds},
	}
}

// Run reads the list until ctx ends.
func (m *Members) Run(ctx context.Context) {
	for {
		m.Poll(ctx)
		if m.clock.Sleep(ctx, DefaultPeriod) != nil {
			return
		}
	}
}

// Poll reads the list once and keeps the last one on failure.
func (m *Members) Poll(ctx context.Context) {
	listing, err := m.directory.List(ctx)
	m.noteFailure(err)
	if err != nil {
		return
	}
	slices.SortFunc(listing.Instances, func(a, b platform.InstanceListing) int { return cmp.Compare(a.ID, b.ID) })
	m.mu.Lock()
	m.listing = *listing
	m.mu.Unlock()
	if m.OnListing != nil {
		m.OnListing(listing)
	}
}

func (m *Members) noteFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if failing := err != nil; failing != m.failing {
		m.failing = failing
		m.logger.Warn("list-changed-state", "failing", failing, "error", err)
	}
}

func (m *Members) isLiveOther(l *platform.InstanceListing) bool {
	return l.ID != m.self && l.Presence != platform.PresenceDraining
}

// Peers returns the live instances beside this one.
func (m *Members) Peers() []platform.InstanceListing {
	m.mu.Lock()
	defer m.mu.Unlock()
	var others []platform.InstanceListing
	for _, instance := range m.listing.Instances {
		if m.isLiveOther(&instance) {
			others = append(others, instance)
		}
	}
	return others
}

// Find returns a listed instance, live or leaving.
func (m *Members) Find(id platform.InstanceID) (platform.InstanceListing, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, instance := range m.listing.Instances {
		if instance.ID == id {
			return instance, true
		}
	}
	return platform.InstanceListing{}, false
}

// Position returns this instance's place among the live instances by id.
func (m *Members) Position() rollout.Position {
	return m.position(func(platform.InstanceListing) bool { return true })
}

// ZonePosition returns this instance's place among the live instances of its zone.
func (m *Members) ZonePosition(zone ticket.ZoneName) rollout.Position {
	return m.position(func(l platform.InstanceListing) bool { return l.Zone == zone })
}

func (m *Members) position(counts func(platform.InstanceListing) bool) rollout.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	position := rollout.Position{Instances: 1}
	for _, instance := range m.listing.Instances {
		if !m.isLiveOther(&instance) || !counts(instance) {
			continue
		}
		position.Instances++
		if instance.ID < m.self {
			position.Rank++
		}
	}
	return position
}

// ZoneRank returns this instance's place among the live instances of its zone
// by a weight function, highest first.
func (m *Members) ZoneRank(zone ticket.ZoneName, weight func(platform.InstanceID) uint64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := 0
	own := weight(m.self)
	for _, instance := range m.listing.Instances {
		if instance.Zone == zone && m.isLiveOther(&instance) && weight(instance.ID) > own {
			rank++
		}
	}
	return rank
}
