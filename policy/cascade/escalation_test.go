package cascade

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestWorthwhile uses the sizes and ranks of a day on which long audits and short
// tags share engines that fill up.
func TestWorthwhile(t *testing.T) {
	audit := EscalationQuery{Value: AnswerValue(0, 12500, 12500), Price: RequestPrice(0.24, 12000, 380), CompletionBudget: 10000}
	tag := EscalationQuery{Value: AnswerValue(2, 2400, 2400), Price: RequestPrice(0.24, 2370, 22), CompletionBudget: 10000}
	tests := []struct {
		name        string
		base        EscalationQuery
		confidence  Confidence
		utilization float64
		want        bool
	}{
		{"a long urgent answer of medium confidence", audit, 50, 0.2, true},
		{"a long urgent answer that is likely good", audit, 75, 0.2, false},
		{"a short answer of the same confidence is not worth the price", tag, 50, 0.2, false},
		{"a short answer that is very likely poor", tag, 25, 0.2, true},
		{"the same when the engines are full", tag, 40, 1, false},
		{"a long urgent answer, likely poor, engines full", audit, 30, 1, true},
		{"no reported confidence", audit, ConfidenceUnknown, 0, false},
	}
	Convey("A larger model answers again if the expected gain exceeds its price", t, func() {
		for _, tt := range tests {
			q := tt.base
			q.Confidence, q.Utilization = tt.confidence, tt.utilization
			SoMsg(tt.name, q.Worthwhile(), ShouldEqual, tt.want)
		}
	})
	Convey("An escalation whose first token would be late must be worth its price at the reduced value", t, func() {
		q := audit
		q.FirstTokenBudget, q.ExpectedFirstToken = 300, 400
		q.Confidence = 45
		So(q.Worthwhile(), ShouldBeFalse)
		q.Confidence = 10
		So(q.Worthwhile(), ShouldBeTrue)
		late := tag
		late.Confidence, late.FirstTokenBudget, late.ExpectedFirstToken = 10, 300, 400
		So(late.Worthwhile(), ShouldBeFalse)
	})
	Convey("An escalation that would not complete in time is not started", t, func() {
		q := audit
		q.Confidence, q.ExpectedCompletion = 10, 9000
		So(q.Worthwhile(), ShouldBeFalse)
		q.ExpectedCompletion = 3000
		So(q.Worthwhile(), ShouldBeTrue)
	})
	Convey("More load never makes an escalation more likely", t, func() {
		for c := Confidence(0); c <= 100; c += 5 {
			for _, base := range []EscalationQuery{audit, tag} {
				previous := true
				for utilization := 0.0; utilization <= 1.5; utilization += 0.1 {
					q := base
					q.Confidence, q.Utilization = c, utilization
					current := q.Worthwhile()
					So(current && !previous, ShouldBeFalse)
					previous = current
				}
			}
		}
	})
}
