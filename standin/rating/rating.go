package rating

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"foxtailbridge/link/platform"
	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
	"foxtailbridge/standin/web"
)

// PoorMarker stands in every answer that deserves a bad rating.
const PoorMarker = "[poor]"

// Faults are the failures that the service brings about.
type Faults struct {
	Outage bool `json:"outage"`
	// Delay is how long a rating takes.
	Delay clock.Millis `json:"delay-ms"`
	// DropPercent is the share of answers that are never rated.
	DropPercent int `json:"drop-percent"`
}

// Service rates answers late or never.
type Service struct {
	clock *clock.Clock

	mu      sync.Mutex
	ratings map[string][]timed
	faults  Faults
}

type timed struct {
	rating platform.Rating
	due    clock.Millis
}

// New returns a Service without ratings.
func New(c *clock.Clock) *Service {
	return &Service{clock: c, ratings: map[string][]timed{}}
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Client returns a client for the rater that calls the service directly.
func (s *Service) Client(rater string) *platform.Ratings {
	return &platform.Ratings{
		Submit: func(_ context.Context, answers []platform.Answer) error {
			return s.Submit(rater, answers)
		},
		After: func(_ context.Context, sequence int64) ([]platform.Rating, error) {
			return s.After(rater, sequence)
		},
	}
}

// Submit takes answers to rate in the name of a rater.
func (s *Service) Submit(rater string, answers []platform.Answer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return fault.New("submit", platform.KindUncertain, "outage")
	}
	for _, answer := range answers {
		if s.dropped(answer.RequestID) {
			continue
		}
		sequence := int64(len(s.ratings[rater]) + 1)
		rating := platform.Rating{
			Sequence:  sequence,
			RequestID: answer.RequestID,
			Workspace: answer.Workspace,
			Class:     answer.Class,
			Version:   answer.Version,
			Good:      !strings.Contains(answer.Text, PoorMarker),
		}
		s.ratings[rater] = append(s.ratings[rater], timed{rating: rating, due: s.clock.Wall() + s.faults.Delay})
	}
	return nil
}

const percent = 100

func (s *Service) dropped(id string) bool {
	return int(xxhash.Sum64String(id)%percent) < s.faults.DropPercent
}

// After returns the rater's ratings with a higher sequence that are ready.
func (s *Service) After(rater string, sequence int64) ([]platform.Rating, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Outage {
		return nil, fault.New("ratings", platform.KindUncertain, "outage")
	}
	var ready []platform.Rating
	for _, t := range s.ratings[rater] {
		if t.due > s.clock.Wall() {
			break
		}
		if t.rating.Sequence > sequence {
			ready = append(ready, t.rating)
		}
	}
	return ready, nil
}

// Handler serves the service over HTTP.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /answers", func(w http.ResponseWriter, r *http.Request) {
		var answers []platform.Answer
		if !web.ReadJSON(w, r, &answers) {
			return
		}
		if err := s.Submit(r.URL.Query().Get("rater"), answers); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /ratings", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			http.Error(w, "after must be a number", http.StatusBadRequest)
			return
		}
		ratings, err := s.After(r.URL.Query().Get("rater"), after)
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		web.WriteJSON(w, http.StatusOK, ratings)
	})
	web.RegisterFaultsHandler(mux, s.SetFaults)
	return mux
}
