package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/dghubble/sling"

	"foxtailbridge/link/socket"
	"foxtailbridge/policy/fault"
	"foxtailbridge/policy/gate"
)

// CallRequest is a request to a plain service.
type CallRequest struct {
	// Call is the name of the operation in the service's URL.
	Call        string
	ContentType string
	Body        []byte
}

// CallResponse is a plain service's complete response.
type CallResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// MaxResponseBytes limits the response body of a plain service.
const MaxResponseBytes = 8 << 20

// onceReader hides the type of its reader, so that net/http cannot rewind the body and
// retry the request on its own.
type onceReader struct {
	reader *bytes.Reader
	// unread is the number of bytes that are left. It may be loaded concurrently with Read.
	unread atomic.Int64
}

func newBody(body []byte) *onceReader {
	o := &onceReader{reader: bytes.NewReader(body)}
	o.unread.Store(int64(len(body)))
	return o
}

// Read reads from the body.
func (o *onceReader) Read(p []byte) (int, error) {
	n, err := o.reader.Read(p)
	o.unread.Add(-int64(n))
	return n, err
}

func call(ctx context.Context, client *http.Client, base *sling.Sling, o *options, attempt *Attempt, request *CallRequest) (*CallResponse, error) {
	requestBody := newBody(request.Body)
	built, err := attempt.setHeaders(base.New().Post("calls/"+request.Call)).
		Set("Content-Type", request.ContentType).
		Body(requestBody).
		Request()
	if err != nil {
		return nil, fault.New("call", KindNotSent, "%w", err)
	}
	built.ContentLength = int64(len(request.Body))
	if attempt.AllowCold {
		ctx = allowCold(ctx)
	}
	response, err := client.Do(built.WithContext(ctx))
	if err != nil {
		return nil, sendError(ctx, "call", err)
	}
	defer response.Body.Close()
	o.observeBoot(gate.BootID(response.Header.Get(HeaderBoot)))
	if err := attempt.checkEcho(response); err != nil {
		return nil, err
	}
	if err := checkStatus("call", response); fault.KindOf[Kind](err) == KindRefused {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, sendError(ctx, "call", err)
	}
	if len(body) > MaxResponseBytes {
		return nil, fault.New("call", KindIncomplete, "response is larger than %d bytes", MaxResponseBytes)
	}
	// A response without a length ends with the connection, which an endpoint that crashes closes too.
	if left := requestBody.unread.Load(); left > 0 && !socket.LengthDelimited(response) {
		return nil, fault.New("call", KindBroken, "the connection was closed before %d bytes of the request were written", left)
	}
	return &CallResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
