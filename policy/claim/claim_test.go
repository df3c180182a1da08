package claim

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

func TestTable(t *testing.T) {
	claimed := Record{Kind: RecordClaim, ID: "r", Nonce: "a", Instance: "one", Digest: "d"}
	done := Record{Kind: RecordDone, ID: "r", Nonce: "a", Outcome: &Outcome{State: StateAnswered, Status: 200}}
	Convey("The first record of an id holds it, and only its nonce ends it", t, func() {
		table := NewTable()
		table.Apply(1, 10, claimed)
		table.Apply(2, 11, Record{Kind: RecordClaim, ID: "r", Nonce: "b", Instance: "two"})
		table.Apply(3, 12, Record{Kind: RecordDone, ID: "r", Nonce: "b", Outcome: &Outcome{State: StateNotRun}})
		holding, _ := table.Lookup("r")
		So(holding.Instance, ShouldEqual, "one")
		So(holding.Outcome.State, ShouldEqual, StateRunning)
		table.Apply(4, 13, done)
		table.Apply(5, 14, Record{Kind: RecordDone, ID: "r", Nonce: "a", Outcome: &Outcome{State: StateUnknown}})
		holding, _ = table.Lookup("r")
		So(holding.Outcome.State, ShouldEqual, StateAnswered)
	})
	Convey("A refusal that comes first closes the id, one that comes second does not", t, func() {
		table := NewTable()
		refusal := Record{Kind: RecordRefuse, ID: "r", Nonce: "x"}
		table.Apply(1, 10, refusal)
		table.Apply(2, 11, claimed)
		holding, _ := table.Lookup("r")
		So(holding.Outcome.State, ShouldEqual, StateNotRun)
		second := NewTable()
		second.Apply(1, 10, claimed)
		second.Apply(2, 11, refusal)
		holding, _ = second.Lookup("r")
		So(holding.Outcome.State, ShouldEqual, StateRunning)
	})
	Convey("Old requests are forgotten in order", t, func() {
		table := NewTable()
		table.Apply(1, 10, claimed)
		table.Apply(2, 20, Record{Kind: RecordClaim, ID: "s", Nonce: "b"})
		table.Expire(15)
		So(table.Len(), ShouldEqual, 1)
	})
}

// BenchmarkHolding reports the memory of one claimed and answered request and
// the size of its records.
func BenchmarkHolding(b *testing.B) {
	table := NewTable()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	written := 0
	for i := range b.N {
		claimed := Record{Kind: RecordClaim, ID: NewRequestID(), Nonce: NewNonce(), Instance: "entry-a1", Digest: fmt.Sprintf("%016x", i)}
		done := Record{Kind: RecordDone, ID: claimed.ID, Nonce: claimed.Nonce, Instance: "entry-a1",
			Outcome: &Outcome{State: StateAnswered, Status: 200, ContentType: "application/json", Body: make([]byte, 100)}}
		for _, record := range []Record{claimed, done} {
			data, _ := json.Marshal(record)
			written += len(data)
			table.Apply(ticket.Offset(i), clock.Millis(i), record)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/holding")
	b.ReportMetric(float64(written)/float64(b.N), "B-written/request")
	runtime.KeepAlive(table)
}
