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

// Presence tells whether a listed process accepts new work.
type Presence string

// Values of Presence.
const (
	PresenceLive     Presence = "live"
	PresenceDraining Presence = "leaving"
)

// EndpointKind is the type of an endpoint: model engine or plain service.
type EndpointKind string

// Kinds of endpoints.
const (
	EndpointEngine  EndpointKind = "engine"
	EndpointService EndpointKind = "service"
)

// InstanceListing is the directory's entry for one entry instance.
type InstanceListing struct {
	ID   InstanceID      `json:"id"`
	Zone ticket.ZoneName `json:"zone"`
	// Peer is the IP address and port that other instances connect to.
	Peer     string   `json:"peer"`
	Presence Presence `json:"presence"`
}

// EndpointListing is the directory's entry for one endpoint.
type EndpointListing struct {
	ID       EndpointID         `json:"id"`
	Zone     ticket.ZoneName    `json:"zone"`
	Kind     EndpointKind       `json:"kind"`
	URL      string             `json:"url"`
	Version  ticket.VersionRef  `json:"version,omitempty"`
	Service  ticket.ServiceName `json:"service,omitempty"`
	Presence Presence           `json:"presence"`
}

// Listing is the directory's list of instances and endpoints, which may be stale.
type Listing struct {
	Instances []InstanceListing `json:"instances"`
	Endpoints []EndpointListing `json:"endpoints"`
}

// Directory is a client of the platform's directory.
type Directory struct {
	// List fetches the current list.
	List func(ctx context.Context) (*Listing, error)
}

// NewDirectory returns a Directory that sends HTTP requests to the base URL.
func NewDirectory(baseURL string, opts ...Option) *Directory {
	o := newOptions(opts)
	base := sling.New().Client(o.client).Base(baseURL)
	return &Directory{List: func(ctx context.Context) (*Listing, error) {
		ctx, cancel := context.WithTimeout(ctx, o.timeout.Duration())
		defer cancel()
		listing := new(Listing)
		if err := doJSON(ctx, o.client, "list", base.New().Get("listing"), listing); err != nil {
			return nil, err
		}
		return listing, nil
	}}
}

// Answer is an answer submitted to the rating service.
type Answer struct {
	RequestID string               `json:"request-id"`
	Workspace ticket.WorkspaceName `json:"workspace"`
	Class     ticket.Class         `json:"class"`
	Version   ticket.VersionRef    `json:"version"`
	Text      string               `json:"text"`
}

// Rating is the rating of one answer.
type Rating struct {
	// Sequence orders the ratings; it starts at 1.
	Sequence  int64                `json:"sequence"`
	RequestID string               `json:"request-id"`
	Workspace ticket.WorkspaceName `json:"workspace"`
	Class     ticket.Class         `json:"class"`
	Version   ticket.VersionRef    `json:"version"`
	Good      bool                 `json:"good"`
}

// Ratings is a client of the platform's rating service.
type Ratings struct {
	// Submit submits answers for rating; their ratings may arrive much later or never.
	Submit func(ctx context.Context, answers []Answer) error
	// After returns the ratings of the instance's answers with a sequence above the given one.
	After func(ctx context.Context, sequence int64) ([]Rating, error)
}

type ratingsQuery struct {
	Rater string `url:"rater"`
	After int64  `url:"after"`
}

// NewRatings returns a Ratings client that sends HTTP requests to the base URL on behalf
// of the instance rater.
func NewRatings(baseURL string, rater InstanceID, opts ...Option) *Ratings {
	o := newOptions(opts)
	base := sling.New().Client(o.client).Base(baseURL)
	return &Ratings{
		Submit: func(ctx context.Context, answers []Answer) error {
			ctx, cancel := context.WithTimeout(ctx, o.timeout.Duration())
			defer cancel()
			call := base.New().Post("answers").QueryStruct(&ratingsQuery{Rater: string(rater)}).BodyJSON(answers)
			return doJSON(ctx, o.client, "submit", call, nil)
		},
		After: func(ctx context.Context, sequence int64) ([]Rating, error) {
			ctx, cancel := context.WithTimeout(ctx, (o.timeout + clock.Second).Duration())
			defer cancel()
			var ratings []Rating
			call := base.New().Get("ratings").QueryStruct(&ratingsQuery{Rater: string(rater), After: sequence})
			if err := doJSON(ctx, o.client, "ratings", call, &ratings); err != nil {
				return nil, err
			}
			return ratings, nil
		},
	}
}
