package cascade

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"foxtailbridge/policy/ticket"
)

// Reason explains a plan in a log line.
type Reason string

// Reasons for a plan.
const (
	ReasonMeetsTarget Reason = "cheapest-at-target"
	ReasonBest        Reason = "best-available"
	ReasonExplore     Reason = "explore"
	ReasonEscalate    Reason = "cheap-then-escalate"
	ReasonNone        Reason = "no-version"
)

// Plan lists the versions to try in order; the second is used if the first answer is rated bad.
type Plan struct {
	Steps  []ticket.VersionRef
	Reason Reason
}

// Query asks for a plan.
type Query struct {
	View      *ticket.View
	Workspace *ticket.Workspace
	Class     ticket.Class
	// Usable tells whether a version may be used at all now.
	Usable func(ticket.VersionRef) bool
	// Count returns the ratings of a version.
	Count func(Key) Count
	// RatedInTime is the share of answers that are rated soon enough to escalate.
	RatedInTime float64
}

const (
	// maxExplore bounds the share of requests that explore.
	maxExplore = 0.05
	// exploreLoss bounds the quality lost by exploring, as a share of answers.
	exploreLoss = 0.004
)

type option struct {
	ref  ticket.VersionRef
	cost float64
	rate Estimate
}

// Plan returns the cheapest plan whose lower confidence bound meets the target,
// else the one with the best mean; a bounded share explores cheaper versions.
func (q *Query) Plan(random *rand.Rand) Plan {
	options := q.options()
	if len(options) == 0 {
		return Plan{Reason: ReasonNone}
	}
	chosen, reason := pick(options, q.Workspace.QualityTarget)
	if explored, ok := explore(options, chosen, q.Workspace.QualityTarget, random); ok {
		return Plan{Steps: []ticket.VersionRef{explored.ref}, Reason: ReasonExplore}
	}
	if q.Workspace.Escalate {
		if cheap, ok := cheaperFirst(options, chosen, q); ok {
			return Plan{Steps: []ticket.VersionRef{cheap.ref, chosen.ref}, Reason: ReasonEscalate}
		}
	}
	return Plan{Steps: []ticket.VersionRef{chosen.ref}, Reason: reason}
}

// options lists the versions for the class, cheapest first.
func (q *Query) options() []option {
	var list []option
	for _, ref := range Candidates(q.Workspace, q.Class) {
		version := q.View.Versions[ref]
		if version == nil || !q.Usable(ref) {
			continue
		}
		key := Key{Workspace: q.Workspace.Name, Class: q.Class, Version: ref}
		list = append(list, option{ref: ref, cost: float64(version.Cost), rate: NewEstimate(q.Count(key), version.Quality)})
	}
	slices.SortStableFunc(list, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.ref, b.ref))
	})
	return list
}

// Candidates lists the versions that the workspace may use for the class:
// those that suffice for the class, and those that are cheaper stand-ins for none.
func Candidates(w *ticket.Workspace, class ticket.Class) []ticket.VersionRef {
	var list []ticket.VersionRef
	for _, ref := range w.Allowed {
		limited, suffices := false, false
		for i := range w.Classes {
			if slices.Contains(w.Classes[i].Cheaper, ref) {
				limited = true
				suffices = suffices || w.Classes[i].Name == class
			}
		}
		if suffices || !limited {
			list = append(list, ref)
		}
	}
	return list
}

func pick(options []option, target float64) (option, Reason) {
	best := options[0]
	for _, o := range options {
		if o.rate.Lower >= target {
			return o, ReasonMeetsTarget
		}
		if o.rate.Mean > best.rate.Mean {
			best = o
		}
	}
	return best, ReasonBest
}

// explore picks a cheaper version that may still turn out to meet the target.
func explore(options []option, chosen option, target float64, random *rand.Rand) (option, bool) {
	for _, o := range options {
		if o.cost >= chosen.cost {
			return option{}, false
		}
		if o.rate.Upper < target {
			continue
		}
		share := maxExplore
		if loss := target - o.rate.Lower; loss > 0 {
			share = min(share, exploreLoss/loss)
		}
		return o, random.Float64() < share
	}
	return option{}, false
}

// cheaperFirst finds the version that lowers the expected cost most when it is
// tried before the chosen one, without falling below the target.
func cheaperFirst(options []option, chosen option, q *Query) (option, bool) {
	var best option
	bestCost := chosen.cost
	for _, o := range options {
		if o.cost >= chosen.cost {
			break
		}
		quality := q.RatedInTime*chosen.rate.Mean + (1-q.RatedInTime)*o.rate.Lower
		cost := o.cost + q.RatedInTime*(1-o.rate.Lower)*chosen.cost
		if quality >= q.Workspace.QualityTarget && cost < bestCost {
			best, bestCost = o, cost
		}
	}
	return best, bestCost < chosen.cost
}
