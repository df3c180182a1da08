package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Values of the settings and of the manifests, from the users' sheet of kylma-returns.
const (
	contactTime     = 3 * time.Second
	configApplyTime = 2 * time.Second
	evacuateTime    = 5 * time.Second
	stretchTime     = 5 * time.Second
	beatPeriod      = 1200 * time.Millisecond
	kvCapacity      = 726595
	host            = "desk.example"
	key             = "key-of-desk"
	tenant          = "desk"
)

// unable is the reason why a case could not run.
type unable string

// lab is one run of a case.
type lab struct {
	trouble  bool
	folder   string
	root     string
	temp     string
	prefix   string // The first three numbers of the run's loopback addresses.
	start    time.Time
	store    *store
	machines []*machine
	replicas []*replica

	mu     sync.Mutex
	record *os.File
	closed bool
	runs   []run
}

// run is a request that a replica began to run.
type run struct {
	at       time.Time
	replica  string
	zone     string
	id, path string
}

// newLab prepares a run whose record is written into the folder.
func newLab(folder string, trouble bool) (*lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "platform")); err != nil {
		return nil, fmt.Errorf("run the build of deploy/system.toml first: %w", err)
	}
	temp, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	l := &lab{trouble: trouble, folder: folder, root: root, temp: temp, record: record, start: time.Now(),
		prefix: fmt.Sprintf("127.%d.%d", 70+pid>>8&31, pid&255)}
	l.note("case %s, disruption: %v", filepath.Base(folder), trouble)
	l.store = newStore(l)
	return l, nil
}

// note writes a line to the record, with the time since the start of the run.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
	}
}

// ran records that a replica begins to run a request.
func (l *lab) ran(r *replica, id string, request *http.Request) {
	one := run{time.Now(), id, r.zone, request.Header.Get("X-Request-Id"), request.URL.Path}
	l.mu.Lock()
	l.runs = append(l.runs, one)
	l.mu.Unlock()
	l.note("run %s %s at %s in %s", one.id, one.path, one.replica, one.zone)
}

// ranSince returns the runs since a time.
func (l *lab) ranSince(at time.Time) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []run
	for _, one := range l.runs {
		if one.at.After(at) {
			list = append(list, one)
		}
	}
	return list
}

// send sends a call and records it with its answer.
func (l *lab) send(c call) answer {
	l.note("sent %s %s %s to %s with %s", c.id, c.method, c.path, c.machine.name, c.key)
	a := c.do()
	l.note("answered %s: %v", c.id, a)
	return a
}

// close ends everything that the run started.
func (l *lab) close() {
	for _, m := range l.machines {
		m.end()
	}
	for _, r := range l.replicas {
		r.end()
	}
	l.store.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		l.closed = true
		l.record.Close()
		os.RemoveAll(l.temp)
	}
}

// listen opens a free port of a loopback address of the run.
func (l *lab) listen(last int) net.Listener {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", l.prefix, last))
	if err != nil {
		panic(unable(err.Error()))
	}
	return listener
}

// freeAddress returns a free address.
func (l *lab) freeAddress(last int) string {
	listener := l.listen(last)
	defer listener.Close()
	return listener.Addr().String()
}

// machine is a machine of the system with its process.
type machine struct {
	lab                     *lab
	name, zone              string
	ip, front, ready, peers string
	command                 *exec.Cmd
	exited                  chan struct{}
	log                     *os.File
}

// limits are the limits of a machine.
type limits struct {
	cpuShare, linkMbps float64
	memoryMB, maxFds   int
}

// smallMachine is a machine of kylma-returns.
var smallMachine = limits{cpuShare: 0.4, linkMbps: 1000, memoryMB: 284, maxFds: 4100}

// startMachines starts count machines in each of the zones and waits until all are ready.
func (l *lab) startMachines(count int, zones []string, lim limits) {
	regions := map[string]string{}
	for _, zone := range zones {
		regions[zone] = "region-1"
		for n := range count {
			last := 10 + len(l.machines)
			m := &machine{lab: l, name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("%s.%d", l.prefix, last)}
			m.front, m.ready, m.peers = l.freeAddress(last), l.freeAddress(last), l.freeAddress(last)
			l.machines = append(l.machines, m)
		}
	}
	var seeds []string
	for _, m := range l.machines[:min(3, len(l.machines))] {
		seeds = append(seeds, m.peers)
	}
	for _, m := range l.machines {
		m.run(regions, seeds, lim)
	}
	for _, m := range l.machines {
		m.awaitReady()
	}
	l.note("%d machines are ready", len(l.machines))
}

// run starts the process with the command of deploy/system.toml.
func (m *machine) run(zones map[string]string, seeds []string, lim limits) {
	l := m.lab
	settings := filepath.Join(l.temp, m.name+".json")
	data, err := json.Marshal(map[string]any{
		"nodeName": m.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"},
		"ip": m.ip, "zone": m.zone, "region": "region-1", "zones": zones,
		"listen":    map[string]string{"front": m.front, "ready": m.ready, "controlPlane": m.peers},
		"seedNodes": seeds, "bootstrap": true, "faultCounted": false, "dataDir": nil, "discovery": "platform", "entry": "vip",
		"limits":         map[string]any{"cpuShare": lim.cpuShare, "cores": 1, "memoryMb": lim.memoryMB, "maxFds": lim.maxFds, "linkMbps": lim.linkMbps, "diskMb": 0},
		"heartbeatMs":    beatPeriod.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": contactTime.Milliseconds(), "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": configApplyTime.Milliseconds(), "downgradeSlackMs": 250, "stretchMaxMs": stretchTime.Milliseconds(),
			"strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.9, "budgetWindowS": 10, "budgetSlack": 58, "exposureShare": 0.15,
			"exposureSlack": 30, "rollbackMs": 5000, "coldOvershoot": 1.5, "coldSlack": 5, "evacuateMs": evacuateTime.Milliseconds(),
			"recoveryS": 12, "passMs": 120, "reuseWindowS": 10, "sessionS": 5,
		},
		"platform": map[string]any{
			"address": l.store.address, "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partMbS": 20.0,
			"readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000,
		},
	})
	if err == nil {
		err = os.WriteFile(settings, data, 0o600)
	}
	if err == nil {
		m.log, err = os.Create(filepath.Join(l.temp, m.name+".log"))
	}
	if err != nil {
		panic(unable(err.Error()))
	}
	c := exec.Command(filepath.Join(l.root, "target", "platform"), "run", "-metrics", "9464")
	c.Dir = l.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "FOXTAILBRIDGE_BOOT=" + settings}
	c.Stdout, c.Stderr = m.log, m.log
	if err := c.Start(); err != nil {
		panic(unable(err.Error()))
	}
	m.command, m.exited = c, make(chan struct{})
	go func() {
		defer close(m.exited)
		_ = c.Wait() // Its state says how it ended.
		l.note("the process of %s ended: %s", m.name, c.ProcessState)
	}()
	l.note("started %s in %s, process %d", m.name, m.zone, c.Process.Pid)
}

func (m *machine) awaitReady() {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + m.ready + "/v1/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	panic(unable(m.name + " is not ready"))
}

// end kills the process if it still runs.
func (m *machine) end() {
	if m.command == nil {
		return
	}
	select {
	case <-m.exited:
	default:
		_ = m.command.Process.Signal(syscall.SIGKILL) // It may have exited.
		<-m.exited
	}
	if os.Getenv("KEEP_LOGS") != "" {
		if data, err := os.ReadFile(filepath.Join(m.lab.temp, m.name+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), m.name+".log"), data, 0o600)
		}
	}
	m.log.Close()
}

// manifest returns a manifest with the routes and services that a case names.
func manifest(version int, keys []string, routes ...map[string]any) map[string]any {
	services := map[string]bool{}
	var list []map[string]any
	for _, r := range routes {
		name := r["service"].(string)
		if services[name] {
			continue
		}
		services[name] = true
		s := map[string]any{"name": name, "healthPath": "/health", "maxConnections": 310, "protocol": "h1", "tls": false, "coldStartS": 0.0, "coldPerS": 0.0}
		if strings.HasPrefix(name, "lm") {
			s["engine"] = map[string]any{"slots": 48, "kvCapacity": kvCapacity, "tokenKvBytes": 35136, "linkMbps": 1100000.0, "stride": 7, "most": 12,
				"models": []any{map[string]any{"name": "model-1", "cost": 0.1}}}
		}
		list = append(list, s)
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": keys}},
	}
}

// route returns a route of a manifest.
func route(name, service, kind string, timeout time.Duration, attempts int) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "service": service, "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"goalMs": 100, "attempts": attempts, "priority": 1, "public": false,
	}
	if kind == "streaming" {
		r["goalMs"], r["gapTargetMs"], r["resumable"], r["sticky"] = 2000, 1000, true, true
	}
	return r
}
