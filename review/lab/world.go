package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment: a store, replicas, machines and their platform, on loopback
// addresses.
type world struct {
	dir      string
	started  time.Time
	trouble  bool
	store    *store
	machines []*machine
	replicas []*replica
	bounds   map[string]any
	// maxFiles is the limit of descriptors of a machine's process, or 0 for the default.
	maxFiles int
	// brief is true if the record holds one line for each request and run.
	brief bool
	// storeAddress is the address of the store for the machines, if not the store's own.
	storeAddress string

	mu     sync.Mutex
	record *os.File
	ended  chan struct{}
}

// machine is a machine of the system with one process.
type machine struct {
	name, zone, ip      string
	front, ready, peers string
	settings            string

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	exits     int
	noRestart bool
}

// fatal ends the run with the status for a case that could not run.
func (w *world) fatal(format string, args ...any) {
	w.log("cannot run: "+format, args...)
	w.close()
	os.Exit(2)
}

// log writes a line to record.txt, with the seconds since the start.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	w.record.WriteString(line)
}

// detail logs a line that a brief record leaves out.
func (w *world) detail(format string, args ...any) {
	if !w.brief {
		w.log(format, args...)
	}
}

// newWorld starts the store. Settings of the machines are those of a small deployment.
func newWorld(recordPath string) *world {
	w := &world{started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", ended: make(chan struct{})}
	var err error
	if w.record, err = os.Create(recordPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		w.fatal("%v", err)
	}
	if w.store, err = startStore("127.0.0.1"); err != nil {
		w.fatal("%v", err)
	}
	go w.watch()
	w.bounds = map[string]any{
		"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
		"configApplyMs": 2000, "downgradeSlackMs": 250, "stretchMaxMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.9,
		"budgetWindowS": 10, "budgetSlack": 58, "exposureShare": 0.15, "exposureSlack": 30, "rollbackMs": 5000, "coldOvershoot": 1.5,
		"coldSlack": 5, "evacuateMs": 5000, "recoveryS": 12, "passMs": 120, "reuseWindowS": 10, "sessionS": 5,
	}
	return w
}

// freePort returns a port that is free on all the addresses.
func freePort(ips []string) (int, error) {
	for range 100 {
		l, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

const memoryMB = 284

// startMachines writes the settings of n machines in the given zones, starts them and waits
// until they are ready.
func (w *world) startMachines(zones ...string) {
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, 2+i))
	}
	var ports [3]int
	for i := range ports {
		port, err := freePort(ips)
		if err != nil {
			w.fatal("%v", err)
		}
		ports[i] = port
	}
	zoneMap := map[string]string{}
	var seeds []string
	for i, zone := range zones {
		zoneMap[zone] = "region-1"
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: ips[i]}
		m.front, m.ready, m.peers = fmt.Sprintf("%s:%d", m.ip, ports[0]), fmt.Sprintf("%s:%d", m.ip, ports[1]), fmt.Sprintf("%s:%d", m.ip, ports[2])
		w.machines = append(w.machines, m)
		if len(seeds) < 3 {
			seeds = append(seeds, m.peers)
		}
	}
	for _, m := range w.machines {
		settings := map[string]any{
			"nodeName": m.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ip": m.ip, "zone": m.zone,
			"region": "region-1", "zones": zoneMap, "listen": map[string]string{"front": m.front, "ready": m.ready, "controlPlane": m.peers},
			"internalPorts": []int{7340, 7355}, "seedNodes": seeds, "bootstrap": true, "faultCounted": false,
			"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "rollout"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": w.bounds,
			"platform": map[string]any{"address": cmp.Or(w.storeAddress, w.store.address), "form": "log", "writesPerS": 400, "readsPerS": 2000, "parts": 8, "appendMs": 4.0,
				"partMbS": 20.0, "readMbS": 80.0, "recordBytes": 262144, "callBytes": 2097152, "keep_s": 300, "partMb": 200, "ttlMinMs": 1000},
		}
		data, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			w.fatal("%v", err)
		}
		m.settings = filepath.Join(w.dir, m.name+".json")
		if err := os.WriteFile(m.settings, data, 0o600); err != nil {
			w.fatal("%v", err)
		}
		w.start(m)
	}
	for _, m := range w.machines {
		if !w.awaitReady(m, 10*time.Second) {
			w.fatal("%s does not become ready", m.name)
		}
	}
}

// runCommand is the command of the deploy file's role, split at spaces.
func runCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("no run command in deploy/system.toml")
}

// start starts a machine's process; it is restarted after a short delay when it ends.
func (w *world) start(m *machine) {
	started := make(chan struct{})
	go func() {
		runtime.LockOSThread() // The process is killed when the thread that started it ends.
		w.supervise(m, started)
	}()
	<-started
}

// supervise starts the process, closes started and waits until the process has ended.
func (w *world) supervise(m *machine, started chan<- struct{}) {
	command, err := runCommand()
	if err != nil {
		w.fatal("%v", err)
	}
	log, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		w.fatal("%v", err)
	}
	c := exec.Command(command[0], command[1:]...)
	if w.maxFiles > 0 {
		c = exec.Command("bash", append([]string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, w.maxFiles)}, command...)...)
	}
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FOXTAILBRIDGE_BOOT=" + m.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // No process outlives the lab.
	if err := c.Start(); err != nil {
		w.fatal("%v", err)
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = c, exited
	m.mu.Unlock()
	w.log("%s: process %d starts", m.name, c.Process.Pid)
	close(started)
	err = c.Wait()
	log.Close()
	w.log("%s: process %d has ended (%v)", m.name, c.Process.Pid, err)
	m.mu.Lock()
	m.process = nil
	m.exits++
	restart := !m.noRestart
	m.mu.Unlock()
	close(exited)
	if !restart {
		return
	}
	select {
	case <-w.ended:
	case <-time.After(200 * time.Millisecond):
		w.start(m)
	}
}

// signal sends a signal to the machine's process and returns its pid, or 0 if there is none.
func (w *world) signal(m *machine, s syscall.Signal) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return 0
	}
	m.process.Process.Signal(s)
	return m.process.Process.Pid
}

// stop is a planned stop: SIGTERM, and SIGKILL after the grace period. The process isn't
// started again. The channel is closed when it has ended.
func (w *world) stop(m *machine, grace time.Duration) <-chan struct{} {
	m.mu.Lock()
	m.noRestart = true
	exited := m.exited
	m.mu.Unlock()
	w.log("%s: SIGTERM", m.name)
	w.signal(m, syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(grace):
			w.log("%s: SIGKILL at the end of the grace period", m.name)
			w.signal(m, syscall.SIGKILL)
		}
	}()
	return exited
}

func (w *world) awaitReady(m *machine, timeout time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + m.ready + "/v1/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// close ends all processes that were started, and the stand-ins.
func (w *world) close() {
	close(w.ended)
	for _, m := range w.machines {
		m.mu.Lock()
		m.noRestart = true
		exited := m.exited
		m.mu.Unlock()
		if w.signal(m, syscall.SIGKILL) != 0 {
			<-exited
		}
	}
	for _, r := range w.replicas {
		r.server.Close()
	}
	if w.store != nil {
		w.store.server.Close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
	w.record.Close()
}

// finish logs the verdict, ends everything and exits with the script's status.
func (w *world) finish(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	verdict, status := "the rule held: ", 0
	if broken {
		verdict, status = "THE RULE WAS BROKEN: ", 1
	}
	w.log("%s%s", verdict, text)
	fmt.Println(verdict + text)
	w.close()
	os.Exit(status)
}

// maxDuration bounds a run.
const maxDuration = 115 * time.Second

// watch ends a run that takes too long or is interrupted.
func (w *world) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-w.ended:
	case s := <-signals:
		w.fatal("%v", s)
	case <-time.After(maxDuration):
		w.fatal("no verdict after %v", maxDuration)
	}
}

// showLog copies the lines of the machines' logs that hold the event and one of the words to the
// record.
func (w *world) showLog(event string, words ...string) {
	const maxLines = 60
	lines := 0
	for _, m := range w.machines {
		data, err := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			for _, word := range words {
				if strings.Contains(line, event) && strings.Contains(line, word) && lines < maxLines {
					w.log("log of %s: %s", m.name, line)
					lines++
					break
				}
			}
		}
	}
}
