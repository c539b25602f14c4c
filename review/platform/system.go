package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
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

// maxHoldMS is the bound max_hold_ms of the site.
const maxHoldMS = 10_000

// errAbort ends a case that could not run.
var errAbort = errors.New("the case could not run")

func check(err error) {
	if err != nil {
		panic(fmt.Errorf("%w: %w", errAbort, err))
	}
}

// Record writes what was sent, answered and run, and keeps the history of all runs.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	begun   time.Time
	history []*History
}

// newRecord appends to the file at path.
func newRecord(path string) *Record {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	return &Record{file: file, begun: time.Now()}
}

func (r *Record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) begin(task string, run int64, worker string) *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &History{Task: task, Run: run, Worker: worker, Begun: time.Now()}
	r.history = append(r.history, h)
	return h
}

func (r *Record) acknowledge(worker string, sequence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.history {
		if h.Worker == worker && h.sequence == sequence {
			h.AckedEnd = true
		}
	}
}

// runs returns a copy of the history of all runs of the tasks with the given prefix.
func (r *Record) runs(prefix string) []History {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []History
	for _, h := range r.history {
		if strings.HasPrefix(h.Task, prefix) {
			found = append(found, *h)
		}
	}
	return found
}

func (r *Record) at(t time.Time) float64 { return t.Sub(r.begun).Seconds() }

// System is a small deployment: redwing-node processes and stand-ins of the platform.
type System struct {
	record  *Record
	store   *Store
	folder  string
	nodes   []*Node
	workers []*Worker
	client  *http.Client
	nextJob int
	// usedAddresses holds the addresses that the nodes were given.
	usedAddresses map[string]bool
}

// Node is one redwing-node process.
type Node struct {
	name, settings, callers, ready string
	system                         *System

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

func newSystem(record *Record) *System {
	folder, err := os.MkdirTemp("", "review-")
	check(err)
	return &System{record: record, store: newStore(record), folder: folder, client: &http.Client{Timeout: 3 * time.Second}, usedAddresses: map[string]bool{}}
}

// firstPort and lastPort bound the ports of the nodes; they are below those that the system gives to other listeners.
const firstPort, lastPort = 20000, 32000

// nodeIP returns the loopback address of the nodes, which differs between runs side by side.
func nodeIP() string {
	const values = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", 1+pid/values%values, pid%values)
}

// freePorts returns n addresses on which nothing listens, and returns none of them again.
func (s *System) freePorts(n int) []string {
	var addresses []string
	for len(addresses) < n {
		address := fmt.Sprintf("%s:%d", nodeIP(), firstPort+rand.N(lastPort-firstPort))
		listener, err := net.Listen("tcp", address)
		if err != nil || s.usedAddresses[address] {
			continue
		}
		_ = listener.Close()
		s.usedAddresses[address] = true
		addresses = append(addresses, address)
	}
	return addresses
}

func port(address string) string { return address[strings.LastIndex(address, ":")+1:] }

// addNodes starts n redwing-node processes.
func (s *System) addNodes(n int) {
	for i := range n {
		ports := s.freePorts(4)
		node := &Node{name: fmt.Sprintf("frontend-tt-north-a-%d", i+1), callers: ports[0], ready: ports[1], system: s}
		node.settings = filepath.Join(s.folder, node.name+".conf")
		text := fmt.Sprintf(settingsText, node.name, nodeIP(), ports[0], ports[1], ports[2], port(ports[3]), port(ports[3]), s.store.serve())
		check(os.WriteFile(node.settings, []byte(text), 0o644))
		s.nodes = append(s.nodes, node)
		node.start()
	}
}

func (n *Node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	logFile, err := os.OpenFile(n.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	defer logFile.Close()
	command := exec.Command("target/redwing-node")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.system.folder, "REDWINGTHREAD_BOOT=" + n.settings}
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(command.Start())
	done := make(chan struct{})
	n.command, n.done = command, done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	n.system.record.log("%s started, process %d", n.name, command.Process.Pid)
}

// lastLine returns the last line that the process has written.
func (n *Node) lastLine() string {
	text, _ := os.ReadFile(n.settings + ".log")
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// signal sends a signal to the process.
func (n *Node) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.system.record.log("%s gets %v", n.name, sig)
	_ = n.command.Process.Signal(sig)
}

// exited returns a channel that is closed when the process has ended.
func (n *Node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

// close ends all processes and removes the temporary folder.
func (s *System) close() {
	for _, n := range s.nodes {
		_ = n.command.Process.Kill()
		<-n.exited()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}

// addWorkers starts n workers whose heartbeats are evenly spread over the interval.
func (s *System) addWorkers(n, gpus int) {
	for i := range n {
		phase := heartbeatInterval * time.Duration(i) / time.Duration(n)
		s.workers = append(s.workers, newWorker(fmt.Sprintf("i-%010x", 0xa0000+i), s.store, s.record, gpus, phase))
	}
}

// Route is one route of the configuration.
type Route struct {
	name, prefix          string
	priority, maxAttempts int
	public                bool
}

const (
	host   = "nony24.example"
	apiKey = "d4a3hwrr6x73d3zji9n7"
)

// publish writes a version of the configuration; the return is its ack.
func (s *System) publish(version int, routes ...Route) {
	var rows []map[string]any
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": "non_idempotent", "timeout_ms": 3000, "target_runtime_ms": 1000,
			"priority": r.priority, "service": "bladelab", "max_attempts": r.maxAttempts, "slack_factor": 3.0, "public": r.public,
		})
	}
	config := map[string]any{
		"version": version, "routes": rows,
		"services": []map[string]any{{"name": "bladelab", "health_path": "/health", "connection_limit": 64, "protocol": "h1", "tls": false, "rejects_overload": true, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "guaranteed_gpus": map[string]any{"gpu": 8}}},
	}
	if !s.store.put("keyed.op", "config", config) {
		panic(errAbort)
	}
	text, _ := json.Marshal(rows)
	s.record.log("operator: version %d acknowledged, routes %s", version, text)
}

// call sends one request of a client with the tenant's key, or without one, and returns the status and the body; 0 for no response.
func (s *System) call(n *Node, method, path string, withKey bool, body any) (int, string) {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		check(err)
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, "http://"+n.callers+path, content)
	check(err)
	request.Host = host
	request.Header.Set("X-Remaining-Milliseconds", "3000")
	if content != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if withKey {
		request.Header.Set("Authorization", "Token "+apiKey)
	}
	response, err := s.client.Do(request)
	if err != nil {
		s.record.log("%s %s at %s: no response", method, path, n.name)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	s.record.log("%s %s at %s, key %v: %d %s", method, path, n.name, withKey, response.StatusCode, bytes.TrimSpace(text))
	return response.StatusCode, string(text)
}

// Step is one step of a job.
type Step map[string]any

// submit hands a job in, and again at other nodes as a client would, until it is accepted. It returns the job's id.
func (s *System) submit(route Route, spec string, steps ...Step) string {
	s.nextJob++
	id := fmt.Sprintf("5c0e7a21d94b%04x", s.nextJob)
	for attempt := range 8 {
		status, _ := s.call(s.nodes[(s.nextJob+attempt)%len(s.nodes)], "POST", route.prefix+id, !route.public, map[string]any{"specification": spec, "steps": steps})
		if status >= 200 && status < 300 {
			return id
		}
		time.Sleep(500 * time.Millisecond)
	}
	panic(fmt.Errorf("%w: a job was not accepted", errAbort))
}

// state returns the state of a job as some node shows it, and the status of the last response.
func (s *System) state(route Route, id string) (string, int) {
	status, text := 0, ""
	for _, n := range s.nodes {
		if status, text = s.call(n, "GET", route.prefix+id, !route.public, nil); status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			check(json.Unmarshal([]byte(text), &body))
			return body.State, status
		}
	}
	return "", status
}

// awaitReady waits until all nodes report that they are ready and one holds the schedule.
func (s *System) awaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range s.nodes {
		for {
			response, err := s.client.Get("http://" + n.ready + "/readiness")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == http.StatusOK && s.store.holder() != "" {
					break
				}
			}
			if time.Now().After(deadline) {
				panic(fmt.Errorf("%w: %s is not ready: %s", errAbort, n.name, n.lastLine()))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.log("all nodes are ready; %s holds the schedule", s.store.holder())
}

// holderNode returns the node that holds the schedule.
func (s *System) holderNode() *Node {
	for range 100 {
		holder := s.store.holder()
		for _, n := range s.nodes {
			if holder != "" && strings.HasPrefix(holder, n.name+"-") {
				return n
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(fmt.Errorf("%w: nobody holds the schedule", errAbort))
}

const settingsText = `node_name=%s
role=node
machine_class=frontend
serves=frontend
ip_address=%s
zone=tt-north-a
region=tt-north
zones.tt-north-a=tt-north
listen.frontend=%s
listen.ready=%s
listen.control=%s
internal_port_range=%s,%s
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry_point=virtual_ip
heartbeat_interval_ms=1500
bounds.contact_window_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_ms=2000
bounds.grace_period_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.strict_revocation=true
bounds.revoke_ms=5000
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=400
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
orders=call
platform.address=%s
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=12
platform.append_ms=2.0
platform.record_bytes=262144
platform.request_bytes=2097152
platform.keep_s=300
platform.min_ttl_ms=1000
`
