package endpoint

import (
	"errors"
	"io"

	"foxtailbridge/policy/clock"
)

const (
	// maxHeaderBytes limits the size of a response header; endpoints send about 300
	// bytes, while the default of net/http is 10 MB.
	maxHeaderBytes = 32 << 10
	// maxReportBytes limits the size of a load report; one with a thousand versions has 64 KB.
	maxReportBytes = 256 << 10
	// maxEventBytes limits the size of one stream event; an event with one token has about 200 bytes.
	maxEventBytes = 64 << 10
	// maxTextGapBytes limits the bytes between two pieces of text: one event, plus
	// one that was read ahead.
	maxTextGapBytes = 2 * maxEventBytes
	// maxTextBytes limits the text of a response, which also covers callers that set no
	// token limit; it is about a quarter of a million tokens.
	maxTextBytes = 1 << 20
	// drainBytes and drainTimeout limit what is read after a complete response so that
	// its connection can be reused: normally just the end of the last chunk.
	drainBytes   = 1 << 10
	drainTimeout = 100 * clock.Millis(1)
)

var errNoProgress = errors.New("too many bytes received without any text")

// progressReader reads a stream and fails when too many bytes arrive between two pieces of text.
type progressReader struct {
	reader    io.Reader
	remaining int
}

// Read reads at most the remaining bytes, and fails with errNoProgress if none remain.
func (p *progressReader) Read(b []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, errNoProgress
	}
	n, err := p.reader.Read(b[:min(len(b), p.remaining)])
	p.remaining -= n
	return n, err
}

// reset restores the full allowance; it is called for each piece of text.
func (p *progressReader) reset() { p.remaining = maxTextGapBytes }
