package ticket

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/policy/fault"
)

// ObjectKind names a kind of configuration object.
type ObjectKind string

// Kinds of objects.
const (
	ObjectWorkspace ObjectKind = "workspace"
	ObjectVersion   ObjectKind = "version"
	ObjectRollout   ObjectKind = "roll-out"
	ObjectZone      ObjectKind = "zone"
	ObjectService   ObjectKind = "service"
)

// Entry is the state of one object as of the ticket that set it.
type Entry struct {
	Kind   ObjectKind      `json:"kind"`
	Name   string          `json:"name"`
	Number Number          `json:"number"`
	Offset Offset          `json:"offset"`
	Body   json.RawMessage `json:"body"`
}

// supersedes reports whether e goes before other: the higher ticket number wins,
// and of equal numbers the one that was appended first.
func (e *Entry) supersedes(other *Entry) bool {
	if e.Number != other.Number {
		return e.Number > other.Number
	}
	return e.Offset < other.Offset
}

type objectID struct {
	kind ObjectKind
	name string
}

// Record is what the configuration stream of the log holds: a ticket or a snapshot.
type Record struct {
	// Nonce identifies one append, so that its author recognizes it when reading.
	Nonce    string  `json:"nonce"`
	Ticket   *Ticket `json:"ticket,omitempty"`
	Snapshot []Entry `json:"snapshot,omitempty"`
}

// State is the merged configuration; merging is commutative, associative and idempotent.
// It is safe for concurrent use.
type State struct {
	mu      sync.Mutex
	entries map[objectID]Entry
	view    atomic.Pointer[View]
}

// NewState returns an empty State.
func NewState() *State {
	s := &State{entries: map[objectID]Entry{}}
	s.view.Store(emptyView())
	return s
}

// View returns the current configuration, which never changes once returned.
func (s *State) View() *View {
	return s.view.Load()
}

// ApplyRecord folds a record read at the offset and returns the entries that took effect.
// Records that do not decode or validate are skipped by every instance alike.
func (s *State) ApplyRecord(at Offset, data []byte) ([]Entry, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, fault.New("apply", KindSyntax, "offset %d: %w", at, err)
	}
	entries := record.Snapshot
	if record.Ticket != nil {
		if err := record.Ticket.Validate(); err != nil {
			return nil, fault.New("apply", KindInvalid, "offset %d: %w", at, err)
		}
		entries = record.Ticket.Entries(at)
	}
	return s.Merge(entries), nil
}

// Merge folds entries from the log or from another instance and returns those that took effect.
func (s *State) Merge(entries []Entry) []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []Entry
	digest := s.View().Digest
	for _, e := range entries {
		id := objectID{e.Kind, e.Name}
		current, ok := s.entries[id]
		if ok && !e.supersedes(&current) {
			continue
		}
		if ok {
			digest -= current.digest()
		}
		digest += e.digest()
		s.entries[id] = e
		changed = append(changed, e)
	}
	if len(changed) > 0 {
		s.view.Store(s.View().with(changed, digest))
	}
	return changed
}

// Entries returns the state in a fixed order.
func (s *State) Entries() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Entry, 0, len(s.entries))
	for _, e := range s.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// Digest identifies a state: equal states have equal digests. It is the sum of
// the digests of the entries, so that a change costs the same at any size.
type Digest uint64

func (e *Entry) digest() Digest {
	return Digest(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d/%d", e.Kind, e.Name, e.Number, e.Offset)))
}

// View is an immutable typed form of a State.
type View struct {
	// Digest identifies the state.
	Digest     Digest
	Workspaces map[WorkspaceName]*Workspace
	Versions   map[VersionRef]*ModelVersion
	Rollouts   map[RolloutName]*Rollout
	Zones      map[ZoneName]*Zone
	Services   map[ServiceName]*Service
	numbers    map[objectID]Number
}

func emptyView() *View {
	return &View{
		Workspaces: map[WorkspaceName]*Workspace{},
		Versions:   map[VersionRef]*ModelVersion{},
		Rollouts:   map[RolloutName]*Rollout{},
		Zones:      map[ZoneName]*Zone{},
		Services:   map[ServiceName]*Service{},
		numbers:    map[objectID]Number{},
	}
}

// with returns a copy of the view in which the changed entries are replaced.
func (v *View) with(changed []Entry, digest Digest) *View {
	next := &View{
		Digest:     digest,
		Workspaces: maps.Clone(v.Workspaces),
		Versions:   maps.Clone(v.Versions),
		Rollouts:   maps.Clone(v.Rollouts),
		Zones:      maps.Clone(v.Zones),
		Services:   maps.Clone(v.Services),
		numbers:    maps.Clone(v.numbers),
	}
	for i := range changed {
		next.set(&changed[i])
	}
	return next
}

func (v *View) set(e *Entry) {
	v.numbers[objectID{e.Kind, e.Name}] = e.Number
	switch e.Kind {
	case ObjectWorkspace:
		decode(v.Workspaces, WorkspaceName(e.Name), e.Body)
	case ObjectVersion:
		decode(v.Versions, VersionRef(e.Name), e.Body)
	case ObjectRollout:
		decode(v.Rollouts, RolloutName(e.Name), e.Body)
	case ObjectZone:
		decode(v.Zones, ZoneName(e.Name), e.Body)
	case ObjectService:
		decode(v.Services, ServiceName(e.Name), e.Body)
	}
}

// decode puts the decoded body into a map; an undecodable object becomes unroutable.
func decode[K comparable, T any](m map[K]*T, key K, body []byte) {
	value := new(T)
	if json.Unmarshal(body, value) != nil {
		delete(m, key)
		return
	}
	m[key] = value
}

// ObjectCount returns the number of objects that any ticket has set.
func (v *View) ObjectCount() int {
	return len(v.numbers)
}

// TicketNumber returns the ticket number that set the object, or 0 if none did.
func (v *View) TicketNumber(kind ObjectKind, name string) Number {
	return v.numbers[objectID{kind, name}]
}

// VersionActive reports whether the version is known and not withdrawn.
func (v *View) VersionActive(ref VersionRef) bool {
	version := v.Versions[ref]
	return version != nil && version.State == VersionActive
}

// ZoneInService reports whether the availability zone may get new work; unknown zones may.
func (v *View) ZoneInService(name ZoneName) bool {
	zone := v.Zones[name]
	return zone == nil || zone.State == ZoneInService
}
