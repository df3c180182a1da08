package load

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/goccy/go-yaml"

	"foxtailbridge/policy/clock"
	"foxtailbridge/policy/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	KindUnreadable Kind = "unreadable"
	KindInvalid    Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Stream is one kind of callers.
type Stream struct {
	Name string `yaml:"name"`
	// Targets lists base URLs; each request goes to a random one.
	Targets   []string `yaml:"targets"`
	Key       string   `yaml:"key"`
	Model     string   `yaml:"model"`
	Class     string   `yaml:"class"`
	MaxTokens int      `yaml:"tokens"`
	// Rate is the mean number of requests a second.
	Rate float64 `yaml:"rate"`
}

// Profile describes a load.
type Profile struct {
	Seed     uint64       `yaml:"seed"`
	Duration clock.Millis `yaml:"span-ms"`
	Streams  []Stream     `yaml:"streams"`
}

const (
	maxSpan = clock.Hour
	maxRate = 10_000
)

// Read reads an experiment file strictly.
func Read(path string) (*Profile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New("read", KindUnreadable, "%w", err)
	}
	e := new(Profile)
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.DisallowUnknownField()).Decode(e); err != nil {
		return nil, fault.New("read", KindInvalid, "%s: %s", path, yaml.FormatError(err, false, true))
	}
	return e, e.validate()
}

func (e *Profile) validate() error {
	if e.Duration <= 0 || e.Duration > maxSpan {
		return fault.New("read", KindInvalid, "span-ms must be between 1 and %d", maxSpan)
	}
	if len(e.Streams) == 0 {
		return fault.New("read", KindInvalid, "streams is empty")
	}
	for i, s := range e.Streams {
		if len(s.Targets) == 0 || s.Rate <= 0 || s.Rate > maxRate || s.MaxTokens < 1 {
			return fault.New("read", KindInvalid, "streams[%d] needs targets, tokens and a rate up to %d", i, maxRate)
		}
	}
	return nil
}

// Quantiles are times in microseconds.
type Quantiles struct {
	P50 int64 `json:"p50-us"`
	P95 int64 `json:"p95-us"`
	P99 int64 `json:"p99-us"`
}

// Result is what the callers of one stream saw.
type Result struct {
	Name       string         `json:"name"`
	Sent       int            `json:"sent"`
	Completed  int            `json:"whole"`
	Failures   map[string]int `json:"refused,omitempty"`
	FirstToken Quantiles      `json:"first-token"`
	InterToken Quantiles      `json:"between-tokens"`
	Total      Quantiles      `json:"total"`
}

// String formats the result as a row.
func (r *Result) String() string {
	return fmt.Sprintf("%-12s sent=%d whole=%d refused=%v first-token-us p50=%d p95=%d p99=%d between-us p50=%d p95=%d total-us p50=%d p95=%d",
		r.Name, r.Sent, r.Completed, r.Failures, r.FirstToken.P50, r.FirstToken.P95, r.FirstToken.P99,
		r.InterToken.P50, r.InterToken.P95, r.Total.P50, r.Total.P95)
}

const (
	maxMicros   = 10 * 60 * 1_000_000
	significant = 3
)

// recorder collects the times of one stream.
type recorder struct {
	mu                  sync.Mutex
	first, token, total *hdrhistogram.Histogram
	result              Result
}

func newRecorder(name string) *recorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significant) }
	return &recorder{first: h(), token: h(), total: h(), result: Result{Name: name, Failures: map[string]int{}}}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99)}
}

// Run sends the load and returns a result for each stream.
func Run(ctx context.Context, e *Profile) []Result {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	recorders := make([]*recorder, len(e.Streams))
	var streams sync.WaitGroup
	for i := range e.Streams {
		recorders[i] = newRecorder(e.Streams[i].Name)
		random := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		streams.Go(func() { send(ctx, client, &e.Streams[i], e.Duration, random, recorders[i]) })
	}
	streams.Wait()
	results := make([]Result, len(recorders))
	for i, r := range recorders {
		r.result.FirstToken, r.result.InterToken, r.result.Total = quantiles(r.first), quantiles(r.token), quantiles(r.total)
		results[i] = r.result
	}
	return results
}

// send starts requests at random times that do not wait for answers.
func send(ctx context.Context, client *http.Client, s *Stream, span clock.Millis, random *rand.Rand, r *recorder) {
	var requests sync.WaitGroup
	begin := time.Now()
	at := time.Duration(0)
	for serial := 0; ; serial++ {
		at += time.Duration(random.ExpFloat64() / s.Rate * float64(time.Second))
		if at >= span.Duration() || ctx.Err() != nil {
			break
		}
		target := s.Targets[random.IntN(len(s.Targets))]
		time.Sleep(time.Until(begin.Add(at)))
		// The due time counts, so that a sender that falls behind hides nothing.
		due := begin.Add(at)
		requests.Go(func() { r.one(ctx, client, s, target, serial, due) })
	}
	requests.Wait()
}

func (r *recorder) one(ctx context.Context, client *http.Client, s *Stream, target string, serial int, due time.Time) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"load %d"}]}`, s.Model, s.MaxTokens, serial)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		r.refuse("bad-target")
		return
	}
	request.Header.Set("Authorization", "Bearer "+s.Key)
	request.Header.Set("Request-Class", s.Class)
	response, err := client.Do(request)
	if err != nil {
		r.refuse("no-connection")
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		r.refuse(fmt.Sprintf("status-%d", response.StatusCode))
		return
	}
	r.read(response, due)
}

func (r *recorder) refuse(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	r.result.Failures[why]++
}

func (r *recorder) read(response *http.Response, due time.Time) {
	var times []time.Time
	whole := false
	for scanner := bufio.NewScanner(response.Body); scanner.Scan(); {
		line := scanner.Text()
		switch {
		case line == "data: [DONE]":
			whole = true
		case strings.Contains(line, `"content":"`) && !strings.Contains(line, `"content":""`):
			times = append(times, time.Now())
		}
	}
	end := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	if !whole || len(times) == 0 {
		r.result.Failures["cut"]++
		return
	}
	r.result.Completed++
	_ = r.first.RecordValue(times[0].Sub(due).Microseconds())
	for i := 1; i < len(times); i++ {
		_ = r.token.RecordValue(times[i].Sub(times[i-1]).Microseconds())
	}
	_ = r.total.RecordValue(end.Sub(due).Microseconds())
}
