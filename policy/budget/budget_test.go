package budget

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"foxtailbridge/policy/clock"
)

const kb = 1 << 10

// testBudget opens reservations by name.
type testBudget struct {
	*Budget
	names map[*Reservation]string
}

func newTestBudget(l Limits) *testBudget {
	return &testBudget{New(l), map[*Reservation]string{}}
}

func (b *testBudget) open(name string, now clock.Millis) *Reservation {
	r := &Reservation{}
	b.names[r] = name
	if _, ok := b.Open(r, kb, now); !ok {
		panic("no room for " + name)
	}
	return r
}

func (b *testBudget) nameAll(list []*Reservation) []string {
	var names []string
	for _, r := range list {
		names = append(names, b.names[r])
	}
	return names
}

// request opens a reservation whose request has received and reserved n bytes.
func (b *testBudget) request(name string, n Bytes, begin, progress clock.Millis) *Reservation {
	r := b.open(name, begin)
	b.Begin(r, begin)
	if _, ok := b.Reserve(r, n, begin); !ok {
		panic("no room for " + name)
	}
	b.Progress(r, n, progress)
	return r
}

// TestEvictionOrder guards against evicting a connection whose request runs, or an ordinary
// caller's connection while that of a misbehaving client stays.
func TestEvictionOrder(t *testing.T) {
	const now = 10 * clock.Second
	fill := func(b *testBudget) {
		b.request("forwarded", kb, 0, 0)
		for r, name := range b.names {
			if name == "forwarded" {
				b.Forward(r, 0, 0)
			}
		}
		b.request("stalled", 20*kb, 7000, 8000)
		b.request("stalled longer", 20*kb, 7500, 7600)
		b.request("slow", 20*kb, 0, now-1)
		b.request("fast", 20*kb, now-1, now-1)
		b.open("new", 3000)
		b.open("newer", 5000)
		for name, since := range map[string]clock.Millis{"idle": 4000, "idle longer": 2000} {
			r := b.open(name, 0)
			b.Begin(r, 0)
			b.End(r, since)
		}
	}
	rows := []struct {
		name   string
		limits Limits
		order  []string
	}{
		{"connections", Limits{Connections: 9}, []string{"idle longer", "idle", "new", "newer", "stalled longer", "stalled", "slow"}},
		// A request is evicted for its memory first, and then for the memory of its connection.
		{"memory", Limits{Bytes: 90 * kb}, []string{
			"stalled longer", "stalled", "stalled", "stalled longer", "idle longer", "idle", "new", "newer", "slow", "slow",
		}},
	}
	Convey("Reservations are evicted in order; a forwarded request and one that is as fast as the new one stay", t, func() {
		for _, row := range rows {
			b := newTestBudget(row.limits)
			fill(b)
			var got []string
			for {
				r := &Reservation{}
				connection := Bytes(kb)
				if row.limits.Bytes > 0 {
					connection = b.limits.Bytes - b.usage.Bytes + 1 // One byte too much: it evicts one.
				}
				victims, ok := b.Open(r, connection, now)
				if !ok {
					break
				}
				got = append(got, b.nameAll(victims)...)
				b.Close(r)
				if row.limits.Connections > 0 {
					b.limits.Connections--
				}
			}
			SoMsg(row.name, got, ShouldResemble, row.order)
		}
	})
}

func TestReserve(t *testing.T) {
	Convey("Large requests can't use the part that is set aside for small ones", t, func() {
		b := newTestBudget(Limits{Bytes: 1000 * kb, Large: 500 * kb})
		b.request("large", 400*kb, 0, 0)
		second := b.request("second", 150*kb, 0, 0)
		_, ok := b.Reserve(second, 60*kb, 0)
		So(ok, ShouldBeFalse)
		So(b.Usage().Large, ShouldEqual, 400*kb)
		for range 8 {
			b.request("small", 50*kb, 0, 0)
		}
		Convey("and one that has stalled is evicted for another", func() {
			victims, ok := b.Reserve(second, 60*kb, 2*clock.Second)
			So(ok, ShouldBeTrue)
			So(b.nameAll(victims), ShouldResemble, []string{"large"})
		})
	})
	Convey("A request that is evicted for its memory keeps its connection, which goes first when connections are short", t, func() {
		b := newTestBudget(Limits{Bytes: 100 * kb, Connections: 3})
		stalled := b.request("stalled", 50*kb, 0, 0)
		b.open("idle", 0)
		r := b.request("new", 10*kb, 2000, 2000)
		_, ok := b.Reserve(r, 60*kb, 2000)
		So(ok, ShouldBeTrue)
		So(stalled.Phase(), ShouldEqual, PhaseEnding)
		So(b.Usage(), ShouldResemble, Usage{Bytes: 73 * kb, Connections: 3})
		victims, ok := b.Open(&Reservation{}, kb, 2000)
		So(ok, ShouldBeTrue)
		So(b.nameAll(victims), ShouldResemble, []string{"stalled"})
		So(stalled.Phase(), ShouldEqual, PhaseClosed)
	})
	Convey("A request that can't fit evicts nothing", t, func() {
		b := newTestBudget(Limits{Bytes: 100 * kb})
		b.request("stalled", 20*kb, 0, 0)
		r := b.request("forwarded", 50*kb, 0, 0)
		_, ok := b.Forward(r, 0, 0)
		So(ok, ShouldBeTrue)
		before := b.Usage()
		victims, ok := b.Reserve(b.open("new", 9000), 60*kb, 9000)
		So(ok, ShouldBeFalse)
		So(victims, ShouldBeEmpty)
		before.Connections, before.Bytes = before.Connections+1, before.Bytes+kb
		So(b.Usage(), ShouldResemble, before)
	})
	Convey("A slow request isn't replaced by an even slower one", t, func() {
		b := newTestBudget(Limits{Bytes: 100 * kb})
		b.request("faster", 60*kb, 0, 4999)
		slower := b.request("slower", 30*kb, 0, 4999)
		_, ok := b.Reserve(slower, 20*kb, 5000)
		So(ok, ShouldBeFalse)
	})
	Convey("A connection whose next request has arrived isn't evicted as an idle one", t, func() {
		b := newTestBudget(Limits{Connections: 2})
		arrived := b.open("arrived", 0)
		b.open("idle", 1)
		b.Arrived = func(r *Reservation) bool { return r == arrived }
		victims, ok := b.Open(&Reservation{}, kb, 10)
		So(ok, ShouldBeTrue)
		So(b.nameAll(victims), ShouldResemble, []string{"idle"})
	})
	Convey("The end of a request releases its memory, and a response has a bound of its own", t, func() {
		b := newTestBudget(Limits{Bytes: 100 * kb, Responses: 10 * kb, Forwarded: 1})
		r := b.request("r", 50*kb, 0, 0)
		_, ok := b.Forward(r, 10*kb, 0)
		So(ok, ShouldBeTrue)
		_, ok = b.Forward(b.open("second", 0), kb, 0)
		So(ok, ShouldBeFalse)
		So(b.ReserveResponse(r, 8*kb, 0), ShouldBeTrue)
		So(b.ReserveResponse(r, 8*kb, 0), ShouldBeFalse)
		b.End(r, 1)
		So(b.Usage(), ShouldResemble, Usage{Bytes: 2 * kb, Connections: 2})
		b.Close(r)
		b.Close(r)
		So(b.Usage(), ShouldResemble, Usage{Bytes: kb, Connections: 1})
	})
}

// TestUsage checks on random sequences that the usage is the sum of the open reservations and
// within the limits, and that no forwarded request is evicted.
func TestUsage(t *testing.T) {
	t.Run("random sequences", rapid.MakeCheck(func(t *rapid.T) {
		limits := Limits{Bytes: 1000 * kb, Large: 700 * kb, Responses: 100 * kb, Connections: 12, Forwarded: 5}
		b := New(limits)
		var all []*Reservation
		now := clock.Millis(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 700).Draw(t, "ms"))
			n := Bytes(rapid.IntRange(0, 300).Draw(t, "kb")) * kb
			var r *Reservation
			if len(all) > 0 {
				r = all[rapid.IntRange(0, len(all)-1).Draw(t, "reservation")]
			}
			forwarded := map[*Reservation]bool{}
			for _, other := range all {
				forwarded[other] = other.Phase() == PhaseForwarded
			}
			var victims []*Reservation
			switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
			case action == 0 || r == nil:
				r = &Reservation{}
				all = append(all, r)
				victims, _ = b.Open(r, 10*kb, now)
			case r.Phase() == PhaseClosed:
			case action == 1:
				b.Begin(r, now)
			case action == 2:
				b.Progress(r, n, now)
			case action == 3 && r.Phase() == PhaseActive:
				victims, _ = b.Reserve(r, n, now)
			case action == 4:
				b.Release(r, n)
			case action == 5 && r.Phase() == PhaseActive:
				victims, _ = b.Forward(r, 32*kb, now)
			case action == 6 && r.Phase() == PhaseForwarded:
				b.ReserveResponse(r, n, now)
			case action == 7:
				b.End(r, now)
			case action == 8:
				b.Close(r)
			case action == 9:
				b.Stop(r, now)
			}
			for _, victim := range victims {
				if forwarded[victim] || !victim.ended() {
					t.Fatalf("evicted in phase %s, forwarded %v", victim.Phase(), forwarded[victim])
				}
			}
			var sum Usage
			for _, r := range all {
				if r.Phase() == PhaseClosed {
					continue
				}
				sum.Connections++
				sum.Bytes += r.connection + r.request + r.work
				sum.Responses += r.response
				if r.large() {
					sum.Large += r.request
				}
				if r.Phase() == PhaseForwarded {
					sum.Forwarded++
				}
			}
			if u := b.Usage(); u != sum || u.Bytes > limits.Bytes || u.Large > limits.Large || u.Responses > limits.Responses ||
				u.Connections > limits.Connections || u.Forwarded > limits.Forwarded {
				t.Fatalf("usage %+v, sum %+v, limits %+v", u, sum, limits)
			}
		}
	}))
}

// TestGrowingResponses guards against responses that have taken the whole share together and all
// wait for more, so that none ends.
func TestGrowingResponses(t *testing.T) {
	Convey("Of many responses that grow at the same time one always has room up to its end", t, func() {
		b := newTestBudget(Limits{Responses: 11 * MB})
		sizes := []Bytes{32 * kb, 64 * kb, 128 * kb, 256 * kb}
		type response struct {
			*Reservation
			step int
			held Bytes
		}
		var waiting []*response
		for range 200 {
			r := b.open("r", 0)
			b.Begin(r, 0)
			_, ok := b.Forward(r, 0, 0)
			So(ok, ShouldBeTrue)
			waiting = append(waiting, &response{Reservation: r})
		}
		for len(waiting) > 0 {
			var rest []*response
			grown := 0
			for _, r := range waiting {
				n := sizes[r.step]
				if !b.ReserveResponse(r.Reservation, n, 0) {
					rest = append(rest, r)
					continue
				}
				grown++
				b.ReleaseResponse(r.Reservation, r.held)
				r.step, r.held = r.step+1, n
				if r.step < len(sizes) {
					rest = append(rest, r)
					continue
				}
				b.End(r.Reservation, 0)
			}
			So(b.Usage().Responses, ShouldBeLessThanOrEqualTo, 11*MB)
			So(grown, ShouldBeGreaterThan, 0)
			waiting = rest
		}
		So(b.Usage().Responses, ShouldEqual, 0)
	})
}

// TestNewRequestStays guards against closing a connection whose complete request has just arrived
// and isn't forwarded yet in favour of any newer one.
func TestNewRequestStays(t *testing.T) {
	Convey("A request counts as slow only after some time", t, func() {
		for age := clock.Millis(0); age < headStartTime; age += 5 {
			b := newTestBudget(Limits{Connections: 1})
			b.request("new", kb, 1000, 1000)
			_, ok := b.Open(&Reservation{}, kb, 1000+age)
			SoMsg(age.Duration().String(), ok, ShouldBeFalse)
		}
		b := newTestBudget(Limits{Connections: 1})
		b.request("slow", kb, 1000, 1000)
		_, ok := b.Open(&Reservation{}, kb, 1000+headStartTime)
		So(ok, ShouldBeTrue)
	})
}

// TestRefusedRequestStays guards against closing a connection while the refusal of its request is
// being written: a request that had waited long for an endpoint counted as the slowest one.
func TestRefusedRequestStays(t *testing.T) {
	Convey("The time before a refusal doesn't make a request slow", t, func() {
		b := newTestBudget(Limits{Connections: 2})
		refused := b.request("refused", kb, 0, 0)
		_, ok := b.Forward(refused, 0, 0)
		So(ok, ShouldBeTrue)
		b.request("slow", kb, 4000, 4900)
		b.Refuse(refused, 5000)
		victims, ok := b.Open(&Reservation{}, kb, 5000)
		So(ok, ShouldBeTrue)
		So(b.nameAll(victims), ShouldResemble, []string{"slow"})
	})
}

// TestStoppedBeforeIdle guards against closing the connection of a request that was evicted for its
// memory, and is about to be answered, although idle connections can be closed.
func TestStoppedBeforeIdle(t *testing.T) {
	rows := []struct {
		name    string
		idle    bool
		victims []string
	}{
		{"an idle connection", true, []string{"stalled", "idle"}},
		{"no other connection", false, []string{"stalled", "stalled"}},
	}
	Convey("A request that was evicted for its memory keeps its connection while another can be closed", t, func() {
		for _, row := range rows {
			b := newTestBudget(Limits{Bytes: 30 * kb})
			b.request("stalled", 5*kb, 0, 0)
			if row.idle {
				idle := b.open("idle", 0)
				b.Begin(idle, 0)
				b.End(idle, 1)
			}
			n := b.limits.Bytes - kb // The memory of one connection remains.
			if !row.idle {
				n += kb
			}
			victims, ok := b.Open(&Reservation{}, n, 3000)
			SoMsg(row.name, ok, ShouldBeTrue)
			SoMsg(row.name, b.nameAll(victims), ShouldResemble, row.victims)
		}
	})
}

// TestUnreadProgress guards against evicting every upload after the process was paused: none has
// made progress, but their data waits to be read.
func TestUnreadProgress(t *testing.T) {
	Convey("A request whose data waits to be read hasn't stalled", t, func() {
		b := newTestBudget(Limits{Bytes: 40 * kb})
		paused := b.request("paused", 10*kb, 0, 0)
		b.request("stalled", 10*kb, 0, 100)
		b.Arrived = func(r *Reservation) bool { return r == paused }
		victims, ok := b.Open(&Reservation{}, 20*kb, 2000)
		So(ok, ShouldBeTrue)
		So(b.nameAll(victims), ShouldResemble, []string{"stalled"})
		Convey("but it may be evicted as a slow one, after the connection of the stalled one", func() {
			b.Arrived = func(r *Reservation) bool { return true }
			r := b.request("fast", 0, 2000, 2000)
			victims, ok := b.Reserve(r, 9*kb, 2000)
			So(ok, ShouldBeTrue)
			So(b.nameAll(victims), ShouldResemble, []string{"stalled", "paused"})
		})
	})
}
