package platform

import (
	"context"

	"github.com/dghubble/sling"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/ticket"
)

// InstanceID identifies an entry instance.
type InstanceID string

// EndpointID identifies an endpoint.
type EndpointID string

// Presence says whether a listed process takes new work.
type Presence string

// Presences.
const (
	PresenceLive     Presence = "live"
	PresenceDraining Presence = "leaving"
)

// EndpointKind says what an endpoint serves.
type EndpointKind string

// Kinds of endpoints.
const (
	EndpointEngine  EndpointKind = "engine"
	EndpointService EndpointKind = "service"
)

// InstanceListing is the platform's view of one entry instance.
type InstanceListing struct {
	ID   InstanceID      `json:"id"`
	Zone ticket.ZoneName `json:"zone"`
	// Peer is the IP address and port for other instances.
	Peer     string   `json:"peer"`
	Presence Presence `json:"presence"`
}

// EndpointListing is the platform's view of one endpoint.
type EndpointListing struct {
	ID       EndpointID         `json:"id"`
	Zone     ticket.ZoneName    `json:"zone"`
	Kind     EndpointKind       `json:"kind"`
	URL      string             `json:"url"`
	Version  ticket.VersionRef  `json:"version,omitempty"`
	Service  ticket.ServiceName `json:"service,omitempty"`
	Presence Presence           `json:"presence"`
}

// Listing is the platform's lagging list of instances and endpoints.
type Listing struct {
	Instances []InstanceListing `json:"instances"`
	Endpoints []EndpointListing `json:"endpoints"`
}

// Directory serves the platform's list.
type Directory struct {
	// List returns the list as the platform knows it now.
	List func(ctx context.Context) (*Listing, error)
}

// NewDirectory returns a Directory that is reached over HTTP at the base URL.
func NewDirectory(baseURL string, opts ...Option) *Directory {
	o := newOptions(opts)
	base := sling.New().Client(o.client).Base(baseURL)
	return &Directory{List: func(ctx context.Context) (*Listing, error) {
		ctx, cancel := context.WithTimeout(ctx, o.timeout.Duration())
		defer cancel()
		listing := new(Listing)
		if err := do(ctx, o.client, "list", base.New().Get("listing"), listing); err != nil {
			return nil, err
		}
		return listing, nil
	}}
}

// Answer is what the rating service is asked to rate.
type Answer struct {
	RequestID string               `json:"request-id"`
	Workspace ticket.WorkspaceName `json:"workspace"`
	Class     ticket.Class         `json:"class"`
	Version   ticket.VersionRef    `json:"version"`
	Text      string               `json:"text"`
}

// Rating is the service's verdict on one answer.
type Rating struct {
	// Sequence orders the ratings; it starts at 1.
	Sequence  int64                `json:"sequence"`
	RequestID string               `json:"request-id"`
	Workspace ticket.WorkspaceName `json:"workspace"`
	Class     ticket.Class         `json:"class"`
	Version   ticket.VersionRef    `json:"version"`
	Good      bool                 `json:"good"`
}

// Ratings is the platform's rating service.
type Ratings struct {
	// Submit hands in answers; ratings follow late or never.
	Submit func(ctx context.Context, answers []Answer) error
	// After returns ratings of the instance's answers with a higher sequence.
	After func(ctx context.Context, sequence int64) ([]Rating, error)
}

type ratingsQuery struct {
	Rater string `url:"rater"`
	After int64  `url:"after"`
}

// NewRatings returns Ratings reached over HTTP, in the name of one instance.
func NewRatings(baseURL string, rater InstanceID, opts ...Option) *Ratings {
	o := newOptions(opts)
	base := sling.New().Client(o.client).Base(baseURL)
	return &Ratings{
		Submit: func(ctx context.Context, answers []Answer) error {
			ctx, cancel := context.WithTimeout(ctx, o.timeout.Duration())
			defer cancel()
			call := base.New().Post("answers").QueryStruct(&ratingsQuery{Rater: string(rater)}).BodyJSON(answers)
			return do(ctx, o.client, "submit", call, nil)
		},
		After: func(ctx context.Context, sequence int64) ([]Rating, error) {
			ctx, cancel := context.WithTimeout(ctx, (o.timeout + clock.Second).Duration())
			defer cancel()
			var ratings []Rating
			call := base.New().Get("ratings").QueryStruct(&ratingsQuery{Rater: string(rater), After: sequence})
			if err := do(ctx, o.client, "ratings", call, &ratings); err != nil {
				return nil, err
			}
			return ratings, nil
		},
	}
}
