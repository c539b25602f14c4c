package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "svc1"
	hostName    = "jobs.example"
	tenantKey   = "k-tenant-1"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu   sync.Mutex
	file *os.File
	from time.Time
}

// newRecord returns a record that appends to the file: the script has written its first line.
func newRecord(path string) (*record, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &record{file: file, from: time.Now()}, err
}

func (r *record) line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.from).Seconds(), fmt.Sprintf(format, values...))
}

// node is one redwing-node process.
type node struct {
	name, zone       string
	frontend, ready  string
	settings, output string
	memoryMB         int
	mu               sync.Mutex
	process          *os.Process
	exited           chan struct{}
}

// system holds everything that a case uses.
type system struct {
	dir    string
	record *record
	store  *store
	fleet  *fleet
	nodes  []*node
	// program is the command of the deploy file.
	program string
	root    string
	version int
	// startMu guards stopped, which is set once the case ends: no process is started from then on.
	startMu sync.Mutex
	stopped bool
	// without is a queue that the configuration leaves out, public one that needs no key.
	without, public string
}

func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addNode writes the settings of a node like those of a small deployment and starts it.
func (s *system) addNode(name, zone string, memoryMB int) error {
	ports, err := freePorts(3)
	if err != nil {
		return err
	}
	n := &node{name: name, zone: zone, memoryMB: memoryMB, frontend: "127.0.0.1:" + strconv.Itoa(ports[0]), ready: "127.0.0.1:" + strconv.Itoa(ports[1]),
		settings: filepath.Join(s.dir, name+".conf"), output: filepath.Join(s.dir, name+".log")}
	text := fmt.Sprintf(`node_name=%s
role=node
machine_class=frontend
serves=frontend
ip_address=127.0.0.1
zone=%s
region=area
listen.frontend=%s
listen.ready=%s
internal_port_range=%d,%d
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=%d
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry_point=virtual_ip
heartbeat_interval_ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform
bounds.contact_window_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_ms=2000
bounds.grace_period_s=6
bounds.config_apply_ms=2000
bounds.strict_revocation=true
bounds.revoke_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=900
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
platform.max_partition_mb=200
platform.min_ttl_ms=1000
`, name, zone, n.frontend, n.ready, ports[2], ports[2], memoryMB, s.store.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	return s.start(n)
}

// start starts the process of the node.
func (s *system) start(n *node) error {
	s.startMu.Lock()
	defer s.startMu.Unlock()
	if s.stopped {
		return errors.New("the case has ended")
	}
	output, err := os.OpenFile(n.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(filepath.Join(s.root, s.program))
	command.Dir = s.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "REDWINGTHREAD_BOOT=" + n.settings}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = command.Process, exited
	n.mu.Unlock()
	s.record.line("node %s started", n.name)
	go func() {
		err := command.Wait()
		s.record.line("node %s ended: %v", n.name, err)
		n.mu.Lock()
		if n.process == command.Process {
			n.process = nil
		}
		n.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of the node, if it runs.
func (s *system) signal(n *node, sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		s.record.line("signal %v to node %s", sig, n.name)
		_ = n.process.Signal(sig)
	}
}

// stopAll ends all processes of the case.
func (s *system) stopAll() {
	s.startMu.Lock()
	s.stopped = true
	s.startMu.Unlock()
	for _, n := range s.nodes {
		n.mu.Lock()
		process, exited := n.process, n.exited
		n.mu.Unlock()
		if process != nil {
			_ = process.Signal(syscall.SIGCONT)
			_ = process.Kill()
			<-exited
		}
	}
}

// isReady makes one readiness check, as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready and one of them holds the schedule.
func (s *system) awaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(s.nodes) && s.holder() != nil {
			return true
		}
	}
	return false
}

// holder returns the node that holds the schedule; nil if none does.
func (s *system) holder() *node {
	member := s.store.holder("schedule")
	for _, n := range s.nodes {
		if strings.HasPrefix(member, n.name+"-") {
			return n
		}
	}
	return nil
}

// other returns a node that is not n.
func (s *system) other(n *node) *node {
	for _, o := range s.nodes {
		if o != n {
			return o
		}
	}
	return nil
}

// third returns a node that is neither a nor b.
func (s *system) third(a, b *node) *node {
	for _, o := range s.nodes {
		if o != a && o != b {
			return o
		}
	}
	return nil
}

// publish writes a configuration with three queues to the store, as the operator does.
func (s *system) publish() {
	s.version += 3
	routes := []map[string]any{}
	for priority, name := range []string{"urgent", "normal", "batch"} {
		if name == s.without {
			continue
		}
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": hostName, "path_prefix": "/" + name + "/", "kind": "non_idempotent", "timeout_ms": 3000,
			"target_runtime_ms": []int{250, 1000, 3000}[priority], "priority": priority, "service": serviceName, "max_attempts": 4,
			"slack_factor": 3.0, "public": name == s.public,
		})
	}
	s.store.put("keyed.op", "config", map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "health_path": "/health", "connection_limit": 64, "protocol": "h1", "tls": false,
			"rejects_overload": true, "spare": false}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{tenantKey}, "priority": 1, "guaranteed_gpus": map[string]any{"gpu": 8}}},
	})
}

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// call sends one request of a client; status 0 means that there was no complete answer within the limit.
func (s *system) call(n *node, method, path string, body any, limit time.Duration) (status int, text string) {
	var reader io.Reader
	if body != nil {
		encoded, _ := json.Marshal(body)
		reader = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+n.frontend+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostName
	request.Header.Set("Authorization", "Token "+tenantKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Remaining-Milliseconds", strconv.FormatInt(limit.Milliseconds(), 10))
	client := *callers
	client.Timeout = limit
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// logged is call with a line in the record.
func (s *system) logged(n *node, method, path string, body any, limit time.Duration) (status int, text string) {
	s.record.line("client sends %s %s to %s", method, path, n.name)
	status, text = s.call(n, method, path, body, limit)
	s.record.line("client gets %d %.200s for %s %s from %s", status, text, method, path, n.name)
	return status, text
}

// anonymousMB returns the anonymous memory of the process in MB: what it has allocated, without its program file.
func (n *node) anonymousMB() int {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	if process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}
