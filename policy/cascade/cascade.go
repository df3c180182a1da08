package cascade

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"foxtailbridge/policy/ticket"
)

// Reason is the reason for a plan, as written to the log.
type Reason string

// Reasons for a plan.
const (
	ReasonMeetsTarget   Reason = "cheapest-at-target"
	ReasonBestAvailable Reason = "best-available"
	ReasonExplore       Reason = "explore"
	ReasonEscalate      Reason = "cheap-then-escalate"
	ReasonNoVersion     Reason = "no-version"
)

// Plan lists the versions to try in order; the second is used only if the answer
// of the first is rated bad.
type Plan struct {
	Steps  []ticket.VersionRef
	Reason Reason
}

// Query holds the inputs for a plan.
type Query struct {
	View      *ticket.View
	Workspace *ticket.Workspace
	Class     ticket.Class
	// Usable reports whether a version may currently be used at all.
	Usable func(ticket.VersionRef) bool
	// Ratings returns the ratings of a version.
	Ratings func(RatingKey) RatingCount
	// RatedInTime is the share of answers that are rated soon enough to escalate.
	RatedInTime float64
}

const (
	// minExplorationRate and maxExplorationRate bound the share of requests that
	// explore a cheaper version.
	minExplorationRate = 0.03
	maxExplorationRate = 0.25
	// surplusBudget is the share of the quality above the target that exploration may use up.
	surplusBudget = 0.5
	// minRatings is the number of ratings needed before a version is no longer
	// explored: a low assumed quality alone does not exclude it.
	minRatings = 20
	// targetTolerance is how far below the target a version's lower bound may be.
	targetTolerance = 0.005
)

// candidate is a version that a plan may use, with its cost and estimated pass rate.
type candidate struct {
	ref      ticket.VersionRef
	cost     float64
	passRate Estimate
	ratings  float64
}

// Plan returns the cheapest plan whose lower confidence bound meets the target,
// else the one with the best mean; a bounded share explores cheaper versions.
func (q *Query) Plan(random *rand.Rand) Plan {
	candidates := q.usableCandidates()
	if len(candidates) == 0 {
		return Plan{Reason: ReasonNoVersion}
	}
	chosen, reason := cheapestAtTarget(candidates, q.Workspace.QualityTarget)
	if explored, ok := pickExploration(candidates, chosen, q.Workspace.QualityTarget, random); ok {
		return Plan{Steps: []ticket.VersionRef{explored.ref}, Reason: ReasonExplore}
	}
	if q.Workspace.Escalate {
		if cheap, ok := pickEscalation(candidates, chosen, q); ok {
			return Plan{Steps: []ticket.VersionRef{cheap.ref, chosen.ref}, Reason: ReasonEscalate}
		}
	}
	return Plan{Steps: []ticket.VersionRef{chosen.ref}, Reason: reason}
}

// usableCandidates lists the usable versions for the class, cheapest first.
func (q *Query) usableCandidates() []candidate {
	candidates := Candidates(q.Workspace, q.Class)
	list := make([]candidate, 0, len(candidates))
	for _, ref := range candidates {
		version := q.View.Versions[ref]
		if version == nil || !q.Usable(ref) {
			continue
		}
		key := RatingKey{Workspace: q.Workspace.Name, Class: q.Class, Version: ref}
		count := q.Ratings(key)
		list = append(list, candidate{
			ref:      ref,
			cost:     float64(version.Cost),
			passRate: NewEstimate(count, version.Quality),
			ratings:  count.total(),
		})
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.ref, b.ref))
	})
	return list
}

// Candidates lists the versions that the workspace may use for the class. A version
// that is listed as a cheaper version of some classes is a candidate for only these.
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

// cheapestAtTarget returns the cheapest candidate whose lower confidence bound meets
// the target, else the one with the best mean.
func cheapestAtTarget(candidates []candidate, target float64) (candidate, Reason) {
	best := candidates[0]
	for _, c := range candidates {
		if c.passRate.Lower >= target-targetTolerance {
			return c, ReasonMeetsTarget
		}
		if c.passRate.Mean > best.passRate.Mean {
			best = c
		}
	}
	return best, ReasonBestAvailable
}

// pickExploration returns a random cheaper version that may still turn out to meet
// the target, and whether this request explores it. The explored share is limited
// so that the surplus of the chosen version over the target covers the shortfall
// of the explored one, and the mixture stays at the target.
func pickExploration(candidates []candidate, chosen candidate, target float64, random *rand.Rand) (candidate, bool) {
	var viable []candidate
	for _, c := range candidates {
		if c.cost < chosen.cost && (c.passRate.Upper >= target || c.ratings < minRatings) {
			viable = append(viable, c)
		}
	}
	if len(viable) == 0 {
		return candidate{}, false
	}
	// Chosen at random, so that a version that stays close to the target does not
	// keep the others from being tried.
	c := viable[random.IntN(len(viable))]
	return c, random.Float64() < explorationRate(c.passRate, chosen.passRate, target)
}

// explorationRate returns the share of requests that may explore a version.
func explorationRate(explored, chosen Estimate, target float64) float64 {
	surplus := max(0, chosen.Lower-target)
	loss := target - explored.Lower
	if loss <= 0 {
		return maxExplorationRate
	}
	return max(minExplorationRate, min(maxExplorationRate, surplusBudget*surplus/(surplus+loss)))
}

// pickEscalation returns the version that lowers the expected cost most if it is
// tried before the chosen one, among those that keep the expected quality at or
// above the target.
func pickEscalation(candidates []candidate, chosen candidate, q *Query) (candidate, bool) {
	var best candidate
	bestCost := chosen.cost
	for _, c := range candidates {
		if c.cost >= chosen.cost {
			break
		}
		quality := q.RatedInTime*chosen.passRate.Mean + (1-q.RatedInTime)*c.passRate.Lower
		cost := c.cost + q.RatedInTime*(1-c.passRate.Lower)*chosen.cost
		if quality >= q.Workspace.QualityTarget && cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, bestCost < chosen.cost
}
