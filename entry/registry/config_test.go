package registry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"foxtailbridge/policy/catalog"
)

// configLog is the orders feed of a store that drops old records, with instances that read it and
// exchange records.
type configLog struct {
	log []Record
	// first is the offset of the first retained record.
	first Offset
	// newest is the newest record of the key "config", or nil if the store has none.
	newest    *Record
	instances []*fixture
}

func newConfigLog(size int) *configLog {
	l := &configLog{}
	for range size {
		l.instances = append(l.instances, newFixture())
	}
	return l
}

func (l *configLog) head() Offset { return Offset(len(l.log)) }

// write appends a record of the configuration; an empty value deletes it.
func (l *configLog) write(value string) {
	r := Record{Feed: FeedOrders, Key: "config", Offset: l.head(), Value: []byte(value), Deleted: value == ""}
	l.log = append(l.log, r)
	l.newest = &r
	if r.Deleted {
		l.newest = nil
	}
}

// read makes an instance read what is new in the log, or a listing if it has read nothing yet or
// the log no longer holds all that is new.
func (l *configLog) read(instance int) {
	i := l.instances[instance]
	head, known := i.Head(FeedOrders)
	from := head.Offset
	if !known || from < l.first {
		l.list(instance)
		return
	}
	i.Merge(Batch{Feed: FeedOrders, Records: l.log[from:], From: from, Head: l.head()})
}

// list makes an instance read the newest record.
func (l *configLog) list(instance int) {
	b := Batch{Feed: FeedOrders, Full: true, Head: l.head()}
	if l.newest != nil {
		b.Records = []Record{*l.newest}
	}
	l.instances[instance].Merge(b)
}

// send makes one instance send another what it lacks.
func (l *configLog) send(from, to int) {
	config := l.instances[to].ConfigID()
	for _, b := range l.instances[from].Since(l.instances[to].Heads(), &config) {
		l.instances[to].Merge(b)
	}
}

// settle lets each instance read the store and exchange with all others.
func (l *configLog) settle() {
	for i := range l.instances {
		l.read(i)
	}
	for range 2 {
		for from := range l.instances {
			for to := range l.instances {
				l.send(from, to)
			}
		}
	}
}

// TestHighestConfiguration guards against a configuration that is replaced by one with a lower
// version because the log or a listing of the store has that one later.
func TestHighestConfiguration(t *testing.T) {
	rows := []struct {
		name   string
		events func(l *configLog)
		// instance is the one whose configuration is checked.
		instance int
		want     ConfigID
	}{
		{"an older version is written late", func(l *configLog) {
			l.write("config 1")
			l.read(0)
			l.write("config 3")
			l.read(0)
			l.write("config 2")
			l.read(0)
		}, 0, ConfigID{Revision: 3, End: 2}},
		{"both are read at once", func(l *configLog) {
			l.write("config 1")
			l.read(0)
			l.write("config 3")
			l.write("config 2")
			l.read(0)
		}, 0, ConfigID{Revision: 3, End: 2}},
		{"a later record of equal version", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("config 3")
			l.read(0)
		}, 0, ConfigID{Revision: 3, End: 2}},
		{"the history has expired, the listing has the older version", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("config 2")
			l.first = l.head()
			l.read(0)
		}, 0, ConfigID{Revision: 3, End: 1}},
		{"the store lost the configuration", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("config 2")
			l.first, l.newest = l.head(), nil
			l.read(0)
		}, 0, ConfigID{Revision: 3, End: 1}},
		{"the store lost everything, its offsets begin anew", func(l *configLog) {
			l.write("config 1")
			l.write("config 1")
			l.write("config 3")
			l.read(0)
			l.log, l.newest = nil, nil
			l.write("config 2")
			l.list(0)
			l.write("config 2")
			l.list(0)
			l.write("config 4")
			l.list(0)
		}, 0, ConfigID{Revision: 4, End: 3}},
		{"an older version from a peer", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("config 2")
			l.list(1)
			l.send(1, 0)
		}, 0, ConfigID{Revision: 3, End: 1}},
		{"a late start with a listing of the older version, same heads", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("config 2")
			l.read(0)
			l.list(1)
			l.send(0, 1)
		}, 1, ConfigID{Revision: 3, End: 1}},
		{"a late start, the peer has not yet read as far", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("config 2")
			l.list(1)
			l.send(0, 1)
		}, 1, ConfigID{Revision: 3, End: 1}},
		{"a late start, by way of a third instance", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("config 2")
			l.read(0)
			l.list(1)
			l.list(2)
			l.send(0, 2)
			l.send(2, 1)
		}, 1, ConfigID{Revision: 3, End: 1}},
		{"a late start, the peer has listed the older version too", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("config 2")
			l.first = l.head()
			l.read(0)
			l.send(0, 1)
		}, 1, ConfigID{Revision: 3, End: 1}},
		{"a late start, the store's record can't be decoded", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("torn")
			l.read(0)
			l.list(1)
			l.send(0, 1)
		}, 1, ConfigID{Revision: 3, End: 1}},
		{"a late start, the store's record is deleted", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("")
			l.read(0)
			l.list(1)
			l.send(0, 1)
		}, 1, ConfigID{Revision: 3, End: 1}},
		{"an older version follows a deletion", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("")
			l.read(0)
			l.write("config 2")
			l.read(0)
		}, 0, ConfigID{Revision: 3, End: 1}},
		{"a deletion is read before the configuration", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("")
			l.instances[1].Merge(Batch{Feed: FeedOrders, Records: l.log[1:], From: 1, Head: 2})
			l.send(0, 1)
		}, 1, ConfigID{Revision: 3, End: 1}},
		{"a record that can't be decoded", func(l *configLog) {
			l.write("config 3")
			l.read(0)
			l.write("torn")
			l.read(0)
		}, 0, ConfigID{Revision: 3, End: 1}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			l := newConfigLog(3)
			row.events(l)
			i := l.instances[row.instance]
			if got := i.ConfigID(); got != row.want {
				t.Errorf("configuration %+v is in force, want %+v", got, row.want)
			}
			if c := i.View().Config; c == nil || c.Revision != row.want.Revision {
				t.Errorf("the view has configuration %+v, want revision %d", c, row.want.Revision)
			}
		})
	}
}

// TestHighestConfigurationInAnyOrder checks that all instances end with the highest configuration
// that any of them or the store has, and that none goes back while it runs, whatever the order of
// writes, losses of the store, reads, exchanges and restarts.
func TestHighestConfigurationInAnyOrder(t *testing.T) {
	t.Run("any order of events", rapid.MakeCheck(func(t *rapid.T) {
		l := newConfigLog(3)
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			instance := rapid.IntRange(0, 2).Draw(t, "instance")
			var before []ConfigID
			for _, i := range l.instances {
				before = append(before, i.ConfigID())
			}
			switch rapid.SampledFrom([]string{"write", "write", "torn", "delete", "read", "list", "send", "send", "compact", "lose", "restart"}).Draw(t, "event") {
			case "write":
				l.write(fmt.Sprint("config ", rapid.IntRange(0, 4).Draw(t, "version")))
			case "torn":
				l.write("torn")
			case "delete":
				l.write("")
			case "read":
				l.read(instance)
			case "list":
				l.list(instance)
			case "send":
				l.send(instance, (instance+rapid.IntRange(1, 2).Draw(t, "to"))%3)
			case "compact":
				l.first = l.head()
			case "lose":
				l.first, l.newest = l.head(), nil
			case "restart":
				l.instances[instance], before[instance] = newFixture(), ConfigID{}
			}
			for n, i := range l.instances {
				if i.ConfigID().Compare(before[n]) < 0 {
					t.Fatalf("instance %d goes back from %+v to %+v", n, before[n], i.ConfigID())
				}
			}
		}
		for n := range l.instances {
			l.read(n)
		}
		want := ConfigID{}
		for _, i := range l.instances {
			if id := i.ConfigID(); id.Compare(want) > 0 {
				want = id
			}
		}
		l.settle()
		for n, i := range l.instances {
			if got := i.ConfigID(); got != want {
				t.Fatalf("instance %d has configuration %+v, want %+v", n, got, want)
			}
			if c := i.View().Config; want.End > 0 && c.Revision != want.Revision || want.End == 0 && c != nil {
				t.Fatalf("the view of instance %d has %+v, want revision %d", n, c, want.Revision)
			}
		}
	}))
}

// TestConfigOfOtherKeys guards against a change to the order of records other than the
// configuration: the latest in the log replaces the one before.
func TestConfigOfOtherKeys(t *testing.T) {
	f := newFixture()
	order := func(offset Offset) Record {
		return Record{Feed: FeedOrders, Key: "rollout/s", Offset: offset, Value: []byte("order")}
	}
	f.Merge(Batch{Feed: FeedOrders, Records: []Record{order(1)}, Head: 2})
	f.Merge(Batch{Feed: FeedOrders, Records: []Record{order(2)}, From: 2, Head: 3})
	f.Merge(Batch{Feed: FeedOrders, Records: []Record{order(1)}, From: 1, Head: 2})
	if got := f.View().Orders["s"].Number; got != 2 {
		t.Errorf("order %d, want 2", got)
	}
	f.Merge(Batch{Feed: FeedOrders, Records: []Record{{Key: "rollout/s", Offset: 3, Deleted: true}}, From: 3, Head: 4})
	f.Merge(Batch{Feed: FeedOrders, Records: []Record{order(2)}, From: 2, Head: 3})
	if got := f.View().Orders["s"]; got != nil {
		t.Errorf("order %d after its deletion", got.Number)
	}
}

// TestIgnoredConfigurationIsLogged guards against an older configuration that is ignored without a
// trace, and against a line for each peer that sends it.
func TestIgnoredConfigurationIsLogged(t *testing.T) {
	var out bytes.Buffer
	f := newFixture()
	f.logger = hclog.New(&hclog.LoggerOptions{Output: &out, Level: hclog.Info})
	record := func(offset Offset, revision catalog.Revision) Record {
		return Record{Feed: FeedOrders, Key: "config", Offset: offset, Value: []byte(fmt.Sprint("config ", revision))}
	}
	f.Merge(Batch{Feed: FeedOrders, Records: []Record{record(0, 1), record(1, 3)}, Head: 2, Source: "store"})
	for _, source := range []string{"store", "peer a", "peer b"} {
		f.Merge(Batch{Feed: FeedOrders, Records: []Record{record(0, 1), record(2, 2)}, Head: 3, Source: source})
	}
	if n := strings.Count(out.String(), "config-ignored"); n != 1 {
		t.Errorf("%d lines, want 1:\n%s", n, out.String())
	}
	if want := "key=config era=0 offset=2 gone=false in-force=3 in-force-era=0 in-force-offset=1 source=store version=2"; !strings.Contains(out.String(), want) {
		t.Errorf("%q is missing in\n%s", want, out.String())
	}
}
