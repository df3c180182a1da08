package budget

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDivide guards against shares that together exceed the machine's limits, and against a
// bound that ordinary callers or a single request within the limits run into.
func TestDivide(t *testing.T) {
	Convey("The shares together stay within the machine's limits", t, func() {
		for _, memory := range []Bytes{MinMemory, 136 * MB, 284 * MB, 536 * MB} {
			for _, descriptors := range []int{MinDescriptors, 600, 2870, 4100, 8192} {
				s := Divide(memory, descriptors)
				connections := s.Callers.Connections + s.Callers.Forwarded + s.IdleEndpoints + s.Peers.Connections +
					s.Ready.Connections + s.Metrics.Connections
				So(connections, ShouldBeLessThanOrEqualTo, descriptors-reservedFiles)
				for _, l := range []Limits{s.Callers, s.Peers, s.Ready, s.Metrics} {
					So(l.Connections, ShouldBeGreaterThan, 0)
					So(l.Bytes, ShouldBeGreaterThan, 0)
				}
				live := processBytes + s.Callers.Bytes + s.Callers.Responses + s.Peers.Bytes + s.Ready.Bytes + s.Metrics.Bytes
				So(live, ShouldBeLessThan, memory*9/10)
			}
		}
	})
	Convey("Without limits there are no bounds", t, func() {
		So(Divide(0, 0), ShouldResemble, Shares{})
	})
	Convey("On the smallest machine 300 of the largest ordinary requests run beside 700 idle connections, and nothing is evicted", t, func() {
		const connection, head, body, work = 16 * kb, 10 * kb, 72000, 24 * kb
		b := New(Divide(136*MB, 2870).Callers)
		for range 700 {
			r := &Reservation{}
			victims, ok := b.Open(r, connection, 0)
			So(ok && len(victims) == 0, ShouldBeTrue)
		}
		for range 300 {
			r := &Reservation{}
			victims, ok := b.Open(r, connection, 0)
			So(ok && len(victims) == 0, ShouldBeTrue)
			b.Begin(r, 0)
			victims, ok = b.Reserve(r, head+body, 0)
			So(ok && len(victims) == 0, ShouldBeTrue)
			victims, ok = b.Forward(r, work, 0)
			So(ok && len(victims) == 0, ShouldBeTrue)
		}
	})
	Convey("On the smallest machine one body of 4 MiB, with a third more while it is read, and one header of 16 KB in fields of 5 bytes are served", t, func() {
		b := New(Divide(136*MB, 2870).Callers)
		for _, n := range []Bytes{(4 * MB) * 4 / 3, 16 * kb / 5 * 400 * 2} {
			r := &Reservation{}
			_, ok := b.Open(r, 20*kb, 0)
			So(ok, ShouldBeTrue)
			b.Begin(r, 0)
			_, ok = b.Reserve(r, n, 0)
			So(ok, ShouldBeTrue)
		}
	})
}
