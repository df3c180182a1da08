package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/evidence"
)

// Guards against an answer that was broken off and whose line does not tell whether its
// time was over, or is dropped first as one of a request that was served.
func TestLineOfAStream(t *testing.T) {
	rows := []struct {
		name   string
		answer func() *Response
		want   []string
	}{
		{"whole", func() *Response { return stream(90, io.EOF, "1") }, []string{"[INFO]", "outcome=served"}},
		{"broken off with time left", func() *Response { return stream(90, failure(KindOverrun), "1") }, []string{"[WARN]", "outcome=stream-cut", "left-ms=15000"}},
		{"broken off at its deadline", func() *Response {
			a := stream(90, failure(KindTimeout), "1")
			next := a.Next
			a.Next = func() (Event, error) {
				event, err := next()
				if err != nil {
					time.Sleep(15 * time.Second)
				}
				return event, err
			}
			return a
		}, []string{"[WARN]", "outcome=deadline-passed", "left-ms=0"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				b := newBench()
				b.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
				b.answer = func(int, *Attempt) (*Response, error) { return row.answer(), nil }
				b.serve(t.Context(), "/note/x", nil)
				lines := strings.Split(strings.TrimSpace(log.String()), "\n")
				last := lines[len(lines)-1]
				for _, part := range row.want {
					if !strings.Contains(last, part) {
						t.Errorf("no %s in %s", part, last)
					}
				}
			})
		})
	}
}

// Guards against evidence and a log line that take an answer of the old release for one
// of the new one, because traffic moved while the answer was on its way.
func TestArmIsThatOfTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		b := newBench()
		b.logger = hclog.New(&hclog.LoggerOptions{Output: &log})
		b.answer = func(int, *Attempt) (*Response, error) { return stream(90, io.EOF, "1"), nil }
		const span = 20 * clock.Second
		order := b.order(5, span)
		b.serve(t.Context(), "/note/x", nil) // The order's time begins.
		session := "a"
		for bucket(order, session) < 0.9 { // Its share comes last.
			session += "a"
		}
		time.Sleep((span*3/4 - 100).Duration())
		b.answer = func(int, *Attempt) (*Response, error) {
			time.Sleep(200 * time.Millisecond) // All traffic moves meanwhile.
			return pacedStream(paceEvents, 10*time.Millisecond), nil
		}
		b.serve(t.Context(), "/note/x", func(r *Request) { r.Session = session })
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		if last := lines[len(lines)-1]; !strings.Contains(last, "release=v1") || !strings.Contains(last, "arm=old") {
			t.Errorf("want an answer of the old release in %s", last)
		}
		if got := b.relay.Sum(Series(order, PostCanaryPaceRoute, evidence.ArmFrom)); got.Rated() > 0 {
			t.Errorf("%+v counted as moved traffic", got)
		}
	})
}
