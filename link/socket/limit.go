package socket

import "net/http"

// Doer sends HTTP requests; http.Client implements it.
type Doer interface {
	Do(request *http.Request) (*http.Response, error)
}

// LimitResponses returns a Doer whose response bodies fail with an error after maxBytes.
// Connect's own limit isn't enough: it reads and discards the rest of a longer response.
func LimitResponses(client Doer, maxBytes int64) Doer {
	return limitedDoer{client, maxBytes}
}

type limitedDoer struct {
	client   Doer
	maxBytes int64
}

// Do sends a request.
func (b limitedDoer) Do(request *http.Request) (*http.Response, error) {
	response, err := b.client.Do(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, b.maxBytes)
	return response, nil
}
