package socket

import "net/http"

// Doer sends requests, as an http.Client does.
type Doer interface {
	Do(request *http.Request) (*http.Response, error)
}

// LimitResponses returns a Doer whose answers end with an error beyond so many bytes. Connect's
// own bound alone reads what lies beyond it to the end.
func LimitResponses(client Doer, most int64) Doer {
	return bounded{client, most}
}

type bounded struct {
	client Doer
	most   int64
}

// Do sends a request.
func (b bounded) Do(request *http.Request) (*http.Response, error) {
	response, err := b.client.Do(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, b.most)
	return response, nil
}
