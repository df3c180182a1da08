package endpoint

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"foxtailbridge/link/socket"
)

// dialError wraps an error that occurred before any byte of the request was sent.
type dialError struct {
	err error
}

func (e *dialError) Error() string { return "dial: " + e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

type allowColdKey struct{}

// allowCold marks a context whose request may go to an endpoint in cold start.
func allowCold(ctx context.Context) context.Context {
	return context.WithValue(ctx, allowColdKey{}, true)
}

// dialProbed connects and reads the endpoint's load report over the new connection.
// A restart breaks every connection, so a request without a permit cannot reach a
// restarted process before its report was read.
func (o *options) dialProbed(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: o.dialTimeout.Duration()}
	conn, err := socket.Dial(ctx, &dialer, network, address)
	if err != nil {
		return nil, &dialError{err}
	}
	load, err := o.probe(conn, address)
	if err != nil {
		conn.Close()
		return nil, &dialError{err}
	}
	o.observeLoad(load)
	allowed, _ := ctx.Value(allowColdKey{}).(bool)
	if load.Phase != PhaseWarm && !allowed {
		conn.Close()
		return nil, &dialError{fmt.Errorf("endpoint is %s", load.Phase)}
	}
	return conn, nil
}

func (o *options) probe(conn net.Conn, address string) (*Load, error) {
	if err := conn.SetDeadline(time.Now().Add(o.reportTimeout.Duration())); err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return nil, err
	}
	if err := request.Write(conn); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(io.LimitReader(conn, maxHeaderBytes+maxReportBytes))
	response, err := http.ReadResponse(reader, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if err := socket.CheckHead(response); err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("load report: status %d", response.StatusCode)
	}
	load := new(Load)
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, load); err != nil {
		return nil, err
	}
	if reader.Buffered() > 0 {
		return nil, errors.New("unexpected data after the load report")
	}
	return load, conn.SetDeadline(time.Time{})
}
