package cascade

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/ticket"
)

// market returns a workspace with a number of versions, dearer and better in turn.
func market(versions int) (*ticket.View, *ticket.Workspace) {
	s := ticket.NewState()
	w := ticket.Workspace{Name: "w", State: ticket.LifecycleActive, QualityTarget: 0.9}
	t := &ticket.Ticket{Number: 1, Author: "test"}
	for i := range versions {
		ref := ticket.VersionRef(fmt.Sprintf("m@%d", i))
		w.Allowed = append(w.Allowed, ref)
		t.Versions = append(t.Versions, ticket.ModelVersion{Ref: ref, State: ticket.VersionActive, Cost: int64(100 * (i + 1)), Quality: 0.8})
	}
	t.Workspaces = []ticket.Workspace{w}
	s.Merge(t.Entries(0))
	return s.View(), s.View().Workspaces["w"]
}

func TestPlan(t *testing.T) {
	view, w := market(3)
	counts := map[ticket.VersionRef]RatingCount{}
	q := &Query{View: view, Workspace: w, Class: "c", Usable: func(ticket.VersionRef) bool { return true },
		Ratings: func(k RatingKey) RatingCount { return counts[k.Version] }}
	first := func() Plan { return q.Plan(rand.New(rand.NewPCG(1, 4))) }
	Convey("Without ratings the best assumed version is used", t, func() {
		So(first().Reason, ShouldEqual, ReasonBestAvailable)
	})
	Convey("The cheapest that meets the target with confidence is used", t, func() {
		counts["m@0"], counts["m@1"], counts["m@2"] = RatingCount{600, 400}, RatingCount{960, 40}, RatingCount{990, 10}
		plan := first()
		So(string(plan.Steps[0]), ShouldEqual, "m@1")
		So(plan.Reason, ShouldEqual, ReasonMeetsTarget)
	})
	Convey("A version that cannot be used is left out", t, func() {
		usable := q.Usable
		q.Usable = func(ref ticket.VersionRef) bool { return ref == "m@2" }
		So(first().Steps, ShouldResemble, []ticket.VersionRef{"m@2"})
		q.Usable = func(ticket.VersionRef) bool { return false }
		So(first().Reason, ShouldEqual, ReasonNoVersion)
		q.Usable = usable
	})
	Convey("Cheaper versions of a class are for that class only", t, func() {
		limited := &ticket.Workspace{Allowed: w.Allowed, Classes: []ticket.ClassRule{{Name: "c", Cheaper: w.Allowed[:1]}}}
		So(Candidates(limited, "c"), ShouldResemble, w.Allowed)
		So(Candidates(limited, "d"), ShouldResemble, w.Allowed[1:])
	})
}

func BenchmarkPlan(b *testing.B) {
	view, w := market(20)
	memory := NewRatingCache(evidence.NewCounters("one"))
	q := &Query{View: view, Workspace: w, Class: "c", Usable: func(ticket.VersionRef) bool { return true },
		Ratings: func(k RatingKey) RatingCount { return memory.Ratings(k, 0) }}
	random := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		q.Plan(random)
	}
}
