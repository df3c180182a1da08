package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// hostilePrefix begins the ids of the hostile clients' requests.
	hostilePrefix = "hostile-"
	modelService  = "lm-pool"
	// headerBytes and bodyBytes are the limits of the manifest.
	headerBytes = 16384
	bodyBytes   = 4194304
	// memoryLimit is limits.memoryMb of the settings.
	memoryLimit = 284 << 20
)

// retainedHeaders: clients that the users don't control send requests of legal size whose headers
// hold one long field, and bodies that stop short of their end.
func retainedHeaders(l *lab) {
	machines, replicas := l.fleet()
	for i := range 18 {
		zone := []string{"vantaa", "espoo", "lahti", "hameenlinna"}[i%4]
		r := l.newReplica(fmt.Sprintf("i-model-%d", i), zone, modelService)
		r.slots, r.stream = 48, true
		replicas = append(replicas, r)
	}
	l.publishRoutes(2, map[string]any{
		"name": "condition-note", "host": "lab.example", "pathPrefix": "/note/", "kind": "streaming", "service": modelService, "timeoutMs": 15000,
		"goalMs": 2000, "attempts": 3, "priority": 1, "resumable": true, "sticky": true, "gapTargetMs": 1000,
	})
	l.startAll(machines, replicas)
	var traffic []*consumers
	for _, m := range machines {
		traffic = append(traffic, l.startConsumers(m, 2, 400*time.Millisecond))
	}
	var guards []*guard
	for _, m := range machines {
		guards = append(guards, l.watchMemory(m, machines))
	}
	l.until(3)
	if l.trouble {
		var work sync.WaitGroup
		for i, m := range machines[:2] {
			work.Go(func() { l.attack(m, guards[i]) })
		}
		work.Wait()
	} else {
		time.Sleep(20 * time.Second)
	}
	lost := 0
	for _, c := range traffic {
		c.end()
		for _, a := range c.all() {
			if a.status == 0 {
				lost++
			}
		}
	}
	ended, text := 0, ""
	for _, g := range guards {
		g.mu.Lock()
		text += fmt.Sprintf(" %s: peak %d MB of %d MB, killed %d times;", g.machine.name, g.peak>>20, memoryLimit>>20, g.kills)
		if g.kills >= maxKills {
			ended++
		}
		g.mu.Unlock()
	}
	l.finish(ended >= 2, "on %d machines the process ended three times for its memory;%s %d requests of ordinary consumers had no answer", ended, text, lost)
}

const (
	// maxKills is the number of ends of processes on a machine from which the day has a fault.
	maxKills = 3
	// attackEnd is the time of the play, in seconds, at which no further round begins.
	attackEnd = 80
)

// attack sends rounds of hostile requests to a machine: prompt fields that the instance remembers by
// endpoint and by part, session fields, and bodies.
func (l *lab) attack(m *machine, g *guard) {
	for time.Since(l.started) < attackEnd*time.Second {
		kills := g.count()
		if kills >= maxKills {
			return
		}
		for _, step := range []struct {
			what string
			send func() (int64, int64)
		}{
			{"requests with a long prompt field", func() (int64, int64) { return l.crowd(m, g, 48, 9000, longPrompt("/note/", 5000)) }},
			{"requests with a long session field", func() (int64, int64) { return l.crowd(m, g, 48, 4800, longSession) }},
			{"bodies that stopped short of their end", func() (int64, int64) { return l.unfinishedBodies(m, 60, 3*time.Second), 0 }},
		} {
			sent, answered := step.send()
			l.record("hostile", "%s: %d %s were sent, %d answered 200; RssAnon %d MB, processor time %.1f s", m.name, sent, step.what, answered, m.memory()>>20, m.processorTime().Seconds())
			if g.count() > kills {
				break
			}
		}
		m.awaitReady(5 * time.Second)
	}
}

// memory returns the anonymous resident memory of the machine's process.
func (m *machine) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// processorTime returns the processor time that the machine's process has used.
func (m *machine) processorTime() time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// guard kills a machine's process when it exceeds its memory, as the platform does, and restarts it.
type guard struct {
	machine *machine
	mu      sync.Mutex
	peak    int64
	kills   int
}

func (g *guard) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.kills
}

func (l *lab) watchMemory(m *machine, seeds []*machine) *guard {
	g := &guard{machine: m}
	go func() {
		for {
			time.Sleep(10 * time.Millisecond)
			used := m.memory()
			g.mu.Lock()
			g.peak = max(g.peak, used)
			g.mu.Unlock()
			if used <= memoryLimit {
				continue
			}
			l.record("platform", "%s holds %d MB of its %d MB and is killed", m.name, used>>20, memoryLimit>>20)
			exited := m.exited
			_ = m.command.Process.Signal(syscall.SIGKILL)
			<-exited
			g.mu.Lock()
			g.kills++
			g.mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			if !l.ending.Load() {
				m.writeSettings(false, seeds...)
				m.start()
			}
		}
	}()
	return g
}

// crowdRate is the number of requests a second of a crowd.
const crowdRate = 600

// crowd sends requests, and returns how many were sent and how many answered with 200.
func (l *lab) crowd(m *machine, g *guard, connections, count int, request func() string) (sent, answered int64) {
	var sentCount, answeredCount atomic.Int64
	tokens, kills := make(chan struct{}), g.count()
	go func() {
		defer close(tokens)
		start := time.Now()
		for n := range count {
			time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / crowdRate)))
			if g.count() > kills {
				return
			}
			tokens <- struct{}{}
		}
	}()
	var work sync.WaitGroup
	for range connections {
		work.Go(func() {
			ch := &channel{address: m.at(l.ports.front)}
			defer func() { ch.close() }()
			for range tokens {
				sentCount.Add(1)
				text := request()
				response, err := ch.exchange(text, text[:strings.IndexByte(text, ' ')])
				if err == nil && response.StatusCode == http.StatusOK {
					answeredCount.Add(1)
				}
			}
		})
	}
	work.Wait()
	return sentCount.Load(), answeredCount.Load()
}

// hostileHead returns the begin of a request's head.
func hostileHead(method, path string, deadlineMs int) string {
	return fmt.Sprintf("%s %s%d HTTP/1.1\r\nHost: lab.example\r\nX-Request-Id: %s%016x\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, rand.IntN(1000), hostilePrefix, rand.Uint64(), deadlineMs, apiKey)
}

// headerMargin keeps a header below the manifest's limit.
const headerMargin = 200

// longPrompt returns a function that makes requests whose prompt field fills the header.
func longPrompt(path string, deadlineMs int) func() string {
	return func() string {
		head := hostileHead("POST", path, deadlineMs) + "X-Model: m0\r\nX-Token-Counts: 3,8\r\nContent-Length: 0\r\nX-Prompt-Prefix: "
		end := fmt.Sprintf(":1,%016x:1,%016x:1\r\n\r\n", rand.Uint64(), rand.Uint64())
		return head + longID(headerBytes-headerMargin-len(head)-len(end)) + end
	}
}

// longSession makes requests whose session field fills the header.
func longSession() string {
	head := hostileHead("GET", "/stock/", 1500) + "Session: "
	return head + longID(headerBytes-headerMargin-len(head)-4) + "\r\n\r\n"
}

// longID returns a hexadecimal id of a length.
func longID(n int) string {
	text := fmt.Sprintf("%016x", rand.Uint64())
	return text + strings.Repeat("0", n-len(text))
}

// unfinishedBodies sends bodies of legal size that stop just short of their end, and holds them open. It
// returns their number.
func (l *lab) unfinishedBodies(m *machine, count int, hold time.Duration) int64 {
	var work sync.WaitGroup
	chunk := strings.Repeat("b", 64<<10)
	for range count {
		work.Go(func() {
			conn, err := net.DialTimeout("tcp", m.at(l.ports.front), time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(hold))
			_, err = fmt.Fprintf(conn, "POST /refund/1 HTTP/1.1\r\nHost: lab.example\r\nX-Request-Id: %s%016x\r\nX-Deadline-Ms: 20000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
				hostilePrefix, rand.Uint64(), apiKey, bodyBytes)
			for n := 0; err == nil && n < bodyBytes-len(chunk); n += len(chunk) {
				_, err = io.WriteString(conn, chunk)
			}
			_, _ = bufio.NewReader(conn).ReadByte()
		})
	}
	work.Wait()
	return int64(count)
}
