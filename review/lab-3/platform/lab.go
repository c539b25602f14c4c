// Command lab plays the cases of this review that are scripts: it starts redwing-node processes with the command of the deploy file
// against stand-ins of the store, of minions and of clients, and judges what these have seen.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	tenantKey  = "key-of-tenant-a"
	queueHost  = "queue.example"
)

type lab struct {
	begin  time.Time
	out    *os.File
	dir    string
	store  *store
	listen *http.Server
	nodes  []*nodeProcess
	mu     sync.Mutex
	items  map[string][]item
	minion map[string]*minion
	starts []runEvent
	ends   []runEvent
	late   map[string]bool
	// wide holds the jobs with so many work items that the record only counts them.
	wide map[string]bool
}

// runEvent is a start or an end of a run, as seen by its minion.
type runEvent struct {
	at     time.Time
	minion string
	task   string
	run    int64
	how    string
	// late is true for a start by an order that the minion carried out late.
	late bool
}

type nodeProcess struct {
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
}

func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f %s\n", time.Since(l.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) finish(code int) {
	for _, n := range l.nodes {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs:", l.dir)
	}
	os.Exit(code)
}

func (l *lab) cannotRun(reason string) {
	l.record("the case could not run: %s", reason)
	fmt.Println("the case could not run:", reason)
	l.finish(exitNotRun)
}

func (l *lab) item(task string) (item, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	job, step := jobOf(task)
	steps := l.items[job]
	if step >= len(steps) {
		return item{}, false
	}
	return steps[step], true
}

// terse reports whether the starts and ends of the work item are left out of the record: its job has thousands.
func (l *lab) terse(task string) bool {
	job, _ := jobOf(task)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wide[job]
}

func (l *lab) setLate(task string, number int64, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late[fmt.Sprint(task, "/", number)] = late
}

func (l *lab) noteStart(m *minion, task string, number int64) {
	l.mu.Lock()
	late := l.late[fmt.Sprint(task, "/", number)]
	l.starts = append(l.starts, runEvent{time.Now(), m.id, task, number, "", late})
	l.mu.Unlock()
	if l.terse(task) {
		return
	}
	l.record("minion %s starts %s run %d%s", m.id, task, number, map[bool]string{true: " (carried out late)"}[late])
}

func (l *lab) noteEnd(m *minion, task string, number int64, how string) {
	l.mu.Lock()
	l.ends = append(l.ends, runEvent{time.Now(), m.id, task, number, how, false})
	l.mu.Unlock()
	if l.terse(task) {
		return
	}
	l.record("minion %s: %s run %d has ended %s", m.id, task, number, how)
}

// freePort returns a port that is free at the address now.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

const settings = `node_name=%[1]s
role=node
machine_class=frontend
serves=frontend
ip_address=%[2]s
zone=%[3]s
region=lab
zones.lab-a=lab
zones.lab-b=lab
zones.lab-c=lab
listen.frontend=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
internal_port_range=%[6]d,%[7]d
bootstrap=true
counts_toward_tolerance=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.file_descriptors=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry_point=virtual_ip
heartbeat_interval_ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform,advice,upkeep,sharing
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_window_ms=3000
bounds.ack_timeout_ms=4000
bounds.drain_ms=2000
bounds.grace_period_s=6
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_bound_ms=5000
bounds.strict_revocation=true
bounds.revoke_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=400
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.lease_duration_ms=3000
bounds.reclaim_ms=2900
orders=call
platform.address=%[8]s
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=12
platform.append_ms=2.0
platform.part_mb_per_s=20.0
platform.read_mb_per_s=80.0
platform.record_bytes=262144
platform.request_bytes=2097152
platform.keep_s=300
platform.max_partition_mb=200
platform.min_ttl_ms=1000
`

func newLab(out string) *lab {
	file, err := os.Create(out)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	return &lab{begin: time.Now(), out: file, dir: dir, store: newStore(), items: map[string][]item{}, minion: map[string]*minion{}, late: map[string]bool{}, wide: map[string]bool{}}
}

// startSystem starts the store with a configuration, and one process a zone.
func (l *lab) startSystem(config map[string]any) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun(err.Error())
	}
	go func() { _ = http.Serve(listener, l.store.handler()) }()
	text, _ := json.Marshal(config)
	l.store.put("keyed.op", "config", text)
	l.record("the operator stores configuration %s", text)
	for i, zone := range []string{"lab-a", "lab-b", "lab-c"} {
		l.startNode(i, zone, listener.Addr().String())
	}
	for _, n := range l.nodes {
		l.await("a process is ready", 15*time.Second, func() bool {
			conn, err := net.Dial("tcp", n.address)
			if err == nil {
				conn.Close()
			}
			return err == nil
		})
	}
}

func (l *lab) startNode(i int, zone, storeAddress string) {
	// Each play has loopback addresses of its own, so that plays side by side do not take each other's ports.
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 10+pid>>8&127, pid&255, 10+i)
	front, ready, first := freePort(ip), freePort(ip), freePort(ip)
	path := filepath.Join(l.dir, fmt.Sprintf("settings-%d", i))
	name := "frontend-" + zone + "-1"
	text := fmt.Sprintf(settings, name, ip, zone, front, ready, first, first+15, storeAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		l.cannotRun(err.Error())
	}
	logFile, err := os.Create(filepath.Join(l.dir, "log-"+zone))
	if err != nil {
		l.cannotRun(err.Error())
	}
	cmd := exec.Command(deployCommand()[0], deployCommand()[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "REDWINGTHREAD_BOOT=" + path}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		l.cannotRun(err.Error())
	}
	n := &nodeProcess{address: fmt.Sprintf("%s:%d", ip, front), cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(n.exited)
	}()
	l.nodes = append(l.nodes, n)
	l.record("process %s starts, pid %d, at %s", name, cmd.Process.Pid, n.address)
}

// deployCommand returns the words of the command in the deploy file.
func deployCommand() []string {
	text, _ := os.ReadFile("deploy/system.toml")
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(value, `" `))
		}
	}
	return []string{"target/redwing-node"}
}

func (l *lab) await(what string, limit time.Duration, done func() bool) {
	for end := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			l.cannotRun(what + ": not in time")
		}
	}
}

var client = &http.Client{Timeout: 3 * time.Second}

// call sends one call of a client to a process and returns the status, 0 for no response, and the body.
func (l *lab) call(n int, method, key, path string, body any) (int, map[string]any) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	address := l.nodes[n%len(l.nodes)].address
	r, _ := http.NewRequest(method, "http://"+address+path, bytes.NewReader(text))
	r.Host = queueHost
	r.Header.Set("Authorization", "Token "+key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Remaining-Milliseconds", "3000")
	response, err := client.Do(r)
	if err != nil {
		l.record("%s %s to %s: no answer: %v", method, path, address, err)
		return 0, nil
	}
	defer response.Body.Close()
	content, _ := io.ReadAll(response.Body)
	var answer map[string]any
	_ = json.Unmarshal(content, &answer)
	l.record("%s %s to %s: %d %s", method, path, address, response.StatusCode, bytes.TrimSpace(content))
	return response.StatusCode, answer
}

// submit hands a job of one step in until it is accepted.
func (l *lab) submit(key, prefix, id string, it item, step map[string]any) {
	l.mu.Lock()
	l.items[id] = []item{it}
	l.mu.Unlock()
	step["cpu"], step["memory_request_mb"], step["estimated_ms"] = it.demand.CPU, it.demand.Memory, it.work.Milliseconds()
	if it.demand.GPU > 0 {
		step["gpu"] = it.demand.GPU
	}
	job := map[string]any{"specification": "job " + id, "steps": []any{step}}
	for n := range 20 {
		if status, _ := l.call(n, "POST", key, prefix+id, job); status == 200 {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.cannotRun("a job was not accepted")
}

func (l *lab) addMinion(i int, zone string, labels []string, total capacity) *minion {
	m := &minion{lab: l, id: fmt.Sprintf("i-%04d", i), zone: zone, rack: fmt.Sprintf("r1-%d", i/8), labels: labels, total: total, address: "127.0.0.1:0"}
	l.minion[m.id] = m
	m.start()
	return m
}

func main() {
	// The processes end with the thread that has started them.
	runtime.LockOSThread()
	name := flag.String("case", "", "the case to play")
	out := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	flag.Parse()
	l := newLab(*out)
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(bool) int{"crashes": l.crashes, "lasting": l.lasting, "checkpoints": l.checkpoints, "quarantine": l.quarantine, "waiting": l.waiting}
	play := cases[*name]
	if play == nil {
		l.cannotRun("there is no case " + *name)
	}
	time.AfterFunc(115*time.Second, func() { l.cannotRun("the case took too long") })
	code := play(trouble)
	verdict := map[int]string{exitHeld: "the rule held", exitBroken: "the rule was broken"}[code]
	l.record("%s", verdict)
	fmt.Println(verdict)
	l.finish(code)
}
