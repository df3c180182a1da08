package cascade

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestEscalate names the load: a day at which long audits, notes and short tags
// share engines that fill up.
func TestEscalate(t *testing.T) {
	audit := EscalationQuery{Value: AnswerValue(0, 12500, 12500), Price: RequestPrice(0.24, 12000, 380), CompletionBudget: 10000}
	tag := EscalationQuery{Value: AnswerValue(2, 2400, 2400), Price: RequestPrice(0.24, 2370, 22), CompletionBudget: 10000}
	rows := []struct {
		name string
		base EscalationQuery
		with Confidence
		fill float64
		want bool
	}{
		{"a long urgent answer in doubt", audit, 50, 0.2, true},
		{"a long urgent answer that is likely good", audit, 75, 0.2, false},
		{"a short answer in the same doubt is not worth the price", tag, 50, 0.2, false},
		{"a short answer that is very likely poor", tag, 25, 0.2, true},
		{"the same when the engines are full", tag, 40, 1, false},
		{"a long urgent answer, likely poor, engines full", audit, 30, 1, true},
		{"no opinion", audit, ConfidenceUnknown, 0, false},
	}
	Convey("An answer is made again where that is worth its price", t, func() {
		for _, row := range rows {
			d := row.base
			d.Confidence, d.Utilization = row.with, row.fill
			SoMsg(row.name, d.Worthwhile(), ShouldEqual, row.want)
		}
	})
	Convey("An answer that would begin late must be worth it all the same", t, func() {
		d := audit
		d.FirstTokenBudget, d.ExpectedFirstToken = 300, 400
		d.Confidence = 45
		So(d.Worthwhile(), ShouldBeFalse)
		d.Confidence = 10
		So(d.Worthwhile(), ShouldBeTrue)
		late := tag
		late.Confidence, late.FirstTokenBudget, late.ExpectedFirstToken = 10, 300, 400
		So(late.Worthwhile(), ShouldBeFalse)
	})
	Convey("One that would not be whole in time is not begun", t, func() {
		d := audit
		d.Confidence, d.ExpectedCompletion = 10, 9000
		So(d.Worthwhile(), ShouldBeFalse)
		d.ExpectedCompletion = 3000
		So(d.Worthwhile(), ShouldBeTrue)
	})
	Convey("More load never makes an escalation more likely", t, func() {
		for c := Confidence(0); c <= 100; c += 5 {
			for _, base := range []EscalationQuery{audit, tag} {
				was := true
				for fill := 0.0; fill <= 1.5; fill += 0.1 {
					d := base
					d.Confidence, d.Utilization = c, fill
					now := d.Worthwhile()
					So(now && !was, ShouldBeFalse)
					was = now
				}
			}
		}
	})
}
