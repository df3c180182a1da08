package registry

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/routing"
	"foxtailbridge/policy/ticket"
)

// decode decodes the values of test records: "config N", "order", "out" (a drained zone),
// "STARTED-AT SEQUENCE STATE" (an endpoint) or "torn", which is an error.
func decode(r *Record) (Object, error) {
	f := strings.Fields(string(r.Value))
	switch {
	case f[0] == "torn":
		return Object{}, errors.New("torn")
	case f[0] == "config":
		n, _ := strconv.Atoi(f[1])
		return Object{Config: catalog.NewConfig(catalog.Revision(n), nil, nil, nil, false, catalog.Limits{})}, nil
	case f[0] == "order":
		return Object{Order: &catalog.Order{Number: catalog.OrderNumber(r.Offset), Service: "s"}}, nil
	case f[0] == "out":
		return Object{ZoneOut: ticket.ZoneName(r.Key)}, nil
	}
	born, _ := strconv.Atoi(f[0])
	sequence, _ := strconv.Atoi(f[1])
	return Object{Endpoint: &catalog.Endpoint{
		ID: routing.EndpointID(r.Key), StartedAt: clock.Millis(born), Sequence: int64(sequence), Service: "s", Slots: 1, Draining: f[2] == "leaving",
	}}, nil
}

type fixture struct {
	*Registry
	now clock.Millis
}

func newFixture() *fixture {
	return newFixtureAt(100 * clock.Second)
}

func newFixtureAt(now clock.Millis) *fixture {
	f := &fixture{now: now}
	f.Registry = New(&clock.Clock{Mono: func() clock.Millis { return f.now }}, hclog.NewNullLogger())
	f.Decode = decode
	return f
}

func endpointRecord(id string, offset Offset, value string) Record {
	return Record{Feed: FeedEndpoints, Key: id, Offset: offset, Value: []byte(value), Deleted: value == ""}
}

func (f *fixture) mergeEndpoints(head Offset, records ...Record) {
	known, _ := f.Head(FeedEndpoints)
	f.Merge(Batch{Feed: FeedEndpoints, Records: records, Era: known.Era, From: known.Offset, Head: head})
}

func (f *fixture) endpointIDs() string {
	var list []string
	for _, e := range f.View().Endpoints["s"] {
		list = append(list, string(e.ID))
	}
	return strings.Join(list, " ")
}

// TestMergeInAnyOrder checks that the view depends only on the set of records merged, not on
// their order or on duplicates. Records can therefore come from the store or from any peer.
func TestMergeInAnyOrder(t *testing.T) {
	t.Run("any order with duplicates", rapid.MakeCheck(func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "count")
		var records []Record
		for i := range count {
			key := rapid.SampledFrom([]string{"config", "z1", "z2"}).Draw(t, "key")
			r := Record{Feed: FeedOrders, Key: key, Offset: Offset(i)}
			switch {
			case key == "config":
				r.Value = []byte("config " + strconv.Itoa(i))
			case rapid.Bool().Draw(t, "gone"):
				r.Deleted = true
			default:
				r.Value = []byte("out")
			}
			records = append(records, r)
		}
		inOrder, shuffled := newFixture(), newFixture()
		inOrder.Merge(Batch{Feed: FeedOrders, Records: records, Head: Offset(count)})
		order := rapid.Permutation(records).Draw(t, "order")
		for _, r := range append(order, order[0]) {
			shuffled.Merge(Batch{Feed: FeedOrders, Records: []Record{r}, From: r.Offset, Head: r.Offset + 1})
		}
		a, b := inOrder.View(), shuffled.View()
		if (a.Config == nil) != (b.Config == nil) || a.Config != nil && a.Config.Revision != b.Config.Revision {
			t.Fatal("configurations differ")
		}
		if len(a.DrainedZones) != len(b.DrainedZones) || a.DrainedZones["z1"] != b.DrainedZones["z1"] {
			t.Fatalf("zones differ: %v %v", a.DrainedZones, b.DrainedZones)
		}
	}))
}

func TestMerge(t *testing.T) {
	Convey("A batch after a gap adds its records but neither moves the head nor confirms the feed", t, func() {
		f := newFixture()
		f.mergeEndpoints(3, endpointRecord("a", 0, "1 1 ready"))
		f.now += 5 * clock.Second
		f.Merge(Batch{Feed: FeedEndpoints, Records: []Record{endpointRecord("c", 9, "1 1 ready")}, From: 7, Head: 10})
		head, _ := f.Head(FeedEndpoints)
		So(head.Offset, ShouldEqual, 3)
		So(f.endpointIDs(), ShouldEqual, "a c")
		So(f.Age(FeedEndpoints), ShouldEqual, 5*clock.Second)
	})
	Convey("Undecodable entries are skipped, the others are merged", t, func() {
		f := newFixture()
		f.mergeEndpoints(2, endpointRecord("a", 0, "1 5 ready"), endpointRecord("b", 1, "1 1 ready"))
		f.mergeEndpoints(4, endpointRecord("a", 2, "torn"), endpointRecord("b", 3, "1 2 leaving"))
		So(f.endpointIDs(), ShouldEqual, "a b")
		So(f.View().Endpoints["s"][1].Draining, ShouldBeTrue)
	})
	Convey("An old heartbeat is ignored, a later start with the same ID replaces the endpoint", t, func() {
		f := newFixture()
		f.mergeEndpoints(1, endpointRecord("a", 0, "1 5 leaving"))
		f.mergeEndpoints(2, endpointRecord("a", 1, "1 4 ready"))
		So(f.View().Endpoints["s"][0].Draining, ShouldBeTrue)
		f.mergeEndpoints(3, endpointRecord("a", 2, "2 1 ready"))
		So(f.View().Endpoints["s"][0].StartedAt, ShouldEqual, 2)
		So(f.View().Endpoints["s"][0].Draining, ShouldBeFalse)
	})
	Convey("Heartbeats with unchanged content are not passed on to peers", t, func() {
		f := newFixture()
		f.mergeEndpoints(1, endpointRecord("a", 0, "1 1 ready"))
		f.mergeEndpoints(9, endpointRecord("a", 8, "1 2 ready"))
		batches := f.Since(map[Feed]Position{FeedEndpoints: {Offset: 1}}, nil)
		So(batches[0].Head, ShouldEqual, 9)
		So(batches[0].Records, ShouldBeEmpty)
	})
	Convey("A deleted entry is removed at once while the store is available", t, func() {
		f := newFixture()
		f.mergeEndpoints(1, endpointRecord("a", 0, "1 1 ready"))
		f.mergeEndpoints(2, endpointRecord("a", 1, ""))
		So(f.endpointIDs(), ShouldEqual, "")
	})
	Convey("An entry that expired during a store outage has a grace period of two seconds", t, func() {
		f := newFixture()
		f.mergeEndpoints(2, endpointRecord("a", 0, "1 1 ready"), endpointRecord("b", 1, "1 1 ready"))
		f.now += 6 * clock.Second
		f.mergeEndpoints(4, endpointRecord("a", 2, ""), endpointRecord("b", 3, ""))
		So(f.endpointIDs(), ShouldEqual, "a b")
		f.now += clock.Second
		f.mergeEndpoints(5, endpointRecord("b", 4, "1 9 ready"))
		f.RemoveExpired()
		So(f.endpointIDs(), ShouldEqual, "a b")
		f.now += 1100
		f.mergeEndpoints(5)
		f.RemoveExpired()
		So(f.endpointIDs(), ShouldEqual, "b")
	})
	Convey("A full listing overrides a peer's older records and deletes them at the peer", t, func() {
		stale, fresh := newFixture(), newFixture()
		stale.mergeEndpoints(2, endpointRecord("a", 0, "1 1 ready"), endpointRecord("b", 1, "1 1 ready"))
		// "a" is deleted at the store at offset 2. A starting instance lists the store
		// before the peer's older records arrive.
		fresh.Merge(Batch{Feed: FeedEndpoints, Full: true, Head: 3, Records: []Record{endpointRecord("b", 1, "1 1 ready")}})
		for _, b := range stale.Since(nil, nil) {
			fresh.Merge(b)
		}
		So(fresh.endpointIDs(), ShouldEqual, "b")
		for _, b := range fresh.Since(stale.Heads(), nil) {
			stale.Merge(b)
		}
		So(stale.endpointIDs(), ShouldEqual, "b")
		So(stale.Heads()[FeedEndpoints].Offset, ShouldEqual, 3)
	})
	Convey("A full listing deletes the keys it lacks, unless they are newer than the listing", t, func() {
		f := newFixture()
		f.mergeEndpoints(3, endpointRecord("a", 0, "1 1 ready"), endpointRecord("b", 2, "1 1 ready"))
		f.Merge(Batch{Feed: FeedEndpoints, Full: true, Head: 2})
		So(f.endpointIDs(), ShouldEqual, "b")
	})
	Convey("After the process was suspended no feed counts as confirmed", t, func() {
		f := newFixture()
		f.mergeEndpoints(1)
		f.MarkStale()
		So(f.Age(FeedEndpoints), ShouldEqual, NeverConfirmed)
	})
	Convey("The endpoints of a zone count as cold for a while after its drain ends", t, func() {
		f := newFixture()
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "z1", Value: []byte("out")}}, Head: 1})
		So(f.View().DrainedZones["z1"], ShouldBeTrue)
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "z1", Offset: 1, Deleted: true}}, From: 1, Head: 2})
		So(f.View().DrainedZones["z1"], ShouldBeFalse)
		So(f.View().ZoneColdUntil["z1"], ShouldBeGreaterThan, f.now)
	})
	Convey("A deleted configuration stays in force", t, func() {
		f := newFixture()
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "config", Value: []byte("config 7")}}, Head: 1})
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "config", Offset: 1, Deleted: true}}, From: 1, Head: 2})
		So(f.View().Config.Revision, ShouldEqual, 7)
	})
}

// TestOrderStartsInAnyOrder checks that the result of merging order starts does not depend on
// their order or on duplicates: it is the newest order with the largest age reported for it.
func TestOrderStartsInAnyOrder(t *testing.T) {
	t.Run("any order with duplicates", rapid.MakeCheck(func(t *rapid.T) {
		newest, maxAge := Offset(-1), clock.Millis(0)
		var starts []OrderStart
		for range rapid.IntRange(1, 10).Draw(t, "count") {
			b := OrderStart{
				Key: "s", Offset: Offset(rapid.IntRange(0, 2).Draw(t, "offset")),
				Age: 4 * OrderStartTolerance * clock.Millis(rapid.IntRange(0, 9).Draw(t, "age")),
			}
			starts = append(starts, b)
			if b.Offset > newest {
				newest, maxAge = b.Offset, 0
			}
			if b.Offset == newest {
				maxAge = max(maxAge, b.Age)
			}
		}
		f := newFixture()
		merge := func(b OrderStart) {
			if rapid.Bool().Draw(t, "record") {
				f.Merge(Batch{Feed: FeedOrders, From: b.Offset, Head: b.Offset + 1, Records: []Record{{Key: b.Key, Offset: b.Offset, Value: []byte("order"), Age: b.Age}}})
				return
			}
			// Records read from the store have no age.
			f.Merge(Batch{Feed: FeedOrders, From: b.Offset, Head: b.Offset + 1, Records: []Record{{Key: b.Key, Offset: b.Offset, Value: []byte("order")}}})
			f.MergeOrderStarts([]OrderStart{b}, "peer")
		}
		for _, b := range append(rapid.Permutation(starts).Draw(t, "order"), starts[0]) {
			merge(b)
		}
		order := f.View().Orders["s"]
		if order.Number != catalog.OrderNumber(newest) || f.now-order.StartedAt != maxAge {
			t.Fatalf("order %d started %d ms ago, want order %d, started %d ms ago", order.Number, f.now-order.StartedAt, newest, maxAge)
		}
	}))
}

// TestOrderStartsSettle checks that only an earlier start of the known order changes the view.
// Adopting any other would have instances update each other forever.
func TestOrderStartsSettle(t *testing.T) {
	f := newFixture()
	f.Merge(Batch{Feed: FeedOrders, Head: 1, Records: []Record{{Key: "s", Value: []byte("order"), Age: clock.Second}}})
	rows := []struct {
		name    string
		start   OrderStart
		changed bool
	}{
		{"same as known", OrderStart{Key: "s", Age: clock.Second}, false},
		{"later, from an instance that restarted", OrderStart{Key: "s"}, false},
		{"earlier by no more than the tolerance", OrderStart{Key: "s", Age: clock.Second + OrderStartTolerance}, false},
		{"of another order", OrderStart{Key: "s", Offset: 1, Age: clock.Minute}, false},
		{"of an unknown order", OrderStart{Key: "r", Age: clock.Minute}, false},
		{"earlier", OrderStart{Key: "s", Age: 2 * clock.Second}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			before := f.View().Version
			if changed := f.MergeOrderStarts([]OrderStart{row.start}, "peer"); changed != row.changed || (f.View().Version != before) != row.changed {
				t.Errorf("changed %v, version %d after %d; want changed %v", changed, f.View().Version, before, row.changed)
			}
		})
	}
}
