package registry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"foxtailbridge/policy/catalog"
	"foxtailbridge/policy/clock"
)

// decodeNumbered decodes like decode, and "status OUTCOME ORDER-NUMBER" and orders with their numbers.
func decodeNumbered(r *Record) (Object, error) {
	value := string(r.Value)
	switch {
	case strings.HasPrefix(value, "order"):
		return Object{Order: &catalog.Order{Number: r.OrderNumber(), Service: "s", Target: catalog.Release(value)}}, nil
	case strings.HasPrefix(value, "status"):
		s := &Status{Service: "s"}
		_, err := fmt.Sscanf(value, "status %s %d", &s.Outcome, &s.Order)
		return Object{Status: s}, err
	}
	return decode(r)
}

// restorableStore is a store that comes back from copies, and the instances that read it.
type restorableStore struct {
	era       Era
	logs      map[Feed][]Record
	instances []*fixture
	// withoutEras is true if no instance learns of eras, so that offsets alone order records.
	withoutEras bool
}

func newRestorableStore(instances int) *restorableStore {
	s := &restorableStore{era: 1, logs: map[Feed][]Record{}}
	for range instances {
		s.instances = append(s.instances, nil)
		s.start(len(s.instances)-1, 100*clock.Second)
	}
	return s
}

// start starts an instance, which forgets what it knew.
func (s *restorableStore) start(instance int, now clock.Millis) {
	s.instances[instance] = newFixtureAt(now)
	s.instances[instance].Decode = decodeNumbered
}

// write appends a record; an empty value deletes the key.
func (s *restorableStore) write(feed Feed, key, value string) {
	r := Record{Feed: feed, Key: key, Era: s.era, Offset: s.head(feed), Value: []byte(value), Deleted: value == ""}
	if s.withoutEras {
		r.Era = 0
	}
	s.logs[feed] = append(s.logs[feed], r)
}

func (s *restorableStore) head(feed Feed) Offset { return Offset(len(s.logs[feed])) }

// copied returns what the store has now.
func (s *restorableStore) copied() map[Feed][]Record {
	c := map[Feed][]Record{}
	for feed, log := range s.logs {
		c[feed] = slices.Clone(log)
	}
	return c
}

// restore begins a new era with what the copy has.
func (s *restorableStore) restore(c map[Feed][]Record) {
	s.logs = c
	s.era++
	if s.withoutEras {
		return
	}
	for _, log := range s.logs {
		for i := range log {
			log[i].Era = s.era
		}
	}
}

// read makes an instance read a feed as a FeedReader does.
func (s *restorableStore) read(instance int, feed Feed) {
	i := s.instances[instance]
	head, known := i.Head(feed)
	b := Batch{Feed: feed, Era: s.era, Head: s.head(feed), From: head.Offset, Source: "store"}
	if s.withoutEras {
		b.Era = 0
	}
	if !known || head.Era != b.Era || head.Offset > b.Head {
		b.From, b.Full, b.Records = 0, true, newestRecords(s.logs[feed])
	} else {
		b.Records = s.logs[feed][head.Offset:]
	}
	i.Merge(b)
}

func (s *restorableStore) readAll(instance int) {
	for _, feed := range Feeds {
		s.read(instance, feed)
	}
}

// newestRecords returns the newest records of the keys that are not deleted.
func newestRecords(log []Record) []Record {
	var list []Record
	for i, r := range log {
		superseded := slices.ContainsFunc(log[i+1:], func(later Record) bool { return later.Key == r.Key })
		if !superseded && !r.Deleted {
			list = append(list, r)
		}
	}
	return list
}

// send makes one instance send another what it lacks.
func (s *restorableStore) send(from, to int) {
	a, b := s.instances[from], s.instances[to]
	b.MergeRemovals(a.RemovalsSince(0), "peer")
	config := b.ConfigID()
	for _, batch := range a.Since(b.Heads(), &config) {
		b.Merge(batch)
	}
	b.MergeOrderStarts(a.OrderStarts(), "peer")
}

// sleep lets time pass, in which the instances read the store as usual.
func (s *restorableStore) sleep(d clock.Millis) {
	const step = 250 * clock.Millis(1)
	for ; d > 0; d -= step {
		for n, i := range s.instances {
			s.readAll(n)
			i.now += step
			i.RemoveExpired()
		}
	}
}

// describe returns what an instance's view says.
func (s *restorableStore) describe(instance int) string {
	v := s.instances[instance].View()
	var list []string
	if v.Config != nil {
		list = append(list, fmt.Sprint("config ", v.Config.Revision))
	}
	for zone := range v.DrainedZones {
		list = append(list, fmt.Sprint("out ", zone))
	}
	for _, o := range v.Orders {
		list = append(list, fmt.Sprint(o.Target, " number ", o.Number))
	}
	for _, e := range v.Endpoints["s"] {
		list = append(list, fmt.Sprint("endpoint ", e.ID, map[bool]string{true: " leaving"}[e.Draining]))
	}
	for _, st := range v.Statuses {
		list = append(list, fmt.Sprint("status ", st.Outcome, " ", st.Order, " lost ", st.Lost))
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}

// number returns the number of an order that was first written at the position.
func number(era Era, offset Offset) catalog.OrderNumber {
	return (&Record{Era: era, Offset: offset}).OrderNumber()
}

// TestStoreFromOlderCopy guards against an instance that misses what the store holds, or forgets what
// still holds, after the store came back from an older copy and gave out offsets again (CONFIG, EVAC).
func TestStoreFromOlderCopy(t *testing.T) {
	const shortOfGrace = rewriteGrace - clock.Second
	rows := []struct {
		name string
		// events has instance 0 read; instance 1 reads nothing unless events says so.
		events func(s *restorableStore)
		// instance is the one whose view is checked.
		instance int
		want     string
	}{
		{"a configuration gets an offset that was used before", func(s *restorableStore) {
			s.write(FeedOrders, "config", "config 1")
			c := s.copied()
			s.write(FeedOrders, "config", "config 2")
			s.write(FeedOrders, "config", "config 3")
			s.readAll(0)
			s.restore(c)
			s.write(FeedOrders, "config", "config 3")
			s.write(FeedOrders, "config", "config 4")
			s.readAll(0)
		}, 0, "config 4"},
		{"a configuration stays in force although the copy has an older one", func(s *restorableStore) {
			s.write(FeedOrders, "config", "config 1")
			c := s.copied()
			s.write(FeedOrders, "config", "config 2")
			s.readAll(0)
			s.restore(c)
			s.sleep(2 * rewriteGrace)
		}, 0, "config 2"},
		{"a zone drain gets an offset that was used before", func(s *restorableStore) {
			s.write(FeedOrders, "config", "config 1")
			c := s.copied()
			s.write(FeedOrders, "config", "config 2")
			s.write(FeedOrders, "config", "config 3")
			s.readAll(0)
			s.restore(c)
			s.write(FeedOrders, "config", "config 3")
			s.readAll(0)
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
		}, 0, "config 3, out z1"},
		{"the topic has grown beyond the old head before it is read", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "config", "config 1")
			s.readAll(0)
			s.restore(c)
			s.write(FeedOrders, "z1", "out")
			s.write(FeedOrders, "config", "config 1")
			s.write(FeedOrders, "z2", "out")
			s.readAll(0)
		}, 0, "config 1, out z1, out z2"},
		{"a lost zone drain stays in force", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.restore(c)
			s.sleep(shortOfGrace)
		}, 0, "out z1"},
		{"a lost zone drain lapses if it is not written again", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.restore(c)
			s.sleep(2 * rewriteGrace)
		}, 0, ""},
		{"a lost zone drain is written again", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.restore(c)
			s.sleep(clock.Second)
			s.write(FeedOrders, "z1", "out")
			s.sleep(2 * rewriteGrace)
		}, 0, "out z1"},
		{"a lost zone drain is written again and ended", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
			s.write(FeedOrders, "z1", "out")
			s.write(FeedOrders, "z1", "")
			s.readAll(0)
		}, 0, ""},
		{"the end of a zone drain is lost", func(s *restorableStore) {
			s.write(FeedOrders, "z1", "out")
			c := s.copied()
			s.write(FeedOrders, "z1", "")
			s.readAll(0)
			s.restore(c)
			s.sleep(clock.Second)
			s.write(FeedOrders, "z1", "")
			s.readAll(0)
		}, 0, ""},
		{"a lost order keeps its number and is not preceded by the copy's", func(s *restorableStore) {
			s.write(FeedOrders, "o", "order-1")
			s.write(FeedOrders, "z1", "out")
			c := s.copied()
			s.write(FeedOrders, "z2", "out")
			s.readAll(0)
			s.write(FeedOrders, "o", "order-2")
			s.readAll(0)
			s.restore(c)
			s.sleep(shortOfGrace)
		}, 0, fmt.Sprintf("order-2 number %d, out z1, out z2", number(1, 3))},
		{"a lost order is written again at another offset", func(s *restorableStore) {
			s.write(FeedOrders, "o", "order-1")
			c := s.copied()
			s.write(FeedOrders, "z2", "out")
			s.readAll(0)
			s.write(FeedOrders, "o", "order-2")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
			s.write(FeedOrders, "o", "order-2")
			s.write(FeedOrders, "z2", "out")
			s.sleep(2 * rewriteGrace)
		}, 0, fmt.Sprintf("order-2 number %d, out z2", number(1, 2))},
		{"a lost order gives way to the copy's if it is not written again", func(s *restorableStore) {
			s.write(FeedOrders, "o", "order-1")
			c := s.copied()
			s.readAll(0)
			s.write(FeedOrders, "o", "order-2")
			s.readAll(0)
			s.restore(c)
			s.sleep(2 * rewriteGrace)
		}, 0, fmt.Sprintf("order-1 number %d", number(2, 0))},
		{"a new order gets the number of none of an earlier era", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "o", "order-1")
			s.readAll(0)
			s.restore(c)
			s.write(FeedOrders, "o", "order-2")
			s.readAll(0)
		}, 0, fmt.Sprintf("order-2 number %d", number(2, 0))},
		{"an order that the copy has keeps its number", func(s *restorableStore) {
			s.write(FeedOrders, "o", "order-1")
			s.readAll(0)
			s.restore(s.copied())
			s.sleep(2 * rewriteGrace)
		}, 0, fmt.Sprintf("order-1 number %d", number(1, 0))},
		{"an instance that starts after the restore learns an order's number", func(s *restorableStore) {
			s.write(FeedOrders, "o", "order-1")
			s.readAll(0)
			s.restore(s.copied())
			s.readAll(0)
			s.readAll(1)
			s.send(0, 1)
		}, 1, fmt.Sprintf("order-1 number %d", number(1, 0))},
		{"two restores one after the other", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "o", "order-1")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
			c = s.copied()
			s.write(FeedOrders, "o", "order-1")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
			s.write(FeedOrders, "z1", "out")
			s.write(FeedOrders, "o", "order-1")
			s.readAll(0)
		}, 0, fmt.Sprintf("order-1 number %d, out z1", number(1, 0))},
		{"a removed endpoint stays away although the copy has it", func(s *restorableStore) {
			s.write(FeedEndpoints, "a", "1 1 ready")
			s.write(FeedEndpoints, "b", "1 1 ready")
			c := s.copied()
			s.readAll(0)
			s.write(FeedEndpoints, "a", "")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
		}, 0, "endpoint b"},
		{"an endpoint is removed at an offset that was used before", func(s *restorableStore) {
			s.write(FeedEndpoints, "a", "1 1 ready")
			c := s.copied()
			for n := range 8 {
				s.write(FeedEndpoints, "b", fmt.Sprint("1 ", n, " ready"))
			}
			s.readAll(0)
			s.restore(c)
			s.sleep(clock.Second)
			s.write(FeedEndpoints, "b", "1 9 ready")
			s.sleep(3 * clock.Second)
			s.write(FeedEndpoints, "a", "")
			s.readAll(0)
		}, 0, "endpoint b"},
		{"a lost endpoint may write again for some time", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedEndpoints, "a", "1 1 ready")
			s.write(FeedEndpoints, "b", "1 1 ready")
			s.readAll(0)
			s.restore(c)
			s.sleep(clock.Second)
			s.write(FeedEndpoints, "a", "1 1 ready")
			s.sleep(defaultExpiryGrace / 4)
		}, 0, "endpoint a, endpoint b"},
		{"a lost endpoint that doesn't write again is gone", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedEndpoints, "a", "1 1 ready")
			s.write(FeedEndpoints, "b", "1 1 ready")
			s.readAll(0)
			s.restore(c)
			s.sleep(clock.Second)
			s.write(FeedEndpoints, "a", "1 1 ready")
			s.sleep(2 * defaultExpiryGrace)
		}, 0, "endpoint a"},
		{"the copy's older heartbeat doesn't replace a newer one, and its endpoint doesn't lapse", func(s *restorableStore) {
			s.write(FeedEndpoints, "a", "1 1 ready")
			c := s.copied()
			s.write(FeedEndpoints, "a", "1 5 leaving")
			s.readAll(0)
			s.restore(c)
			s.sleep(2 * defaultExpiryGrace)
		}, 0, "endpoint a leaving"},
		{"a lost final status stays, although the copy has the one before", func(s *restorableStore) {
			s.write(FeedOutcomes, "st", "status running 7")
			c := s.copied()
			s.readAll(0)
			s.write(FeedOutcomes, "st", "status completed 7")
			s.readAll(0)
			s.restore(c)
			s.sleep(2 * rewriteGrace)
		}, 0, "status completed 7 lost true"},
		{"a lost final status is written again", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOutcomes, "st", "status completed 7")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
			s.write(FeedOutcomes, "st", "status completed 7")
			s.readAll(0)
		}, 0, "status completed 7 lost false"},
		{"a lost status stays, although the copy has that of an earlier order", func(s *restorableStore) {
			s.write(FeedOutcomes, "st", "status completed 3")
			c := s.copied()
			s.readAll(0)
			s.write(FeedOutcomes, "st", "status running 7")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
		}, 0, "status running 7 lost true"},
		{"a final status of the new era stands", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOutcomes, "st", "status running 7")
			s.readAll(0)
			s.restore(c)
			s.write(FeedOutcomes, "st", "status rolled-back 7")
			s.readAll(0)
		}, 0, "status rolled-back 7 lost false"},
		{"an instance without the store learns the new era from a peer", func(s *restorableStore) {
			s.write(FeedOrders, "config", "config 1")
			c := s.copied()
			s.write(FeedOrders, "config", "config 2")
			s.write(FeedOrders, "config", "config 3")
			s.readAll(0)
			s.readAll(1)
			s.restore(c)
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.send(0, 1)
		}, 1, "config 3, out z1"},
		{"an instance of the old era doesn't bring it back", func(s *restorableStore) {
			s.write(FeedOrders, "z1", "out")
			s.write(FeedOrders, "z2", "out")
			s.write(FeedOrders, "z2", "out")
			s.readAll(0)
			s.readAll(1)
			s.restore(map[Feed][]Record{})
			s.write(FeedOrders, "z1", "out")
			s.write(FeedOrders, "z1", "")
			s.readAll(0)
			s.sleep(2 * rewriteGrace)
			s.send(1, 0)
			s.send(1, 0)
		}, 0, ""},
		{"an instance that starts after the restore learns of a lost zone drain", func(s *restorableStore) {
			s.write(FeedOrders, "config", "config 1")
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
			s.readAll(1)
			s.send(0, 1)
		}, 1, "config 1, out z1"},
		{"an instance that starts without the store learns of a lost zone drain", func(s *restorableStore) {
			s.write(FeedOrders, "config", "config 1")
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
			s.send(0, 1)
		}, 1, "config 1, out z1"},
		{"an instance that has read more than its peer learns of a lost zone drain", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.restore(c)
			s.readAll(0)
			s.write(FeedOrders, "z2", "out")
			s.readAll(1)
			s.send(0, 1)
		}, 1, "out z1, out z2"},
		{"a lapsed zone drain doesn't come back from an instance that learned of the era later", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.read(0, FeedOrders)
			s.read(1, FeedOrders)
			s.restore(c)
			late := s.instances[1]
			s.instances = s.instances[:1]
			s.sleep(rewriteGrace)
			late.now = s.instances[0].now
			s.instances = append(s.instances, late)
			s.readAll(1)
			s.send(1, 0)
		}, 0, ""},
		{"a zone drain that ended in the new era doesn't come back from an instance that didn't read that", func(s *restorableStore) {
			c := s.copied()
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			s.readAll(1)
			s.restore(c)
			s.readAll(0)
			s.readAll(1)
			s.write(FeedOrders, "z1", "out")
			s.write(FeedOrders, "z1", "")
			s.readAll(0)
			s.send(1, 0)
		}, 0, ""},
		{"a configuration that only an instance of the old era has is in force", func(s *restorableStore) {
			s.write(FeedOrders, "config", "config 1")
			c := s.copied()
			s.readAll(0)
			s.write(FeedOrders, "config", "config 2")
			s.readAll(1)
			s.restore(c)
			s.readAll(0)
			s.send(1, 0)
		}, 0, "config 2"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newRestorableStore(2)
			row.events(s)
			if got := s.describe(row.instance); got != row.want {
				t.Errorf("the view has %q, want %q", got, row.want)
			}
		})
	}
}

// drawnStore is a restorableStore whose clients repeat what a restore lost.
type drawnStore struct {
	*restorableStore
	// repeats holds what the clients still have to write again.
	repeats []Record
}

// restoreDrawn goes back to the copy. The operator repeats lost writes.
func (s *drawnStore) restoreDrawn(c map[Feed][]Record) {
	lost := slices.Clone(s.logs[FeedOrders][len(c[FeedOrders]):])
	s.repeats = append(lost, s.repeats...)
	s.restore(c)
}

// repeat writes the newest records again that a restore lost.
func (s *drawnStore) repeat() {
	for i, r := range s.repeats {
		superseded := slices.ContainsFunc(s.repeats[i+1:], func(later Record) bool { return later.Key == r.Key })
		if !superseded {
			s.write(r.Feed, r.Key, string(r.Value))
		}
	}
	s.repeats = nil
}

// drawStore plays drawn writes, restores, reads and exchanges, lets everything settle and returns the
// instances' views and that of an instance that starts then.
func drawStore(t *rapid.T, withoutEras bool) (views []string, fresh string) {
	const size = 3
	s := &drawnStore{restorableStore: newRestorableStore(size)}
	s.withoutEras = withoutEras
	live := map[string]int{}
	revision := 0
	copies := []map[Feed][]Record{s.copied()}
	sequence := 0
	actions := map[string]func(){
		"configuration": func() { s.repeat(); revision++; s.write(FeedOrders, "config", fmt.Sprint("config ", revision)) },
		"zone drain": func() {
			s.repeat()
			s.write(FeedOrders, rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"), rapid.SampledFrom([]string{"out", ""}).Draw(t, "value"))
		},
		"order": func() {
			s.repeat()
			s.write(FeedOrders, "o", rapid.SampledFrom([]string{"order-1", "order-2", "order-3"}).Draw(t, "order"))
		},
		"heartbeat": func() {
			sequence++
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint")
			live[id] = sequence
			s.write(FeedEndpoints, id, fmt.Sprint("1 ", sequence, " ready"))
		},
		"removal": func() {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "endpoint")
			delete(live, id)
			s.write(FeedEndpoints, id, "")
		},
		"copy":    func() { copies = append(copies, s.copied()) },
		"restore": func() { s.restoreDrawn(copies[len(copies)-1]); copies = []map[Feed][]Record{s.copied()} },
		"read":    func() { s.readAll(rapid.IntRange(0, size-1).Draw(t, "reader")) },
		"send": func() {
			s.send(rapid.IntRange(0, size-1).Draw(t, "from"), rapid.IntRange(0, size-1).Draw(t, "to"))
		},
		"start": func() { s.start(rapid.IntRange(0, size-1).Draw(t, "starting"), s.instances[0].now) },
		"wait": func() {
			for _, i := range s.instances {
				i.now += clock.Second / 4
			}
		},
	}
	names := []string{"configuration", "zone drain", "order", "heartbeat", "removal", "copy", "copy", "restore", "restore", "read", "read", "send", "send", "start", "wait"}
	for range rapid.IntRange(8, 40).Draw(t, "actions") {
		actions[rapid.SampledFrom(names).Draw(t, "action")]()
	}
	s.repeat()
	for _, id := range []string{"a", "b", "c"} {
		if _, ok := live[id]; !ok {
			s.write(FeedEndpoints, id, "") // The store drops the entry of an endpoint that writes nothing.
			continue
		}
		sequence++
		s.write(FeedEndpoints, id, fmt.Sprint("1 ", sequence, " ready"))
	}
	s.sleep(2 * rewriteGrace)
	for n := range rapid.IntRange(0, 8).Draw(t, "later writes") {
		s.write(FeedOrders, fmt.Sprint("z", n), "out")
		s.write(FeedEndpoints, fmt.Sprint("d", n), "1 1 ready")
	}
	s.sleep(clock.Second)
	for from := range size {
		for to := range size {
			s.send(from, to)
		}
	}
	s.instances = append(s.instances, nil)
	s.start(size, s.instances[0].now)
	s.readAll(size)
	s.send(0, size)
	for i := range size {
		views = append(views, s.describe(i))
	}
	return views, s.describe(size)
}

// TestAllViewsAreEqualAfterRestores checks that instances end with the view of one that starts
// later, however writes, restores, reads and exchanges are mixed.
func TestAllViewsAreEqualAfterRestores(t *testing.T) {
	t.Run("drawn", rapid.MakeCheck(func(t *rapid.T) {
		views, fresh := drawStore(t, false)
		for i, view := range views {
			if view != fresh {
				t.Fatalf("instance %d has %q, one that starts then %q", i, view, fresh)
			}
		}
	}))
}

// TestOffsetsAloneDontOrderRecords shows that the check of TestAllViewsAreEqualAfterRestores finds an
// order of records that knows no eras.
func TestOffsetsAloneDontOrderRecords(t *testing.T) {
	differ := 0
	for seed := range 200 {
		rapid.Custom(func(t *rapid.T) bool {
			views, fresh := drawStore(t, true)
			if slices.ContainsFunc(views, func(view string) bool { return view != fresh }) {
				differ++
			}
			return true
		}).Example(seed)
	}
	if differ == 0 {
		t.Error("all views are equal although no instance learns of eras")
	}
	t.Logf("views differ in %d of 200 draws", differ)
}

// TestImpossibleErasAreSkipped guards against a malformed message whose era would hide all that follows.
func TestImpossibleErasAreSkipped(t *testing.T) {
	rows := []struct {
		name string
		// era is that of the batch, ofRecord that of its record.
		era, ofRecord Era
	}{
		{"a negative era", -1, -1},
		{"a very high era", MaxEra + 1, 1},
		{"a record with a negative era", 1, -1},
		{"a record of a later era than its batch", 1, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := newRestorableStore(1)
			s.write(FeedOrders, "config", "config 1")
			s.readAll(0)
			s.instances[0].Merge(Batch{Feed: FeedOrders, Era: row.era, Full: true, Head: 5, Records: []Record{{Key: "z9", Era: row.ofRecord, Offset: 3, Value: []byte("out")}}})
			s.write(FeedOrders, "z1", "out")
			s.readAll(0)
			if got, want := s.describe(0), "config 1, out z1"; got != want {
				t.Errorf("the view has %q, want %q", got, want)
			}
		})
	}
}

// TestStatusApplies checks which orders a status belongs to, also when one of the instances knows the
// order by its position in a later era.
func TestStatusApplies(t *testing.T) {
	rows := []struct {
		name         string
		status       Status
		target       catalog.Release
		order        catalog.OrderNumber
		wantsApplies bool
	}{
		{"the same order", Status{Target: "v2", Order: number(1, 5)}, "v2", number(1, 5), true},
		{"a status without a number", Status{Target: "v2"}, "v2", number(3, 5), true},
		{"another target", Status{Target: "v3", Order: number(1, 5)}, "v2", number(1, 5), false},
		{"an earlier order", Status{Target: "v2", Order: number(1, 4)}, "v2", number(1, 5), false},
		{"a later order", Status{Target: "v2", Order: number(1, 6)}, "v2", number(1, 5), false},
		{"the copy has the order", Status{Target: "v2", Order: number(1, 5)}, "v2", number(2, 5), true},
		{"the order was written again at a lower offset", Status{Target: "v2", Order: number(1, 5)}, "v2", number(2, 3), true},
		{"a new order of the later era", Status{Target: "v2", Order: number(1, 5)}, "v2", number(2, 6), false},
		{"an order of an earlier era", Status{Target: "v2", Order: number(2, 5)}, "v2", number(1, 5), false},
		{"a store without eras", Status{Target: "v2", Order: number(0, 5)}, "v2", number(0, 5), true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			if got := row.status.AppliesTo(&catalog.Order{Target: row.target, Number: row.order}); got != row.wantsApplies {
				t.Errorf("applies %t, want %t", got, row.wantsApplies)
			}
		})
	}
}
