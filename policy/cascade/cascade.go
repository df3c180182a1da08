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
	ReasonMeetsTarget   Reason = "cheapest-at-target"
	ReasonBestAvailable Reason = "best-available"
	ReasonExplore       Reason = "explore"
	ReasonEscalate      Reason = "cheap-then-escalate"
	ReasonNoVersion     Reason = "no-version"
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
	// Ratings returns the ratings of a version.
	Ratings func(RatingKey) RatingCount
	// RatedInTime is the share of answers that are rated soon enough to escalate.
	RatedInTime float64
}

const (
	// minExplore and maxExplore bound the share of requests that explore.
	minExplore = 0.03
	maxExplore = 0.25
	// surplusShare is the part of the quality above the target that exploring may use up.
	surplusShare = 0.5
	// minRatings is how many ratings it takes to give a version up: an assumed
	// quality alone does not keep it from being tried.
	minRatings = 20
	// tolerance is how far below the target a version's lower bound may lie.
	tolerance = 0.005
)

type option struct {
	ref     ticket.VersionRef
	cost    float64
	rate    Estimate
	ratings float64
}

// Plan returns the cheapest plan whose lower confidence bound meets the target,
// else the one with the best mean; a bounded share explores cheaper versions.
func (q *Query) Plan(random *rand.Rand) Plan {
	options := q.options()
	if len(options) == 0 {
		return Plan{Reason: ReasonNoVersion}
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
	candidates := Candidates(q.Workspace, q.Class)
	list := make([]option, 0, len(candidates))
	for _, ref := range candidates {
		version := q.View.Versions[ref]
		if version == nil || !q.Usable(ref) {
			continue
		}
		key := RatingKey{Workspace: q.Workspace.Name, Class: q.Class, Version: ref}
		count := q.Ratings(key)
		list = append(list, option{
			ref:     ref,
			cost:    float64(version.Cost),
			rate:    NewEstimate(count, version.Quality),
			ratings: count.total(),
		})
	}
	slices.SortStableFunc(list, func(a, b option) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.ref, b.ref))
	})
	return list
}

// Candidates lists the versions that the workspace may use for the class:
// those that suffice for the class, and those that are cheaper stand-ins for none.
func Candidates(w *ticket.Workspace, class ticket.Class) []ticket.VersionRef {
	list := make([]ticket.VersionRef, 0, len(w.Allowed))
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
		if o.rate.Lower >= target-tolerance {
			return o, ReasonMeetsTarget
		}
		if o.rate.Mean > best.rate.Mean {
			best = o
		}
	}
	return best, ReasonBestAvailable
}

// explore picks a cheaper version that may still turn out to meet the target.
// What the chosen version has above the target pays for what the explored one
// may lack, so that the mixture stays at the target.
func explore(options []option, chosen option, target float64, random *rand.Rand) (option, bool) {
	var viable []option
	for _, o := range options {
		if o.cost < chosen.cost && (o.rate.Upper >= target || o.ratings < minRatings) {
			viable = append(viable, o)
		}
	}
	if len(viable) == 0 {
		return option{}, false
	}
	// One that hovers at the target must not keep the others from being tried.
	o := viable[random.IntN(len(viable))]
	return o, random.Float64() < exploreShare(o.rate, chosen.rate, target)
}

func exploreShare(explored, chosen Estimate, target float64) float64 {
	surplus := max(0, chosen.Lower-target)
	loss := target - explored.Lower
	if loss <= 0 {
		return maxExplore
	}
	return max(minExplore, min(maxExplore, surplusShare*surplus/(surplus+loss)))
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
