package endpoint

import (
	"errors"
	"io"

	"foxtailbridge/policy/clock"
)

const (
	// maxHead bounds an answer's head in bytes; net/http's own bound is 10 MB, and
	// endpoints send some 300.
	maxHead = 32 << 10
	// maxReportBytes bounds a report; one that names a thousand versions has 64 KB.
	maxReportBytes = 256 << 10
	// maxEventBytes bounds an event of a stream; one that holds a token has some 200.
	maxEventBytes = 64 << 10
	// maxSilentBytes bounds what comes between two pieces of text: an event, and
	// one more that was read ahead.
	maxSilentBytes = 2 * maxEventBytes
	// maxText bounds an answer's text in bytes if the caller named no number of
	// tokens: a quarter of a million tokens.
	maxText = 1 << 20
	// drainBytes and drainWait bound what is read behind a whole answer to use its
	// connection again: the end of the last chunk.
	drainBytes = 1 << 10
	drainWait  = 100 * clock.Millis(1)
)

var errEndless = errors.New("bytes come and no text")

// progress reads a stream and ends it when too much comes between two pieces of text.
type progress struct {
	reader io.Reader
	left   int
}

// Read reads what may still come.
func (p *progress) Read(b []byte) (int, error) {
	if p.left <= 0 {
		return 0, errEndless
	}
	n, err := p.reader.Read(b[:min(len(b), p.left)])
	p.left -= n
	return n, err
}

// made notes a piece of text.
func (p *progress) made() { p.left = maxSilentBytes }
