package socket

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

var errStatus = errors.New("not an HTTP/1 response: the status is below 100")

// CheckHead returns an error if the head of a response is invalid in a way that net/http accepts.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return errStatus
	}
	for name := range r.Header {
		// The field could have been the length, whose absence makes any part of a body complete.
		if strings.Contains(name, " ") {
			return fmt.Errorf("not an HTTP/1 response: blank in the field name %.60q", name)
		}
	}
	return nil
}

// CheckHeads returns a transport that fails unless a response passes CheckHead.
func CheckHeads(transport http.RoundTripper) http.RoundTripper { return headChecker{transport} }

type headChecker struct{ transport http.RoundTripper }

// RoundTrip sends a request.
func (c headChecker) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}
