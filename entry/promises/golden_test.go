package promises

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"foxtailbridge/entry/instance"
	"foxtailbridge/standin/applog"
	"foxtailbridge/standin/engine"
	"foxtailbridge/standin/rating"
)

var update = flag.Bool("update", false, "rewrite the golden sessions")

// transcript collects the log lines of all instances.
type transcript struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (tr *transcript) Write(data []byte) (int, error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.lines.Write(data)
}

// told are the events of a golden session: decisions and what they follow from.
var told = regexp.MustCompile(`\.(router|learning|pool|ledger|claims): |gate-lease`)

var (
	requestID = regexp.MustCompile(`[mk]-[0-9a-f]{8,}[0-9a-f-]*`)
	uuidText  = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	raceText  = regexp.MustCompile(`(fence|offset)=\d+`)
	logPrefix = regexp.MustCompile(`^\S+T(\S+?)(Z|[+-]\d+) \[(\w+)\]\s+(\S+?)\.(\S+?): `)
)

// story returns the told lines in order of time, with ids that do not change from run to run.
func (tr *transcript) story(numbered bool) string {
	var lines []string
	for line := range strings.Lines(tr.lines.String()) {
		if told.MatchString(line) {
			lines = append(lines, strings.TrimSpace(logPrefix.ReplaceAllString(line, "$1 $4 ")))
		}
	}
	blank := func(line string) string { return requestID.ReplaceAllString(line, "request") }
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(blank(a), blank(b)) })
	numbers := map[string]string{}
	var story strings.Builder
	for _, line := range lines {
		line = requestID.ReplaceAllStringFunc(line, func(id string) string {
			if !numbered {
				return "request"
			}
			if numbers[id] == "" {
				numbers[id] = fmt.Sprintf("request-%d", len(numbers)+1)
			}
			return numbers[id]
		})
		line = raceText.ReplaceAllString(uuidText.ReplaceAllString(line, "id"), "$1=n")
		story.WriteString(line + "\n")
	}
	return story.String()
}

// golden runs a session and compares its story with the golden file.
func golden(t *testing.T, name string, numbered bool, run func(w *world)) {
	tr := &transcript{}
	inWorld(t, name, instance.Options{RunID: "golden"}, func(w *world) {
		w.output = tr
		run(w)
		got := tr.story(numbered)
		path := filepath.Join("testdata", name+".golden")
		if *update {
			So(os.WriteFile(path, []byte(got), 0o644), ShouldBeNil)
			return
		}
		want, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		So(firstDifference(got, string(want)), ShouldEqual, "")
	})
}

// firstDifference returns the first line in which two stories differ, or "".
func firstDifference(got, want string) string {
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		switch {
		case i >= len(gotLines):
			return fmt.Sprintf("line %d is missing: %s", i+1, wantLines[i])
		case i >= len(wantLines):
			return fmt.Sprintf("line %d is new: %s", i+1, gotLines[i])
		case gotLines[i] != wantLines[i]:
			return fmt.Sprintf("line %d is %s, was %s", i+1, gotLines[i], wantLines[i])
		}
	}
	return ""
}

func TestGoldenNormalDay(t *testing.T) {
	golden(t, "normal-day", true, func(w *world) {
		a, b := w.small()
		for i := range 4 {
			a.chat("small", fmt.Sprint("where is lot ", i))
			b.stream("auto", fmt.Sprint("defect note ", i))
			w.settle(time.Second)
		}
		turns([]*node{a, b}, 3)
		a.refund(w.key(1), `{"order":1}`)
		b.refund(w.key(1), `{"order":2}`)
		w.settle(time.Second)
	})
}

func TestGoldenEscalation(t *testing.T) {
	golden(t, "escalation", true, func(w *world) {
		w.escalating()
		a := w.nodes["node-a"]
		for i := range 3 {
			a.chat("auto", fmt.Sprint("please check ", i), "Request-Class", "triage")
			w.settle(time.Second)
		}
	})
}

func TestGoldenRolloutStopped(t *testing.T) {
	golden(t, "roll-out-stopped", true, func(w *world) {
		a, b := w.versions()
		b.kill()
		w.engines["engine-2"].SetFaults(engine.Faults{PoorPercent: 100})
		w.ratings.SetFaults(rating.Faults{Delay: 500})
		w.publish(fmt.Sprintf(rolloutTicket, 50))
		for i := range 24 {
			a.chat("small@1", fmt.Sprint("pinned ", i))
			a.chat("small", fmt.Sprint("question ", i), "Idempotency-Key", fmt.Sprint("key ", i))
			w.settle(time.Second)
		}
	})
}

func TestGoldenZoneOutAndBack(t *testing.T) {
	golden(t, "zone-out-and-back", true, func(w *world) {
		a, _ := w.zones()
		a.chat("large", "before")
		w.publish(zoneBOut)
		a.chat("large", "while it is out")
		a.chat("small", "own zone")
		w.publish(zoneBIn)
		a.chat("large", "after")
	})
}

func TestGoldenMonthEndPeak(t *testing.T) {
	golden(t, "month-end-peak", false, func(w *world) {
		w.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 1000, TokenInterval: 100, Slots: 4})
		a := w.node("node-a", "a")
		w.publish(baseTicket)
		w.settle(2 * time.Second)
		var done sync.WaitGroup
		for i := range 40 {
			done.Go(func() {
				// Apart, so that no two requests meet at the same instant.
				time.Sleep(time.Duration(i) * 13 * time.Millisecond)
				a.chat("small", fmt.Sprint("request ", i))
			})
		}
		done.Wait()
		w.settle(time.Minute)
	})
}

func TestGoldenPlatformOutage(t *testing.T) {
	golden(t, "platform-outage", true, func(w *world) {
		a, b := w.small()
		a.chat("small", "before")
		w.log.SetFaults(applog.Faults{Outage: true})
		w.settle(5 * time.Second)
		a.chat("small", "own zone")
		a.refund("", `{"order":1}`)
		b.refund(w.key(1), `{"order":2}`)
		w.log.SetFaults(applog.Faults{})
		w.settle(20 * time.Second)
		a.refund(w.key(2), `{"order":3}`)
	})
}
