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

var update = flag.Bool("update", false, "rewrite the golden files")

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

// goldenEvents matches the log lines that a golden file keeps: decisions and their inputs.
var goldenEvents = regexp.MustCompile(`\.(router|learning|pool|ledger|claims): |gate-lease`)

var (
	requestID     = regexp.MustCompile(`[mk]-[0-9a-f]{8,}[0-9a-f-]*`)
	uuidText      = regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)
	unstableField = regexp.MustCompile(`(fence|offset)=\d+`)
	logPrefix     = regexp.MustCompile(`^\S+T(\S+?)(Z|[+-]\d+) \[(\w+)\]\s+(\S+?)\.(\S+?): `)
)

// normalize returns the lines that match goldenEvents in order of time, with ids that are the
// same in every run. If numbered is false, all request ids become "request".
func (tr *transcript) normalize(numbered bool) string {
	var lines []string
	for line := range strings.Lines(tr.lines.String()) {
		if goldenEvents.MatchString(line) {
			lines = append(lines, strings.TrimSpace(logPrefix.ReplaceAllString(line, "$1 $4 ")))
		}
	}
	maskIDs := func(line string) string { return requestID.ReplaceAllString(line, "request") }
	slices.SortStableFunc(lines, func(a, b string) int { return strings.Compare(maskIDs(a), maskIDs(b)) })
	numbers := map[string]string{}
	var normalized strings.Builder
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
		line = unstableField.ReplaceAllString(uuidText.ReplaceAllString(line, "id"), "$1=n")
		normalized.WriteString(line + "\n")
	}
	return normalized.String()
}

// golden runs a session and compares its normalized log with the golden file.
func golden(t *testing.T, name string, numbered bool, run func(env *testEnv)) {
	tr := &transcript{}
	runInEnv(t, name, instance.Options{RunID: "golden"}, func(env *testEnv) {
		env.logOutput = tr
		run(env)
		got := tr.normalize(numbered)
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

// firstDifference describes the first line in which two logs differ, or returns "".
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
	golden(t, "normal-day", true, func(env *testEnv) {
		a, b := env.startSmall()
		for i := range 4 {
			a.chat("small", fmt.Sprint("where is lot ", i))
			b.stream("auto", fmt.Sprint("defect note ", i))
			env.advance(time.Second)
		}
		runSession([]*node{a, b}, 3)
		a.refund(env.newKey(1), `{"order":1}`)
		b.refund(env.newKey(1), `{"order":2}`)
		env.advance(time.Second)
	})
}

func TestGoldenEscalation(t *testing.T) {
	golden(t, "escalation", true, func(env *testEnv) {
		env.startEscalating()
		a := env.nodes["node-a"]
		for i := range 3 {
			a.chat("auto", fmt.Sprint("please check ", i), "Request-Class", "triage")
			env.advance(time.Second)
		}
	})
}

func TestGoldenRolloutStopped(t *testing.T) {
	golden(t, "roll-out-stopped", true, func(env *testEnv) {
		a, b := env.startBothVersions()
		b.kill()
		env.engines["engine-2"].SetFaults(engine.Faults{PoorPercent: 100})
		env.ratings.SetFaults(rating.Faults{Delay: 500})
		env.publish(fmt.Sprintf(rolloutTicket, 50))
		for i := range 24 {
			a.chat("small@1", fmt.Sprint("pinned ", i))
			a.chat("small", fmt.Sprint("question ", i), "Idempotency-Key", fmt.Sprint("key ", i))
			env.advance(time.Second)
		}
	})
}

func TestGoldenZoneOutAndBack(t *testing.T) {
	golden(t, "zone-out-and-back", true, func(env *testEnv) {
		a, _ := env.startModelPerZone()
		a.chat("large", "before")
		env.publish(drainZoneB)
		a.chat("large", "while it is out")
		a.chat("small", "own zone")
		env.publish(restoreZoneB)
		a.chat("large", "after")
	})
}

func TestGoldenMonthEndPeak(t *testing.T) {
	golden(t, "month-end-peak", false, func(env *testEnv) {
		env.engine("engine-a", "a", engine.Config{Version: "small@1", FirstTokenLatency: 1000, TokenInterval: 100, Slots: 4})
		a := env.node("node-a", "a")
		env.publish(baseTicket)
		env.advance(2 * time.Second)
		var done sync.WaitGroup
		for i := range 40 {
			done.Go(func() {
				// Staggered, so that no two requests arrive at the same time and the order is deterministic.
				time.Sleep(time.Duration(i) * 13 * time.Millisecond)
				a.chat("small", fmt.Sprint("request ", i))
			})
		}
		done.Wait()
		env.advance(time.Minute)
	})
}

func TestGoldenPlatformOutage(t *testing.T) {
	golden(t, "platform-outage", true, func(env *testEnv) {
		a, b := env.startSmall()
		a.chat("small", "before")
		env.log.SetFaults(applog.Faults{Outage: true})
		env.advance(5 * time.Second)
		a.chat("small", "own zone")
		a.refund("", `{"order":1}`)
		b.refund(env.newKey(1), `{"order":2}`)
		env.log.SetFaults(applog.Faults{})
		env.advance(20 * time.Second)
		a.refund(env.newKey(2), `{"order":3}`)
	})
}
