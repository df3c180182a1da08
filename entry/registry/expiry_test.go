package registry

import (
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"foxtailbridge/policy/clock"
)

// fleet is a set of instances that share a clock, a log and the endpoints feed.
type fleet struct {
	instances []*fixture
	log       []Record
}

func newFleet(size int) *fleet {
	f := &fleet{}
	for range size {
		f.instances = append(f.instances, newFixture())
	}
	return f
}

func (f *fleet) sleep(d clock.Millis) {
	for _, i := range f.instances {
		i.now += d
		i.RemoveExpired()
	}
}

// write appends a record to the log; an empty value deletes the key.
func (f *fleet) write(id, value string) {
	f.log = append(f.log, endpointRecord(id, Offset(len(f.log)), value))
}

func (f *fleet) head() Offset { return Offset(len(f.log)) }

// read makes an instance read what is new in the log, or all if it has read nothing yet.
func (f *fleet) read(instance int) {
	i := f.instances[instance]
	head, known := i.Head(FeedEndpoints)
	from := head.Offset
	if !known {
		f.list(instance)
		return
	}
	i.Merge(Batch{Feed: FeedEndpoints, Records: f.log[from:], From: from, Head: f.head()})
}

// newest returns the newest records of the keys that are not deleted.
func (f *fleet) newest() []Record {
	return newestRecords(f.log)
}

// list makes an instance read a listing of all keys.
func (f *fleet) list(instance int) {
	f.instances[instance].Merge(Batch{Feed: FeedEndpoints, Full: true, Head: f.head(), Records: f.newest()})
}

// send makes one instance send another what it lacks.
func (f *fleet) send(from, to int) {
	f.instances[to].MergeRemovals(f.instances[from].RemovalsSince(0), "peer")
	for _, b := range f.instances[from].Since(f.instances[to].Heads(), nil) {
		f.instances[to].Merge(b)
	}
}

// settle lets all instances read the log regularly until all grace periods have ended.
func (f *fleet) settle() {
	for range 8 {
		for i := range f.instances {
			f.read(i)
		}
		f.sleep(500)
	}
}

// TestExpiredEndpointIsRemovedEverywhere guards against a removal that one instance takes for an
// entry that expired during a store outage: it told the others that the endpoint was alive, and
// they kept it, or took it up again, and sent requests there until it ended.
func TestExpiredEndpointIsRemovedEverywhere(t *testing.T) {
	const outage = 6 * clock.Second
	rows := []struct {
		name string
		// tell is called after the outage, in which "a" was removed. Instances 0 and 1 were cut
		// off from the store, and 2 was not.
		tell func(f *fleet)
	}{
		{"another instance that was cut off hears of it from a peer", func(f *fleet) { f.read(0); f.send(0, 1) }},
		{"it hears from a peer, then reads the store", func(f *fleet) { f.read(0); f.send(0, 1); f.read(1) }},
		{"it hears of an endpoint that came back and left", func(f *fleet) {
			f.read(0)
			f.write("a", "1 9 ready")
			f.read(0)
			f.send(0, 1)
			f.sleep(clock.Second)
			f.write("a", "")
		}},
		{"an instance that has removed it hears from one that lists the store", func(f *fleet) { f.list(0); f.send(0, 2); f.send(2, 1) }},
		{"an instance that has removed it hears from one that reads the store", func(f *fleet) { f.read(0); f.send(0, 2); f.send(2, 1) }},
		{"a starting instance hears of it", func(f *fleet) { f.read(0); f.instances[1] = newFixtureAt(f.instances[0].now); f.send(0, 1) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(3)
			f.write("a", "1 1 ready")
			f.write("b", "1 1 ready")
			for i := range f.instances {
				f.read(i)
			}
			for range outage / clock.Second {
				f.sleep(clock.Second)
				f.read(2)
			}
			f.write("a", "")
			f.read(2)
			for range 3 {
				f.sleep(clock.Second)
				f.read(2)
			}
			f.write("b", "1 2 ready")
			row.tell(f)
			if got := f.instances[2].endpointIDs(); got != "b" {
				t.Errorf("instance 2, which was not cut off, uses %q", got)
			}
			f.settle()
			for i := range f.instances {
				if got := f.instances[i].endpointIDs(); got != "b" {
					t.Errorf("instance %d uses %q for good, the store holds %q", i, got, "b")
				}
			}
		})
	}
}

// TestExpiredEndpointIsUsedByStartingInstance guards against an instance that starts right after
// a store outage and knows no endpoints until they have written new entries.
func TestExpiredEndpointIsUsedByStartingInstance(t *testing.T) {
	f := newFleet(2)
	f.write("a", "1 1 ready")
	f.read(0)
	f.sleep(6 * clock.Second)
	f.write("a", "")
	f.read(0)
	f.send(0, 1)
	if got := f.instances[1].endpointIDs(); got != "a" {
		t.Errorf("the instance uses %q, its peer %q", got, f.instances[0].endpointIDs())
	}
	f.sleep(clock.Second)
	f.write("a", "1 2 ready")
	f.settle()
	for i := range f.instances {
		if got := f.instances[i].endpointIDs(); got != "a" {
			t.Errorf("instance %d uses %q after the endpoint wrote a new entry", i, got)
		}
	}
}

// TestGraceStartsWhenStoreReturns guards against an endpoint that leaves shortly after a store
// outage and is used for longer than the time in which entries that expired are written anew.
func TestGraceStartsWhenStoreReturns(t *testing.T) {
	rows := []struct {
		name string
		// removedAfter is the time from the store's return to the removal.
		removedAfter clock.Millis
		suspended    bool
		// usedFor is the time from the removal for which the endpoint is still used.
		usedFor clock.Millis
	}{
		{"removed during the outage", 0, false, 2 * clock.Second},
		{"removed after the outage", 1500, false, 500},
		{"removed late after the outage", 3 * clock.Second, false, 0},
		{"the instance was suspended meanwhile", 3 * clock.Second, true, 2 * clock.Second},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(1)
			f.write("a", "1 1 ready")
			f.read(0)
			f.sleep(6 * clock.Second)
			if row.removedAfter > 0 {
				f.read(0)
				f.sleep(row.removedAfter / 2)
				f.read(0)
				f.sleep(row.removedAfter / 2)
			}
			if row.suspended {
				f.instances[0].MarkStale()
			}
			f.write("a", "")
			f.read(0)
			for used := clock.Millis(0); used < row.usedFor; used += 100 {
				if f.instances[0].endpointIDs() != "a" {
					t.Fatalf("the endpoint is dropped after %d ms, want %d", used, row.usedFor)
				}
				f.sleep(100)
				f.read(0)
			}
			if f.instances[0].endpointIDs() != "" {
				t.Errorf("the endpoint is still used %d ms after its removal", row.usedFor)
			}
		})
	}
}

// TestLeftAndReturnedEndpoint guards against an instance that misses that an endpoint left or came
// back, because the batches which reach it hold only the latest record of each key, and so uses
// an endpoint that is gone, or never again one that lives.
func TestLeftAndReturnedEndpoint(t *testing.T) {
	rows := []struct {
		name     string
		events   func(f *fleet)
		instance int
		want     string
	}{
		{"a listing shows an endpoint as it was before it left and came back", func(f *fleet) {
			f.write("a", "1 1 ready")
			f.read(0)
			f.read(1)
			f.write("a", "")
			f.read(1)
			f.write("a", "1 2 ready")
			f.list(0)
			f.send(0, 1)
		}, 1, "a"},
		{"the same after a store outage", func(f *fleet) {
			f.write("a", "1 1 ready")
			f.list(0)
			f.list(1)
			f.sleep(2600)
			f.write("a", "1 2 ready")
			f.write("a", "")
			f.read(0)
			f.write("a", "1 3 ready")
			f.list(1)
			f.send(1, 0)
		}, 0, "a"},
		{"a peer's listing has a tombstone that is older than the last removal", func(f *fleet) {
			f.write("a", "1 1 ready")
			f.list(0)
			f.write("a", "")
			f.read(0)
			f.write("a", "1 2 ready")
			f.list(1)
			f.write("a", "")
			f.list(2)
			f.send(2, 0)
			f.send(0, 1)
		}, 1, ""},
		{"a peer has no tombstone between two equal records", func(f *fleet) {
			f.write("a", "1 1 ready")
			f.list(0)
			f.write("a", "")
			f.list(2)
			f.write("a", "1 2 ready")
			f.send(0, 1)
			f.read(1)
			f.send(1, 0)
			f.send(0, 2)
		}, 2, "a"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(3)
			row.events(f)
			f.settle()
			if got := f.instances[row.instance].endpointIDs(); got != row.want {
				t.Errorf("the instance uses %q, the store holds %q", got, row.want)
			}
		})
	}
}

// TestRemovalOutlivesListing guards against a removal that an instance which got its records from
// a peer's listing no longer knows, and so does not tell to one that still uses the endpoint.
func TestRemovalOutlivesListing(t *testing.T) {
	f := newFleet(3)
	f.write("a", "1 1 ready")
	f.read(2)
	f.write("a", "")
	f.write("b", "1 1 ready")
	f.list(0)
	f.send(0, 1)
	f.send(1, 2)
	f.settle()
	if got := f.instances[2].endpointIDs(); got != "b" {
		t.Errorf("the instance uses %q, the store holds %q", got, "b")
	}
}

// play plays a drawn event that writes nothing, in a fleet of three. maxSleep is in tenths of a second.
func (f *fleet) play(t *rapid.T, event string, instance, maxSleep int) {
	switch event {
	case "read":
		f.read(instance)
	case "list":
		f.list(instance)
	case "send":
		f.send(instance, (instance+rapid.IntRange(1, 2).Draw(t, "to"))%3)
	case "sleep":
		f.sleep(clock.Millis(rapid.IntRange(1, maxSleep).Draw(t, "sleep") * 100))
	case "restart":
		f.instances[instance] = newFixtureAt(f.instances[instance].now)
	default:
		t.Fatalf("unknown event %q", event)
	}
}

// TestInstancesAgreeWithStore checks that all instances end with the store's endpoints, whatever
// the order of outages, restarts, reads and exchanges between them.
func TestInstancesAgreeWithStore(t *testing.T) {
	t.Run("any order of events", rapid.MakeCheck(func(t *rapid.T) {
		f := newFleet(3)
		sequences := map[string]int{}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			instance := rapid.IntRange(0, 2).Draw(t, "instance")
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "endpoint")
			switch event := rapid.SampledFrom([]string{"beat", "remove", "read", "list", "send", "send", "sleep", "restart"}).Draw(t, "event"); event {
			case "beat":
				sequences[id]++
				f.write(id, "1 "+strconv.Itoa(sequences[id])+" ready")
			case "remove":
				f.write(id, "")
			default:
				f.play(t, event, instance, 30)
			}
		}
		f.settle()
		want := newFixture()
		want.mergeEndpoints(f.head(), f.newest()...)
		for i := range f.instances {
			if got := f.instances[i].endpointIDs(); got != want.endpointIDs() {
				t.Fatalf("instance %d uses %q, the store holds %q", i, got, want.endpointIDs())
			}
		}
	}))
}
