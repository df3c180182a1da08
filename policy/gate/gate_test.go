package gate

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// contender is an instance that competes for the lease, with its own monotonic clock.
type contender struct {
	tenure *Tenure
	name   string
	// skew is the constant offset of its monotonic clock from the log's time.
	skew clock.Millis
}

func (h *contender) now(log clock.Millis) clock.Millis {
	return log + h.skew
}

func TestAtMostOneHolder(t *testing.T) {
	t.Run("random append and read delays, random contenders", rapid.MakeCheck(func(t *rapid.T) {
		const duration = 10 * clock.Second
		leases := NewLeases()
		var contenders []*contender
		for i := range 3 {
			skew := clock.Millis(rapid.IntRange(0, 1_000_000).Draw(t, "skew"))
			contenders = append(contenders, &contender{tenure: NewTenure(Nonce(fmt.Sprint(i))), name: fmt.Sprint(i), skew: skew})
		}
		logTime := clock.Millis(0)
		for offset := range rapid.IntRange(1, 40).Draw(t, "steps") {
			h := contenders[rapid.IntRange(0, 2).Draw(t, "contender")]
			attempt := h.tenure.NextAttempt(h.now(logTime))
			logTime += clock.Millis(rapid.IntRange(0, 15_000).Draw(t, "append delay"))
			leases.Apply(ticket.Offset(offset), logTime, LeaseRecord{
				Scope: "s", Instance: h.name, Nonce: h.tenure.Nonce(), Duration: duration, Attempt: attempt,
			})
			logTime += clock.Millis(rapid.IntRange(0, 3_000).Draw(t, "read delay"))
			lease, _ := leases.Get("s")
			for _, other := range contenders {
				if rapid.Bool().Draw(t, "reads") {
					other.tenure.Observe(lease, duration, other.now(logTime))
				}
			}
			holding := 0
			for _, other := range contenders {
				if other.tenure.Holds(other.now(logTime)) {
					holding++
				}
			}
			if holding > 1 {
				t.Fatalf("%d instances hold the lease at %d", holding, logTime)
			}
		}
	}))
}

func TestPermits(t *testing.T) {
	Convey("A new holder grants nothing until the previous holder's permits have expired", t, func() {
		p := NewPermits(1000, false)
		So(p.Grant("e", "1", 1, 1000), ShouldBeFalse)
		So(p.Grant("e", "1", 1, 1000+PermitTTL), ShouldBeTrue)
	})
	Convey("Permits are limited per endpoint, idempotent, released and expire", t, func() {
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

func TestWarmupState(t *testing.T) {
	Convey("An endpoint is cold until it reports warm, and again after any sign of a restart", t, func() {
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
