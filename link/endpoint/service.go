package endpoint

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/dghubble/sling"

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
	io.Reader
}

func newBody(body []byte) io.Reader {
	return onceReader{bytes.NewReader(body)}
}

func call(ctx context.Context, client *http.Client, base *sling.Sling, o *options, attempt *Attempt, request *CallRequest) (*CallResponse, error) {
	built, err := attempt.setHeaders(base.New().Post("calls/"+request.Call)).
		Set("Content-Type", request.ContentType).
		Body(newBody(request.Body)).
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
	return &CallResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
