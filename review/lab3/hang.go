package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// crowdRequests is how many requests the caller sends that doesn't behave, 25 to each machine,
	// and crowdPause the time between two of them. One in absurdEvery has the absurd prompt.
	crowdRequests = 100
	crowdPause    = 25 * time.Millisecond
	absurdEvery   = 5
	// longPrompt is a prompt that is long but fits into a replica. The numbers of tokens of
	// absurdPrompt add up to more than a 64-bit number holds.
	longPrompt   = "ab:60000,cd:5"
	absurdPrompt = "ab:9223372036854775807,cd:9223372036854745809"
	// hangAfter is when the watch begins after the last of them, and hangWatch how long it lasts.
	hangAfter = 5 * time.Second
	hangWatch = 15 * time.Second
	// probePeriod is the time between two readiness checks of a machine, as on the platform.
	probePeriod = time.Second
)

// absurdTokens checks that no process hangs while a caller names absurd numbers of tokens.
func absurdTokens(l *lab) bool {
	l.publish(1, []string{key}, []map[string]any{
		route("note", "lm", "streaming", 4*time.Second, 3), route("look", "app", "safe", 1500*time.Millisecond, 2),
	})
	for n := range 6 {
		l.addReplica("lm", []string{"zone-1", "zone-2"}[n%2], 48)
	}
	for n := range 2 {
		l.addReplica("app", []string{"zone-1", "zone-2"}[n], 6)
	}
	l.startMachines(2, []string{"zone-1", "zone-2"}, smallMachine)
	stop := make(chan struct{})
	defer close(stop)
	stream := func(n int, id, prefix string) call {
		return call{machine: l.machines[n%len(l.machines)], method: "POST", path: "/note/tag", id: id, key: key, body: "tag", wait: 4 * time.Second,
			header: map[string]string{"X-Model": "model-1", "X-Token-Counts": "400,300", "X-Prompt-Prefix": prefix}}
	}
	// watched counts the ordinary requests of each machine in the watch, and answered those of them
	// that got any answer.
	type counts struct{ sent, answered outcomes }
	var watched counts
	watching := make(chan struct{})
	ordinary := func(c call) {
		inWatch := false
		select {
		case <-watching:
			inWatch = true
		default:
		}
		a := l.send(c)
		if inWatch {
			watched.sent.add(c.machine.name)
			if a.status != 0 {
				watched.answered.add(c.machine.name)
			}
		}
	}
	every(50*time.Millisecond, stop, func(n int) { ordinary(stream(n, newID("note"), "5c1e07a2:300,91bd3f06:100")) })
	every(50*time.Millisecond, stop, func(n int) {
		ordinary(call{machine: l.machines[n%len(l.machines)], method: "GET", path: "/look/bin", id: newID("look"), key: key, wait: 1500 * time.Millisecond})
	})
	time.Sleep(5 * time.Second)
	if l.trouble {
		l.note("the caller that doesn't behave begins")
		for n := range crowdRequests {
			prompt := longPrompt
			if n/len(l.machines)%absurdEvery == 0 {
				prompt = absurdPrompt
			}
			go l.send(stream(n, newID("absurd"), prompt))
			time.Sleep(crowdPause)
		}
		l.note("the caller that doesn't behave has ended")
	}
	time.Sleep(hangAfter)
	close(watching)
	before := map[*machine]time.Duration{}
	for _, m := range l.machines {
		before[m] = processorTime(m.command.Process.Pid)
	}
	ready := l.watchReady(hangWatch)
	hung := 0
	for _, m := range l.machines {
		spent := processorTime(m.command.Process.Pid) - before[m]
		l.note("%s in %v: %d of %d readiness checks answered, %d of %d ordinary requests answered, %.1f s of processor time",
			m.name, hangWatch, ready[m].served, ready[m].sent, watched.answered.of(m.name), watched.sent.of(m.name), spent.Seconds())
		if ready[m].served == 0 && watched.answered.of(m.name) == 0 {
			hung++
		}
	}
	l.note("%d of %d processes hang", hung, len(l.machines))
	return hung > 0
}

// watchReady asks each machine whether it is ready, and returns how many of the questions got any
// answer within the period.
func (l *lab) watchReady(duration time.Duration) map[*machine]tally {
	client := &http.Client{Timeout: probePeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	type result struct {
		machine  *machine
		answered bool
	}
	results := make(chan result, 1024)
	asked := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(probePeriod) {
		for _, m := range l.machines {
			asked++
			go func() {
				response, err := client.Get("http://" + m.ready + "/v1/ready")
				if err == nil {
					response.Body.Close()
				}
				results <- result{m, err == nil}
			}()
		}
	}
	counts := map[*machine]tally{}
	for range asked {
		r := <-results
		t := counts[r.machine]
		t.sent++
		if r.answered {
			t.served++
		}
		counts[r.machine] = t
	}
	return counts
}

// tooLarge reports whether a prompt has more tokens than a replica's memory, or an absurd number.
func tooLarge(prefix string) bool {
	sum := 0.0
	for _, part := range strings.Split(prefix, ",") {
		_, tokens, _ := strings.Cut(part, ":")
		sum += number(tokens)
	}
	return sum > kvCapacity
}

// processorTime returns the processor time that a process has used.
func processorTime(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, found := bytes.Cut(stat, []byte(") "))
	fields := bytes.Fields(rest) // From the state on: the 12th and 13th are ticks of 10 ms.
	if !found || len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(string(fields[11])) // The kernel writes numbers.
	system, _ := strconv.Atoi(string(fields[12]))
	return time.Duration(user+system) * 10 * time.Millisecond
}
