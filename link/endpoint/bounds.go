package endpoint

import (
	"errors"
	"io"

	"foxtailbridge/policy/clock"
)

const (
	// maxHeaderBytes bounds an answer's head in bytes; net/http's own bound is 10 MB, and
	// endpoints send some 300.
	maxHeaderBytes = 32 << 10
	// maxReportBytes bounds a report; one that names a thousand versions has 64 KB.
	maxReportBytes = 256 << 10
	// maxEventBytes bounds an event of a stream; one that holds a token has some 200.
	maxEventBytes = 64 << 10
	// maxTextGapBytes bounds what comes between two pieces of text: an event, and
	// one more that was read ahead.
	maxTextGapBytes = 2 * maxEventBytes
	// maxTextBytes bounds an answer's text in bytes if the caller named no number of
	// tokens: a quarter of a million tokens.
	maxTextBytes = 1 << 20
	// drainBytes and drainWait bound what is read behind a whole answer to use its
	// connection again: the end of the last chunk.
	drainBytes   = 1 << 10
	drainTimeout = 100 * clock.Millis(1)
)

var errNoProgress = errors.New("bytes come and no text")

// progressReader reads a stream and ends it when too much comes between two pieces of text.
type progressReader struct {
	reader    io.Reader
	remaining int
}

// Read reads what may still come.
func (p *progressReader) Read(b []byte) (int, error) {
	if p.remaining <= 0 {
		return 0, errNoProgress
	}
	n, err := p.reader.Read(b[:min(len(b), p.remaining)])
	p.remaining -= n
	return n, err
}

// reset notes a piece of text.
func (p *progressReader) reset() { p.remaining = maxTextGapBytes }
