package learning

import (
	"foxtailbridge/entry/fleet"
	"foxtailbridge/policy/evidence"
	"foxtailbridge/policy/rollout"
	"foxtailbridge/policy/ticket"
)

// EvaluateRollouts stops every running roll-out whose new version performs worse
// than the old one, and propagates the stop.
func (l *Learner) EvaluateRollouts() {
	view := l.View()
	for name, r := range view.Rollouts {
		stop := fleet.RolloutStop{Rollout: name, Number: view.TicketNumber(ticket.ObjectRollout, string(name))}
		if r.State != ticket.RolloutRunning || l.stopped(stop) {
			continue
		}
		from, to := l.armTallies(stop)
		if rollout.Evaluate(from, to, priorQuality(view, r.From)) == rollout.VerdictStop {
			l.logger.Warn("roll-out-stopped", "roll-out", name, "ticket", stop.Number, "version", r.To,
				"good", to.Good, "bad", to.Bad, "exposed", to.Exposed, "old-good", from.Good, "old-bad", from.Bad)
			l.AddStop(stop)
			l.Publish(fleet.Item{Stop: &stop})
			l.TriggerSync()
		}
	}
}

// priorQuality returns the share of good answers assumed for a version before it is rated.
func priorQuality(view *ticket.View, ref ticket.VersionRef) float64 {
	if version := view.Versions[ref]; version != nil {
		return version.Quality
	}
	return 1
}

// armTallies returns the tallies of both arms of a roll-out over all instances.
func (l *Learner) armTallies(stop fleet.RolloutStop) (from, to evidence.Tally) {
	l.mu.Lock()
	defer l.mu.Unlock()
	from = l.counters.Sum(evidence.RolloutSeries(stop.Rollout, stop.Number, evidence.ArmFrom))
	to = l.counters.Sum(evidence.RolloutSeries(stop.Rollout, stop.Number, evidence.ArmTo))
	return from, to
}

// AddStop records the stop of a roll-out, from this instance, the log or another instance.
func (l *Learner) AddStop(stop fleet.RolloutStop) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stops[stop] = true
}

func (l *Learner) stopped(stop fleet.RolloutStop) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stops[stop]
}

// Stops returns all known stops.
func (l *Learner) Stops() []fleet.RolloutStop {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]fleet.RolloutStop, 0, len(l.stops))
	for stop := range l.stops {
		list = append(list, stop)
	}
	return list
}

// VersionStopped reports whether a version must receive no new requests because
// its roll-out was stopped.
func (l *Learner) VersionStopped(version ticket.VersionRef) bool {
	view := l.View()
	for name, r := range view.Rollouts {
		if r.To != version || r.State == ticket.RolloutDone {
			continue
		}
		stop := fleet.RolloutStop{Rollout: name, Number: view.TicketNumber(ticket.ObjectRollout, string(name))}
		if r.State == ticket.RolloutStopped || l.stopped(stop) {
			return true
		}
	}
	return false
}

// Assign decides whether a session or request, identified by key, moves from the
// chosen version to the new version of a roll-out. It returns the version to use
// and the assignment.
func (l *Learner) Assign(version ticket.VersionRef, key string, allowed func(ticket.VersionRef) bool) (ticket.VersionRef, rollout.Assignment) {
	view := l.View()
	for name, r := range view.Rollouts {
		if r.From != version || !allowed(r.To) || !view.VersionActive(r.To) || l.VersionStopped(r.To) {
			continue
		}
		series := evidence.RolloutSeries(name, view.TicketNumber(ticket.ObjectRollout, string(name)), evidence.ArmTo)
		l.mu.Lock()
		unrated, sum := l.unratedAnswersFor(series).Count(l.clock.Mono()), l.counters.Sum(series)
		l.mu.Unlock()
		assignment := rollout.Assign(r, key, unrated, sum, l.Position())
		if assignment == rollout.AssignTo {
			return r.To, assignment
		}
		return version, assignment
	}
	return version, rollout.AssignFrom
}

// RolloutOnly reports whether a version receives requests only through a roll-out
// that is not done, and so must not be chosen directly.
func (l *Learner) RolloutOnly(version ticket.VersionRef) bool {
	for _, r := range l.View().Rollouts {
		if r.To == version && r.State != ticket.RolloutDone {
			return true
		}
	}
	return false
}
