package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lab is one play of a case.
type lab struct {
	started time.Time
	trouble bool
	dir     string
	subnet  string
	store   *store
	storeAt string
	ports   struct{ front, ready, control int }

	mu    sync.Mutex
	file  *os.File
	hosts int
	ends  []func()
	runs  []run
	// ending is true once nothing is to be started any more.
	ending atomic.Bool
}

// run is one run of a request at a replica.
type run struct {
	replica *replica
	id      string
	path    string
	at      time.Time
}

const apiKey = "lab2-key"

// newLab starts the store; folder is where record.txt is written.
func newLab(folder string) *lab {
	l := &lab{started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: newStore()}
	l.subnet = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		l.cannotRun("record: %v", err)
	}
	l.file = file
	if l.dir, err = os.MkdirTemp("", "lab2-"); err != nil {
		l.cannotRun("folder: %v", err)
	}
	l.onEnd(func() { os.RemoveAll(l.dir) })
	l.ports.front, l.ports.ready, l.ports.control = 8000+rand.IntN(300), 8400+rand.IntN(300), 8800+rand.IntN(300)
	listener, err := net.Listen("tcp", l.newIP()+":0")
	if err != nil {
		l.cannotRun("listen: %v", err)
	}
	l.storeAt = listener.Addr().String()
	server := &http.Server{Handler: l.store}
	go func() { _ = server.Serve(listener) }()
	l.onEnd(func() { server.Close() })
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			for _, key := range l.store.expire() {
				l.record("platform", "the entry of %s has expired", key)
			}
		}
	}()
	l.record("case", "trouble=%v", l.trouble)
	return l
}

// newIP returns a loopback address for one host.
func (l *lab) newIP() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts++
	return fmt.Sprint(l.subnet, l.hosts)
}

// record writes a line of the record.
func (l *lab) record(event, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		fmt.Fprintf(l.file, "%8.3f %s %s\n", time.Since(l.started).Seconds(), event, fmt.Sprintf(format, args...))
	}
}

func (l *lab) onEnd(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends = append(l.ends, f)
}

// end ends everything that the play has started.
func (l *lab) end() {
	l.ending.Store(true)
	l.mu.Lock()
	ends := l.ends
	l.ends = nil
	l.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
}

func (l *lab) cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	l.end()
	os.Exit(2)
}

// finish ends the play and exits with 1 if the rule was broken.
func (l *lab) finish(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.record("verdict", "broken=%v %s", broken, text)
	l.end()
	fmt.Printf("broken=%v trouble=%v: %s\n", broken, l.trouble, text)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// until waits for a time of the play.
func (l *lab) until(seconds float64) {
	time.Sleep(time.Until(l.started.Add(time.Duration(seconds * float64(time.Second)))))
}

func (l *lab) ran(r *replica, id, path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, run{r, id, path, time.Now()})
}

// runsOf returns the runs that a condition chooses.
func (l *lab) runsOf(choose func(run) bool) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []run
	for _, n := range l.runs {
		if choose(n) {
			list = append(list, n)
		}
	}
	return list
}

// publish writes the first manifest.
func (l *lab) publish() {
	l.publishRoutes(1)
}

// publishRoutes writes a manifest with the usual routes and further ones.
func (l *lab) publishRoutes(version int, more ...any) {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "lab.example", "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 800, "goalMs": 100,
			"attempts": attempts, "priority": 2,
		}
	}
	l.store.put(topicOrders, "config", map[string]any{
		"version": version,
		"routes":  append([]any{route("refund-post", "/refund/", "unsafe", 1), route("stock-look", "/stock/", "safe", 2)}, more...),
		"services": []any{
			map[string]any{"name": service, "healthPath": "/health", "maxConnections": 110, "coldStartS": 0, "coldPerS": 0},
			map[string]any{"name": modelService, "healthPath": "/health", "maxConnections": 310, "coldStartS": 3, "coldPerS": 17},
		},
		"limits":  map[string]any{"maxHeaderBytes": headerBytes, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "desk", "apiKeys": []string{apiKey}}},
	})
}

// machine is a machine that runs the platform program.
type machine struct {
	lab      *lab
	name, ip string
	zone     string
	settings string
	command  *exec.Cmd
	exited   chan struct{}
}

func (l *lab) newMachine(name, zone string) *machine {
	return &machine{lab: l, name: name, zone: zone, ip: l.newIP()}
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// writeSettings writes the machine's settings file.
func (m *machine) writeSettings(bootstrap bool, seeds ...*machine) {
	l := m.lab
	var list []string
	for _, s := range seeds {
		list = append(list, s.at(l.ports.control))
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": m.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ip": m.ip, "zone": m.zone, "region": "fi-south",
		"zones":         map[string]string{"vantaa": "fi-south", "espoo": "fi-south", "lahti": "fi-south", "hameenlinna": "fi-south"},
		"listen":        map[string]string{"front": m.at(l.ports.front), "ready": m.at(l.ports.ready), "controlPlane": m.at(l.ports.control)},
		"internalPorts": []int{7340, 7355}, "seedNodes": list, "bootstrap": bootstrap, "faultCounted": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": beatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "downgradeSlackMs": 250, "stretchMaxMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.9,
			"budgetWindowS": 10, "budgetSlack": 58, "exposureShare": 0.15, "exposureSlack": 30, "rollbackMs": 5000, "coldOvershoot": 1.5, "coldSlack": 5,
			"evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "reuseWindowS": 10, "sessionS": 5,
		},
		"platform": map[string]any{"address": l.storeAt, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partMbS": 20.0,
			"readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
	})
	if err != nil {
		l.cannotRun("settings: %v", err)
	}
	m.settings = filepath.Join(l.dir, m.name+".json")
	if err := os.WriteFile(m.settings, data, 0o600); err != nil {
		l.cannotRun("settings: %v", err)
	}
}

// start starts the program with the command of the deploy file.
func (m *machine) start() {
	l := m.lab
	log, err := os.Create(filepath.Join(l.dir, m.name+".log"))
	if err != nil {
		l.cannotRun("log: %v", err)
	}
	c := exec.Command("target/platform", "run", "-metrics", "9464")
	c.Env = []string{"FOXTAILBRIDGE_BOOT=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		l.cannotRun("start: %v", err)
	}
	m.command, m.exited = c, make(chan struct{})
	exited := m.exited
	go func() {
		defer close(exited)
		_ = c.Wait()
		log.Close()
	}()
	l.record("platform", "%s is started", m.name)
	l.onEnd(func() {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		<-exited
		if folder := os.Getenv("LAB2_LOGS"); folder != "" {
			if data, err := os.ReadFile(log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(folder, filepath.Base(log.Name())), data, 0o600)
			}
		}
	})
}

// signal sends a signal to the machine's process.
func (m *machine) signal(s syscall.Signal) {
	m.lab.record("platform", "%s gets signal %v", m.name, s)
	_ = m.command.Process.Signal(s)
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	response, err := client.Get("http://" + m.at(m.lab.ports.ready) + "/v1/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the machine says that it is ready.
func (m *machine) awaitReady(limit time.Duration) {
	deadline := time.Now().Add(limit)
	for !m.ready() {
		if time.Now().After(deadline) {
			m.lab.cannotRun("%s is not ready after %v", m.name, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
	m.lab.record("platform", "%s is ready", m.name)
}

// summary returns the first entries of a list of runs for the verdict.
func (l *lab) summary(list []run) string {
	var b strings.Builder
	for i, n := range list {
		if i == 3 {
			break
		}
		fmt.Fprintf(&b, " [%.3f s %s at %s]", n.at.Sub(l.started).Seconds(), n.id, n.replica.id)
	}
	return b.String()
}
