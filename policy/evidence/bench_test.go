package evidence

import (
	"fmt"
	"runtime"
	"testing"

	"foxtailbridge/policy/ticket"
)

// BenchmarkRow reports the memory of one row of another instance.
func BenchmarkRow(b *testing.B) {
	c := NewCounters("self")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range b.N {
		series := RatingSeries(ticket.WorkspaceName(fmt.Sprint("w", i%1000)), "triage", "m@1", Epoch(i/1000))
		c.Merge([]Row{{Instance: "entry-a1#run", Series: series, Tally: Tally{Good: int64(i)}}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "B/row")
	runtime.KeepAlive(c)
}
