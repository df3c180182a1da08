package admission

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

func item(id RequestID, workspace string, priority ticket.Priority) Request {
	return Request{ID: id, Workspace: ticket.WorkspaceName(workspace), Priority: priority, Share: 1, MaxInFlight: 100, Deadline: clock.Hour}
}

func TestLimiter(t *testing.T) {
	Convey("Urgent requests find room that deferrable ones may not take", t, func() {
		l := New(WithLimit(10))
		So(l.Offer(item(1, "desk", ticket.PriorityUrgent), 0).Verdict, ShouldEqual, VerdictStart)
		for id := RequestID(2); id < 20; id++ {
			l.Offer(item(id, "audits", ticket.PriorityDeferrable), 0)
		}
		So(l.InFlight(), ShouldEqual, 6)
		So(l.Offer(item(30, "desk", ticket.PriorityUrgent), 0).Verdict, ShouldEqual, VerdictStart)
	})
	Convey("Without urgent requests deferrable ones take it all", t, func() {
		l := New(WithLimit(10))
		for id := RequestID(1); id < 20; id++ {
			l.Offer(item(id, "audits", ticket.PriorityDeferrable), 0)
		}
		So(l.InFlight(), ShouldEqual, 10)
	})
	Convey("Higher priorities start first, shares are kept, the lowest gets a turn", t, func() {
		l := New(WithLimit(1))
		l.Offer(item(1, "x", ticket.PriorityNormal), 0)
		l.Offer(item(2, "audits", ticket.PriorityDeferrable), 0)
		for id := RequestID(3); id < 40; id++ {
			l.Offer(item(id, "desk", ticket.PriorityUrgent), 0)
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
	Convey("What cannot start in time is shed at once, what waited too long later", t, func() {
		l := New(WithLimit(1))
		l.Offer(item(1, "x", ticket.PriorityNormal), 0)
		late := item(2, "x", ticket.PriorityNormal)
		late.Deadline = 500
		So(l.Offer(late, 0).Shed[0].Reason, ShouldEqual, ReasonDeadline)
		waiting := item(3, "x", ticket.PriorityNormal)
		waiting.Deadline = 5 * clock.Second
		So(l.Offer(waiting, 0).Verdict, ShouldEqual, VerdictQueue)
		_, dropped := l.StartWaiting(6 * clock.Second)
		So(dropped[0].Reason, ShouldEqual, ReasonExpired)
		So(l.Queued(), ShouldEqual, 0)
	})
	Convey("A full queue lets the youngest deferrable request yield", t, func() {
		l := New(WithLimit(1), WithQueueSize(2))
		l.Offer(item(1, "x", ticket.PriorityNormal), 0)
		l.Offer(item(2, "audits", ticket.PriorityDeferrable), 0)
		l.Offer(item(3, "audits", ticket.PriorityDeferrable), 0)
		So(l.Offer(item(4, "audits", ticket.PriorityDeferrable), 0).Shed[0].Reason, ShouldEqual, ReasonQueueFull)
		decision := l.Offer(item(5, "desk", ticket.PriorityUrgent), 0)
		So(decision.Verdict, ShouldEqual, VerdictQueue)
		So(decision.Shed[0].ID, ShouldEqual, RequestID(3))
		So(l.Cancel(5), ShouldBeTrue)
		So(l.Cancel(5), ShouldBeFalse)
	})
	Convey("A workspace has no more in flight than its bound", t, func() {
		l := New(WithLimit(10))
		bounded := item(1, "x", ticket.PriorityNormal)
		bounded.MaxInFlight = 1
		So(l.Offer(bounded, 0).Verdict, ShouldEqual, VerdictStart)
		bounded.ID = 2
		So(l.Offer(bounded, 0).Verdict, ShouldEqual, VerdictQueue)
		started, _ := l.StartWaiting(0)
		So(started, ShouldBeEmpty)
	})
}

func TestRetryBudget(t *testing.T) {
	Convey("Retries are a tenth of the successes", t, func() {
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
