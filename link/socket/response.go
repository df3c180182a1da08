package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
)

var errStatus = errors.New("not an HTTP/1 response: the status is below 100")

// CheckHead returns an error if the head of a response is invalid although net/http has accepted
// it: if its status is below 100 or the name of a field contains a blank.
func CheckHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return errStatus // net/http's server panics on such a status.
	}
	for name := range r.Header {
		// The field could have been the length, whose absence makes any part of a body complete.
		if strings.Contains(name, " ") {
			return fmt.Errorf("not an HTTP/1 response: blank in the field name %.60q", name)
		}
	}
	return nil
}

// LengthDelimited reports whether the end of a response's body is marked by a length or by chunking,
// and not by the end of the connection.
func LengthDelimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// StrictTransport makes a transport connect with Dial and fail unless a response passes CheckHead.
func StrictTransport(dialer *net.Dialer, transport *http.Transport) http.RoundTripper {
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		return Dial(ctx, dialer, network, address)
	}
	return CheckHeads(transport)
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
