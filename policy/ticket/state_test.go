package ticket

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func zoneTicket(number Number, state ZoneState) *Ticket {
	return &Ticket{Number: number, Author: "op", Zones: []Zone{{Name: "a", State: state}}}
}

// drawEntries makes the entries of a log in which operators race: numbers repeat.
func drawEntries(t *rapid.T) []Entry {
	var entries []Entry
	for offset := range rapid.IntRange(1, 12).Draw(t, "records") {
		number := Number(rapid.IntRange(1, 4).Draw(t, "number"))
		zone := ZoneName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
		state := rapid.SampledFrom([]ZoneState{ZoneInService, ZoneOutOfService}).Draw(t, "state")
		t := Ticket{Number: number, Author: fmt.Sprint("op", offset), Zones: []Zone{{Name: zone, State: state}}}
		entries = append(entries, t.Entries(Offset(offset))...)
	}
	return entries
}

// lastWriter is the naive rule: whatever arrives last is in force.
func lastWriter(entries []Entry) string {
	state := map[string]string{}
	for _, e := range entries {
		state[e.Name] = string(e.Body)
	}
	return fmt.Sprint(state)
}

func merged(entries []Entry) string {
	s := NewState()
	for _, e := range entries {
		s.Merge([]Entry{e})
	}
	data, _ := json.Marshal(s.Entries())
	return string(data)
}

func TestMergeIsASemilattice(t *testing.T) {
	t.Run("any order, any repetition, any path", rapid.MakeCheck(func(t *rapid.T) {
		entries := drawEntries(t)
		want := merged(entries)
		shuffled := rapid.Permutation(entries).Draw(t, "order")
		repeated := append(slices.Clone(shuffled), rapid.Permutation(entries).Draw(t, "again")...)
		if got := merged(repeated); got != want {
			t.Fatalf("order changes the state: %s and %s", want, got)
		}
		half := rapid.IntRange(0, len(entries)).Draw(t, "split")
		left, right := NewState(), NewState()
		left.Merge(entries[:half])
		right.Merge(entries[half:])
		left.Merge(right.Entries())
		right.Merge(left.Entries())
		if left.View().Digest != right.View().Digest {
			t.Fatal("two states that merged each other differ")
		}
	}))
	t.Run("never reverts", rapid.MakeCheck(func(t *rapid.T) {
		s := NewState()
		highest := map[string]Number{}
		for _, e := range rapid.Permutation(drawEntries(t)).Draw(t, "order") {
			s.Merge([]Entry{e})
			highest[e.Name] = max(highest[e.Name], e.Number)
			if got := s.View().TicketNumber(e.Kind, e.Name); got != highest[e.Name] {
				t.Fatalf("%s is at ticket %d after %d was in force", e.Name, got, highest[e.Name])
			}
		}
	}))
	Convey("The naive rule, last writer wins, depends on the order", t, func() {
		first := zoneTicket(2, ZoneOutOfService).Entries(0)[0]
		late := zoneTicket(1, ZoneInService).Entries(1)[0]
		So(lastWriter([]Entry{first, late}), ShouldNotEqual, lastWriter([]Entry{late, first}))
		So(merged([]Entry{first, late}), ShouldEqual, merged([]Entry{late, first}))
	})
}

func TestRecords(t *testing.T) {
	Convey("The first ticket of a number is in force, also after its append was repeated", t, func() {
		s := NewState()
		for offset, ticket := range []*Ticket{zoneTicket(1, ZoneOutOfService), zoneTicket(1, ZoneInService), zoneTicket(1, ZoneOutOfService)} {
			data, _ := json.Marshal(Record{Nonce: fmt.Sprint(offset), Ticket: ticket})
			_, err := s.ApplyRecord(Offset(offset), data)
			So(err, ShouldBeNil)
		}
		So(s.View().ZoneInService("a"), ShouldBeFalse)
	})
	Convey("A snapshot older than the state changes nothing", t, func() {
		old, s := NewState(), NewState()
		old.Merge(zoneTicket(1, ZoneInService).Entries(0))
		s.Merge(zoneTicket(2, ZoneOutOfService).Entries(1))
		data, _ := json.Marshal(Record{Snapshot: old.Entries()})
		changed, err := s.ApplyRecord(7, data)
		So(err, ShouldBeNil)
		So(changed, ShouldBeEmpty)
		So(s.View().ZoneInService("a"), ShouldBeFalse)
	})
	Convey("Records that do not decode or validate are skipped", t, func() {
		s := NewState()
		for _, data := range []string{"{", `{"ticket":{"ticket":0,"author":"x","zones":[{"name":"a","state":"out"}]}}`} {
			_, err := s.ApplyRecord(0, []byte(data))
			So(err, ShouldNotBeNil)
		}
		So(s.View().ObjectCount(), ShouldEqual, 0)
	})
}

// BenchmarkReplay measures how a fresh instance's start grows with the records it reads.
func BenchmarkReplay(b *testing.B) {
	for _, count := range []int{100, 1000, 5000} {
		b.Run(fmt.Sprintf("tickets-%d", count), func(b *testing.B) {
			records := make([][]byte, count)
			for i := range records {
				ticket := &Ticket{Number: Number(i + 1), Author: "op", Zones: []Zone{{Name: ZoneName(fmt.Sprint("z", i%200)), State: ZoneInService}}}
				records[i], _ = json.Marshal(Record{Ticket: ticket})
			}
			for b.Loop() {
				s := NewState()
				for i, data := range records {
					if _, err := s.ApplyRecord(Offset(i), data); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
