package admission

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

func newRequest(id RequestID, workspace string, priority ticket.Priority) Request {
	return Request{ID: id, Workspace: ticket.WorkspaceName(workspace), Priority: priority, Share: 1, MaxInFlight: 100, Deadline: clock.Hour}
}

func TestLimiter(t *testing.T) {
	Convey("Capacity is reserved for urgent requests while they arrive", t, func() {
		l := New(WithLimit(10))
		So(l.Offer(newRequest(1, "desk", ticket.PriorityUrgent), 0).Verdict, ShouldEqual, VerdictStart)
		for id := RequestID(2); id < 20; id++ {
			l.Offer(newRequest(id, "audits", ticket.PriorityDeferrable), 0)
		}
		So(l.InFlight(), ShouldEqual, 6)
		So(l.Offer(newRequest(30, "desk", ticket.PriorityUrgent), 0).Verdict, ShouldEqual, VerdictStart)
	})
	Convey("Without urgent requests deferrable ones may use the full limit", t, func() {
		l := New(WithLimit(10))
		for id := RequestID(1); id < 20; id++ {
			l.Offer(newRequest(id, "audits", ticket.PriorityDeferrable), 0)
		}
		So(l.InFlight(), ShouldEqual, 10)
	})
	Convey("Higher priorities start first, and the lowest gets a reserved turn", t, func() {
		l := New(WithLimit(1))
		l.Offer(newRequest(1, "x", ticket.PriorityNormal), 0)
		l.Offer(newRequest(2, "audits", ticket.PriorityDeferrable), 0)
		for id := RequestID(3); id < 40; id++ {
			l.Offer(newRequest(id, "desk", ticket.PriorityUrgent), 0)
		}
		l.Finish("x", 10)
		starts := map[RequestID]int{}
		for turn := range 20 {
			started, _ := l.StartWaiting(0)
			So(started, ShouldHaveLength, 1)
			starts[started[0]] = turn
			l.Finish("desk", 10)
		}
		_, auditStarted := starts[2]
		So(starts[3], ShouldEqual, 0)
		So(auditStarted, ShouldBeTrue)
	})
	Convey("A request that cannot start in time is shed at once, one that waited too long is shed later", t, func() {
		l := New(WithLimit(1))
		l.Offer(newRequest(1, "x", ticket.PriorityNormal), 0)
		late := newRequest(2, "x", ticket.PriorityNormal)
		late.Deadline = 500
		So(l.Offer(late, 0).Shed[0].Reason, ShouldEqual, ReasonDeadline)
		waiting := newRequest(3, "x", ticket.PriorityNormal)
		waiting.Deadline = 5 * clock.Second
		So(l.Offer(waiting, 0).Verdict, ShouldEqual, VerdictQueue)
		_, dropped := l.StartWaiting(6 * clock.Second)
		So(dropped[0].Reason, ShouldEqual, ReasonExpired)
		So(l.Queued(), ShouldEqual, 0)
	})
	Convey("A full queue evicts the newest deferrable request for an urgent one", t, func() {
		l := New(WithLimit(1), WithQueueSize(2))
		l.Offer(newRequest(1, "x", ticket.PriorityNormal), 0)
		l.Offer(newRequest(2, "audits", ticket.PriorityDeferrable), 0)
		l.Offer(newRequest(3, "audits", ticket.PriorityDeferrable), 0)
		So(l.Offer(newRequest(4, "audits", ticket.PriorityDeferrable), 0).Shed[0].Reason, ShouldEqual, ReasonQueueFull)
		decision := l.Offer(newRequest(5, "desk", ticket.PriorityUrgent), 0)
		So(decision.Verdict, ShouldEqual, VerdictQueue)
		So(decision.Shed[0].ID, ShouldEqual, RequestID(3))
		So(l.Cancel(5), ShouldBeTrue)
		So(l.Cancel(5), ShouldBeFalse)
	})
	Convey("A workspace has no more requests in flight than its limit", t, func() {
		l := New(WithLimit(10))
		bounded := newRequest(1, "x", ticket.PriorityNormal)
		bounded.MaxInFlight = 1
		So(l.Offer(bounded, 0).Verdict, ShouldEqual, VerdictStart)
		bounded.ID = 2
		So(l.Offer(bounded, 0).Verdict, ShouldEqual, VerdictQueue)
		started, _ := l.StartWaiting(0)
		So(started, ShouldBeEmpty)
	})
}

func TestRetryBudget(t *testing.T) {
	Convey("Retries are limited to a tenth of the successes", t, func() {
		b := NewRetryBudget()
		for b.Take() {
		}
		for range 100 {
			b.RecordSuccess()
		}
		retries := 0
		for b.Take() {
			retries++
		}
		So(retries, ShouldBeBetweenOrEqual, 9, 10)
	})
}
