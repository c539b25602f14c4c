// Command reviewlab runs the cases of the review that cannot be put as a day of the users' bench: redwing-node as processes, against
// stand-ins of the platform's store, minions and clients in this program.
//
//	reviewlab CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	notRun    = 2
	caseLimit = 115 * time.Second
)

var cases = map[string]func(s *system, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewlab CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(play func(*system, bool) int, path string) int {
	root, err := filepath.Abs(".")
	if err != nil {
		return fail(err)
	}
	r, err := newRecord(path)
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "reviewlab-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	st, err := newStore()
	if err != nil {
		return fail(err)
	}
	s := &system{dir: dir, record: r, store: st, root: root, program: "target/redwing-node"}
	s.fleet = newFleet(st, r)
	defer s.stopAll()
	trouble := os.Getenv("TROUBLE") != "0"
	result := make(chan int, 1)
	go func() { result <- play(s, trouble) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	code := notRun
	select {
	case <-interrupted:
		r.line("the case was interrupted")
	case code = <-result:
	case <-time.After(caseLimit):
		r.line("the case took too long")
	}
	r.line("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "the case could not run"}[code])
	return code
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return notRun
}

// setUp starts nodes, one in each zone in turn, and publishes the configuration.
func (s *system) setUp(nodes, memoryMB int) bool {
	s.publish()
	for i := range nodes {
		if err := s.addNode(fmt.Sprintf("node-%d", i+1), fmt.Sprintf("zone-%c", 'a'+i%3), memoryMB); err != nil {
			s.record.line("%v", err)
			return false
		}
	}
	if !s.awaitReady(15 * time.Second) {
		s.record.line("the nodes are not ready")
		return false
	}
	time.Sleep(time.Second)
	return true
}

// addMinions starts minions of one kind.
func (s *system) addMinions(count int, capacity amount) bool {
	for i := range count {
		if _, err := s.fleet.add(fmt.Sprintf("i-%08x", 0x1000+i*77), fmt.Sprintf("zone-%c", 'a'+i%3), fmt.Sprintf("r1-%d", i/8), []string{"a"}, capacity); err != nil {
			s.record.line("%v", err)
			return false
		}
	}
	return true
}

// submission is the body of a POST with one step.
func submission(count int, demand amount, estimate time.Duration, more map[string]any) map[string]any {
	step := map[string]any{"count": count, "cpu": demand.CPU, "memory_request_mb": demand.MemoryMB}
	if demand.GPU > 0 {
		step["gpu"] = demand.GPU
	}
	if estimate > 0 {
		step["estimated_ms"] = estimate.Milliseconds()
	}
	for name, value := range more {
		step[name] = value
	}
	return map[string]any{"specification": "(text)", "steps": []any{step}}
}

// prepare tells the minions of a job before it is submitted.
func (s *system) prepare(id string, w work) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	s.fleet.works[id] = w
}
