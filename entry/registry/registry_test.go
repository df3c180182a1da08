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

// decode reads test records: "config N", "order", "out", "ID born sequence state", "torn".
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
	f := &fixture{now: 100 * clock.Second}
	f.Registry = New(&clock.Clock{Mono: func() clock.Millis { return f.now }}, hclog.NewNullLogger())
	f.Decode = decode
	return f
}

func endpoint(id string, offset Offset, value string) Record {
	return Record{Feed: FeedEndpoints, Key: id, Offset: offset, Value: []byte(value), Deleted: value == ""}
}

func (f *fixture) endpoints(head Offset, records ...Record) {
	from, _ := f.Head(FeedEndpoints)
	f.Merge(Batch{Feed: FeedEndpoints, Records: records, From: from, Head: head})
}

func (f *fixture) ids() string {
	var list []string
	for _, e := range f.View().Endpoints["s"] {
		list = append(list, string(e.ID))
	}
	return strings.Join(list, " ")
}

// TestMergeInAnyOrder is the property that lets records come from the store or
// from any peer: the view depends on the records alone.
func TestMergeInAnyOrder(t *testing.T) {
	t.Run("any order, any repeats", rapid.MakeCheck(func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "count")
		var log []Record
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
			log = append(log, r)
		}
		inOrder, shuffled := newFixture(), newFixture()
		inOrder.Merge(Batch{Feed: FeedOrders, Records: log, Head: Offset(count)})
		order := rapid.Permutation(log).Draw(t, "order")
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

func TestKnowledge(t *testing.T) {
	Convey("A batch that leaves a gap brings its records but confirms nothing", t, func() {
		f := newFixture()
		f.endpoints(3, endpoint("a", 0, "1 1 ready"))
		f.now += 5 * clock.Second
		f.Merge(Batch{Feed: FeedEndpoints, Records: []Record{endpoint("c", 9, "1 1 ready")}, From: 7, Head: 10})
		head, _ := f.Head(FeedEndpoints)
		So(head, ShouldEqual, 3)
		So(f.ids(), ShouldEqual, "a c")
		So(f.Age(FeedEndpoints), ShouldEqual, 5*clock.Second)
	})
	Convey("Torn and forged entries are skipped, the others hold", t, func() {
		f := newFixture()
		f.endpoints(2, endpoint("a", 0, "1 5 ready"), endpoint("b", 1, "1 1 ready"))
		f.endpoints(4, endpoint("a", 2, "torn"), endpoint("b", 3, "1 2 leaving"))
		So(f.ids(), ShouldEqual, "a b")
		So(f.View().Endpoints["s"][1].Draining, ShouldBeTrue)
	})
	Convey("An old beat changes nothing, a new start under an old id is a new endpoint", t, func() {
		f := newFixture()
		f.endpoints(1, endpoint("a", 0, "1 5 leaving"))
		f.endpoints(2, endpoint("a", 1, "1 4 ready"))
		So(f.View().Endpoints["s"][0].Draining, ShouldBeTrue)
		f.endpoints(3, endpoint("a", 2, "2 1 ready"))
		So(f.View().Endpoints["s"][0].StartedAt, ShouldEqual, 2)
		So(f.View().Endpoints["s"][0].Draining, ShouldBeFalse)
	})
	Convey("Beats that say the same are not passed on", t, func() {
		f := newFixture()
		f.endpoints(1, endpoint("a", 0, "1 1 ready"))
		f.endpoints(9, endpoint("a", 8, "1 2 ready"))
		batches := f.Since(map[Feed]Offset{FeedEndpoints: 1})
		So(batches[0].Head, ShouldEqual, 9)
		So(batches[0].Records, ShouldBeEmpty)
	})
	Convey("An entry that is dropped is gone at once while the store is dependable", t, func() {
		f := newFixture()
		f.endpoints(1, endpoint("a", 0, "1 1 ready"))
		f.endpoints(2, endpoint("a", 1, ""))
		So(f.ids(), ShouldEqual, "")
	})
	Convey("An entry that ran out during an outage has two seconds to come back", t, func() {
		f := newFixture()
		f.endpoints(2, endpoint("a", 0, "1 1 ready"), endpoint("b", 1, "1 1 ready"))
		f.now += 6 * clock.Second
		f.endpoints(4, endpoint("a", 2, ""), endpoint("b", 3, ""))
		So(f.ids(), ShouldEqual, "a b")
		f.now += clock.Second
		f.endpoints(5, endpoint("b", 4, "1 9 ready"))
		f.RemoveExpired()
		So(f.ids(), ShouldEqual, "a b")
		f.now += 1100
		f.endpoints(5)
		f.RemoveExpired()
		So(f.ids(), ShouldEqual, "b")
	})
	Convey("A listing holds against what a peer still has, and drops it there too", t, func() {
		stale, fresh := newFixture(), newFixture()
		stale.endpoints(2, endpoint("a", 0, "1 1 ready"), endpoint("b", 1, "1 1 ready"))
		// a is dropped at the store, offset 2; a starting instance lists the store
		// before a peer's older knowledge arrives.
		fresh.Merge(Batch{Feed: FeedEndpoints, Full: true, Head: 3, Records: []Record{endpoint("b", 1, "1 1 ready")}})
		for _, b := range stale.Since(nil) {
			fresh.Merge(b)
		}
		So(fresh.ids(), ShouldEqual, "b")
		for _, b := range fresh.Since(stale.Heads()) {
			stale.Merge(b)
		}
		So(stale.ids(), ShouldEqual, "b")
		So(stale.Heads()[FeedEndpoints], ShouldEqual, 3)
	})
	Convey("A listing drops what it lacks, unless that is newer than the listing", t, func() {
		f := newFixture()
		f.endpoints(3, endpoint("a", 0, "1 1 ready"), endpoint("b", 2, "1 1 ready"))
		f.Merge(Batch{Feed: FeedEndpoints, Full: true, Head: 2})
		So(f.ids(), ShouldEqual, "b")
	})
	Convey("After a freeze nothing counts as confirmed", t, func() {
		f := newFixture()
		f.endpoints(1)
		f.MarkStale()
		So(f.Age(FeedEndpoints), ShouldEqual, NeverConfirmed)
	})
	Convey("A zone that takes work again stays cold until its endpoints have told", t, func() {
		f := newFixture()
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "z1", Value: []byte("out")}}, Head: 1})
		So(f.View().DrainedZones["z1"], ShouldBeTrue)
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "z1", Offset: 1, Deleted: true}}, From: 1, Head: 2})
		So(f.View().DrainedZones["z1"], ShouldBeFalse)
		So(f.View().ZoneColdUntil["z1"], ShouldBeGreaterThan, f.now)
	})
	Convey("A configuration that is deleted stays in force", t, func() {
		f := newFixture()
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "config", Value: []byte("config 7")}}, Head: 1})
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "config", Offset: 1, Deleted: true}}, From: 1, Head: 2})
		So(f.View().Config.Revision, ShouldEqual, 7)
	})
}

// TestBeginsInAnyOrder is the same property for the times since orders: what is known last
// is the newest order with the largest of the ages told of it, whatever came twice.
func TestBeginsInAnyOrder(t *testing.T) {
	t.Run("any order, any repeats", rapid.MakeCheck(func(t *rapid.T) {
		newest, oldest := Offset(-1), clock.Millis(0)
		var news []OrderStart
		for range rapid.IntRange(1, 10).Draw(t, "count") {
			b := OrderStart{
				Key: "s", Offset: Offset(rapid.IntRange(0, 2).Draw(t, "offset")),
				Age: 4 * OrderStartTolerance * clock.Millis(rapid.IntRange(0, 9).Draw(t, "age")),
			}
			news = append(news, b)
			if b.Offset > newest {
				newest, oldest = b.Offset, 0
			}
			if b.Offset == newest {
				oldest = max(oldest, b.Age)
			}
		}
		f := newFixture()
		take := func(b OrderStart) {
			if rapid.Bool().Draw(t, "record") {
				f.Merge(Batch{Feed: FeedOrders, From: b.Offset, Head: b.Offset + 1, Records: []Record{{Key: b.Key, Offset: b.Offset, Value: []byte("order"), Age: b.Age}}})
				return
			}
			// The store tells no age.
			f.Merge(Batch{Feed: FeedOrders, From: b.Offset, Head: b.Offset + 1, Records: []Record{{Key: b.Key, Offset: b.Offset, Value: []byte("order")}}})
			f.MergeOrderStarts([]OrderStart{b}, "peer")
		}
		for _, b := range append(rapid.Permutation(news).Draw(t, "order"), news[0]) {
			take(b)
		}
		order := f.View().Orders["s"]
		if order.Number != catalog.OrderNumber(newest) || f.now-order.StartedAt != oldest {
			t.Fatalf("order %d of %d ms ago, want %d of %d ms", order.Number, f.now-order.StartedAt, newest, oldest)
		}
	}))
}

func TestBeginsAtRest(t *testing.T) {
	f := newFixture()
	f.Merge(Batch{Feed: FeedOrders, Head: 1, Records: []Record{{Key: "s", Value: []byte("order"), Age: clock.Second}}})
	rows := []struct {
		name    string
		begin   OrderStart
		changed bool
	}{
		{"what is known", OrderStart{Key: "s", Age: clock.Second}, false},
		{"later, by an instance that started anew", OrderStart{Key: "s"}, false},
		{"earlier by less than messages take", OrderStart{Key: "s", Age: clock.Second + OrderStartTolerance}, false},
		{"of another order", OrderStart{Key: "s", Offset: 1, Age: clock.Minute}, false},
		{"of an order that is not known", OrderStart{Key: "r", Age: clock.Minute}, false},
		{"earlier", OrderStart{Key: "s", Age: 2 * clock.Second}, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			before := f.View().Version
			if changed := f.MergeOrderStarts([]OrderStart{row.begin}, "peer"); changed != row.changed || (f.View().Version != before) != row.changed {
				t.Errorf("changed %v, version %d after %d; want changed %v", changed, f.View().Version, before, row.changed)
			}
		})
	}
}
