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

// CallRequest is a call of a plain service.
type CallRequest struct {
	Call        string
	ContentType string
	Body        []byte
}

// CallResponse is a service's whole answer.
type CallResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// MaxResponseBytes bounds the answer of a plain service.
const MaxResponseBytes = 8 << 20

// onceReader hides its type, so that net/http cannot send the body again by itself.
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
	o.seeBoot(gate.BootID(response.Header.Get(HeaderBoot)))
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
		return nil, fault.New("call", KindIncomplete, "answer is larger than %d bytes", MaxResponseBytes)
	}
	return &CallResponse{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
