package gate

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// holder is one contender with a clock of its own rate.
type holder struct {
	tenure *Tenure
	name   string
	// skew is the offset of its monotonic clock from the log's time.
	skew clock.Millis
}

func (h *holder) now(log clock.Millis) clock.Millis {
	return log + h.skew
}

func TestAtMostOneHolder(t *testing.T) {
	t.Run("any delays of appends and reads, any contenders", rapid.MakeCheck(func(t *rapid.T) {
		const duration = 10 * clock.Second
		leases := NewLeases()
		var holders []*holder
		for i := range 3 {
			skew := clock.Millis(rapid.IntRange(0, 1_000_000).Draw(t, "skew"))
			holders = append(holders, &holder{tenure: NewTenure(Nonce(fmt.Sprint(i))), name: fmt.Sprint(i), skew: skew})
		}
		now := clock.Millis(0)
		for offset := range rapid.IntRange(1, 40).Draw(t, "steps") {
			h := holders[rapid.IntRange(0, 2).Draw(t, "holder")]
			attempt := h.tenure.NextAttempt(h.now(now))
			now += clock.Millis(rapid.IntRange(0, 15_000).Draw(t, "append delay"))
			leases.Apply(ticket.Offset(offset), now, LeaseRecord{
				Scope: "s", Instance: h.name, Nonce: h.tenure.Nonce(), Duration: duration, Attempt: attempt,
			})
			now += clock.Millis(rapid.IntRange(0, 3_000).Draw(t, "read delay"))
			lease, _ := leases.Get("s")
			for _, other := range holders {
				if rapid.Bool().Draw(t, "reads") {
					other.tenure.Observe(lease, duration, other.now(now))
				}
			}
			holding := 0
			for _, other := range holders {
				if other.tenure.Holds(other.now(now)) {
					holding++
				}
			}
			if holding > 1 {
				t.Fatalf("%d instances hold the lease at %d", holding, now)
			}
		}
	}))
}

func TestPermits(t *testing.T) {
	Convey("A new holder waits for the permits of the one before", t, func() {
		p := NewPermits(1000, false)
		So(p.Grant("e", "1", 1, 1000), ShouldBeFalse)
		So(p.Grant("e", "1", 1, 1000+PermitTTL), ShouldBeTrue)
	})
	Convey("Permits are bounded, repeatable, released and lapse", t, func() {
		p := NewPermits(0, true)
		So(p.Grant("e", "1", 1, 0), ShouldBeTrue)
		So(p.Grant("e", "1", 1, 0), ShouldBeTrue)
		So(p.Grant("e", "2", 1, 0), ShouldBeFalse)
		So(p.Grant("f", "2", 1, 0), ShouldBeTrue)
		p.Release("e", "1")
		So(p.Grant("e", "2", 1, 0), ShouldBeTrue)
		So(p.Grant("e", "3", 1, PermitTTL), ShouldBeTrue)
	})
}

func TestWarmth(t *testing.T) {
	Convey("An endpoint is cold until seen warm, and after any sign of a restart", t, func() {
		w := &WarmupState{}
		So(w.Warm(), ShouldBeFalse)
		w.ApplyReport("b1", true)
		So(w.Warm(), ShouldBeTrue)
		So(w.ObserveBoot("b1"), ShouldBeFalse)
		So(w.ObserveBoot("b2"), ShouldBeTrue)
		So(w.Warm(), ShouldBeFalse)
		w.ApplyReport("b2", true)
		So(w.MarkCold(), ShouldBeTrue)
		So(w.Warm(), ShouldBeFalse)
	})
}
