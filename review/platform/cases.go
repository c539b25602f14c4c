package main

import (
	"fmt"
	"syscall"
	"time"
)

// Figures of the rules.
const (
	finish  = 14 * time.Second
	idle    = 3 * time.Second
	visible = 3 * time.Second
)

// hopelessGang: one of twenty jobs can never be done, a gang that is wider than the service. LOST: at the end the other jobs have to run.
func hopelessGang(s *System, trouble bool) []string {
	urgent := Route{name: "r-ce7ejsm", prefix: "/lohu930/", priority: 1, maxAttempts: 4}
	batch := Route{name: "r-3ajwyy7", prefix: "/pule252/", priority: 2, maxAttempts: 3}
	s.publish(1, urgent, batch)
	s.addWorkers(8, 8)
	s.addNodes(3)
	s.awaitReady()
	one := Step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "gpu": 1, "estimated_ms": 1000}
	var jobs []string
	for i := range 20 {
		if i == 4 && trouble {
			s.record.log("a job comes that can never be done: a gang of 12 with 8 GPUs each, where the service has 64 GPUs")
			s.submit(urgent, "gpu=8 ms=1000", Step{"count": 12, "cpu": 1000, "memory_request_mb": 256, "gpu": 8, "estimated_ms": 1000, "gang": true})
		} else {
			jobs = append(jobs, s.submit(batch, "gpu=1 ms=1000", one))
		}
		time.Sleep(time.Second)
	}
	s.record.log("the traffic ends")
	time.Sleep(finish)
	return s.lostJobs(batch, jobs)
}

// lostJobs returns the jobs that have nothing running for the time idle although a work item's turn has come and most of the service's
// capacity is free, or that are shown as failed or cancelled. The jobs have one work item with one GPU.
func (s *System) lostJobs(route Route, jobs []string) []string {
	begun := time.Now()
	time.Sleep(idle)
	var broken []string
	used, capacity := 0, 0
	for _, w := range s.workers {
		w.mu.Lock()
		used += w.usedGPUs()
		capacity += w.capacity["gpu"]
		w.mu.Unlock()
	}
	for _, id := range jobs {
		state, status := s.state(route, id)
		ran, done := false, false
		for _, h := range s.record.runs(id) {
			ran = ran || h.Ended.IsZero() || h.Ended.After(begun)
			done = done || h.How == "done"
		}
		switch {
		case status == 410 || state == "failed" || state == "cancelled":
			broken = append(broken, fmt.Sprintf("LOST: job %s is shown as %q, status %d", id, state, status))
		case !ran && !done && 2*used < capacity:
			broken = append(broken, fmt.Sprintf("LOST: job %s (%s) has had nothing running for 3 s, with %d of %d GPUs in use", id, state, used, capacity))
		}
	}
	return broken
}

// drainAndOutage: three of 48 workers are draining when the store is down for 4.5 s. TWICE: their runs must not start elsewhere while they
// are at work. The outage begins just after a heartbeat of one of them.
func drainAndOutage(s *System, trouble bool) []string {
	const (
		workers, busy, draining = 48, 6, 3
		stay                    = 18 * time.Second
		outage                  = 4500 * time.Millisecond
		afterHeartbeat          = 50 * time.Millisecond
	)
	route := Route{name: "r-ce7ejsm", prefix: "/lohu930/", priority: 1, maxAttempts: 4}
	s.publish(1, route)
	s.addWorkers(workers, 8)
	s.addNodes(3)
	s.awaitReady()
	time.Sleep(2 * time.Second)
	for range busy {
		s.submit(route, "gpu=8 ms=16000", Step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "gpu": 8, "estimated_ms": 16000})
	}
	time.Sleep(2 * time.Second)
	leaving := s.busyWorkers()[:draining]
	for _, w := range leaving {
		w.drain(stay)
	}
	time.Sleep(2 * time.Second)
	if trouble {
		leaving[0].awaitHeartbeat()
		time.Sleep(afterHeartbeat)
		s.store.setDown(true)
		time.Sleep(outage)
		s.store.setDown(false)
	}
	time.Sleep(22 * time.Second)
	return s.twice("")
}

// busyWorkers returns the workers that have a run.
func (s *System) busyWorkers() []*Worker {
	var busy []*Worker
	for _, w := range s.workers {
		w.mu.Lock()
		if len(w.running) > 0 {
			busy = append(busy, w)
		}
		w.mu.Unlock()
	}
	return busy
}

// lateHeartbeat: a worker starts again under its id at another address, and the last heartbeat of its ended process, which had no answer, is
// executed some seconds later. TWICE: the runs of the new process must not start elsewhere while they are at work.
func lateHeartbeat(s *System, trouble bool) []string {
	const (
		workers   = 8
		holderAge = 15 * time.Second
		late      = 4 * time.Second
	)
	route := Route{name: "r-ce7ejsm", prefix: "/lohu930/", priority: 1, maxAttempts: 4}
	s.publish(1, route)
	s.addWorkers(workers, 8)
	s.addNodes(3)
	s.awaitReady()
	time.Sleep(holderAge)
	submit := func(n int) {
		for range n {
			s.submit(route, "gpu=8 ms=15000", Step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "gpu": 8, "estimated_ms": 15000})
		}
	}
	submit(workers / 2)
	time.Sleep(2 * time.Second)
	w := s.busyWorkers()[0]
	last := w.restart()
	if trouble {
		time.AfterFunc(late, func() {
			s.store.put("keyed.servers", w.id, last)
			s.record.log("store: a heartbeat of the ended process of %s is executed %v late", w.id, late)
		})
	}
	time.Sleep(time.Second)
	submit(workers/2 - 1)
	time.Sleep(25 * time.Second)
	return s.twice("")
}

// manyEnds: a worker is cut off while more than 500 of its work items end. TWICE: an item whose end the worker has not returned yet, because it
// returns 500 at a time, must not start again.
func manyEnds(s *System, trouble bool) []string {
	const (
		items = 1200
		cut   = 5500 * time.Millisecond
	)
	route := Route{name: "r-ce7ejsm", prefix: "/lohu930/", priority: 1, maxAttempts: 4}
	s.publish(1, route)
	s.addWorkers(6, 8)
	s.addNodes(3)
	s.awaitReady()
	time.Sleep(2 * time.Second)
	s.submit(route, "ms=6000 spread=3", Step{"count": items, "cpu": 20, "memory_request_mb": 16, "estimated_ms": 8000})
	time.Sleep(5500 * time.Millisecond)
	if trouble {
		s.busyWorkers()[0].cut(cut)
	}
	time.Sleep(20 * time.Second)
	return s.twice("")
}

// twice returns the pairs of runs of one work item at the same time, on workers that are up, and the runs that began after one had ended
// done and its end was taken note of.
func (s *System) twice(prefix string) []string {
	var broken []string
	runs := s.record.runs(prefix)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.Task != b.Task {
				continue
			}
			if a.Ended.IsZero() || b.Begun.Before(a.Ended) {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d begins at %.3f on %s while run %d from %.3f is at work on %s",
					b.Task, b.Run, s.record.at(b.Begun), b.Worker, a.Run, s.record.at(a.Begun), a.Worker))
			} else if a.How == "done" && a.AckedEnd {
				broken = append(broken, fmt.Sprintf("TWICE: %s run %d begins at %.3f on %s although run %d had ended done at %.3f on %s",
					b.Task, b.Run, s.record.at(b.Begun), b.Worker, a.Run, s.record.at(a.Ended), a.Worker))
			}
		}
	}
	return broken
}

// droppedRoute: a route leaves the configuration while a job of it runs, then the process that holds the schedule is killed. LOST: the
// job must not be given up after one failed run of four.
func droppedRoute(s *System, trouble bool) []string {
	kept := Route{name: "r-3ajwyy7", prefix: "/pule252/", priority: 2, maxAttempts: 3}
	dropped := Route{name: "r-ce7ejsm", prefix: "/lohu930/", priority: 1, maxAttempts: 4}
	s.publish(1, kept, dropped)
	s.addWorkers(6, 8)
	s.addNodes(3)
	s.awaitReady()
	id := s.submit(dropped, "gpu=1 ms=2000 fail=1 failms=12000", Step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "gpu": 1, "estimated_ms": 8000})
	time.Sleep(3 * time.Second)
	s.publish(4, kept)
	time.Sleep(3 * time.Second)
	if trouble {
		node := s.holderNode()
		node.signal(syscall.SIGKILL)
		<-node.exited()
		time.Sleep(time.Second)
		node.start()
	}
	time.Sleep(14 * time.Second)
	s.publish(9, kept, dropped)
	time.Sleep(finish)
	state, status := s.state(dropped, id)
	failed, done := 0, 0
	for _, h := range s.record.runs(id) {
		switch h.How {
		case "failed":
			failed++
		case "done":
			done++
		}
	}
	if state == "completed" && done == 1 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: job %s is shown as %q (status %d) after %d failed runs; max_attempts was %d in each version that had the route",
		id, state, status, failed, dropped.maxAttempts)}
}

// publicRoute: a route is removed while a job of it runs, and added again as a public one. LOST: a GET for an accepted job must not be
// answered 410.
func publicRoute(s *System, trouble bool) []string {
	kept := Route{name: "r-3ajwyy7", prefix: "/pule252/", priority: 2, maxAttempts: 3}
	route := Route{name: "r-ce7ejsm", prefix: "/lohu930/", priority: 1, maxAttempts: 4}
	s.publish(1, kept, route)
	s.addWorkers(6, 8)
	s.addNodes(3)
	s.awaitReady()
	id := s.submit(route, "gpu=1 ms=15000", Step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "gpu": 1, "estimated_ms": 8000})
	time.Sleep(visible)
	s.publish(4, kept)
	time.Sleep(3 * time.Second)
	route.public = trouble
	s.publish(9, kept, route)
	time.Sleep(visible + 2*time.Second)
	var broken []string
	for range 2 {
		for _, n := range s.nodes {
			for _, withKey := range []bool{false, true} {
				if !withKey && !route.public {
					continue
				}
				if status, _ := s.call(n, "GET", route.prefix+id, withKey, nil); status == 410 {
					broken = append(broken, fmt.Sprintf("LOST: a GET (key %v) for the accepted job %s is answered 410 by %s", withKey, id, n.name))
				}
			}
		}
		time.Sleep(7 * time.Second)
	}
	s.call(s.nodes[0], "DELETE", route.prefix+id, true, nil)
	return broken
}

// longJob: one of twenty jobs takes eight times as long. LOST: its work item has to be at work, and not be stopped again and again although
// it makes progress on a sound worker.
func longJob(s *System, trouble bool) []string {
	const longer = 8
	route := Route{name: "r-ce7ejsm", prefix: "/lohu930/", priority: 1, maxAttempts: 4}
	s.publish(1, route)
	s.addWorkers(12, 8)
	s.workers[0].labels = []string{"b", "r1-1"}
	s.addNodes(3)
	s.awaitReady()
	spec := "gpu=1 ms=200000"
	if trouble {
		spec = fmt.Sprintf("gpu=1 ms=%d", longer*200000)
		s.record.log("a job comes that takes %d times as long", longer)
	}
	jobs := []string{s.submit(route, spec, Step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "gpu": 1, "estimated_ms": 200000, "required_label": "b"})}
	for range 19 {
		jobs = append(jobs, s.submit(route, "gpu=8 ms=1000", Step{"count": 1, "cpu": 1000, "memory_request_mb": 256, "gpu": 8, "estimated_ms": 1000}))
		time.Sleep(time.Second)
	}
	time.Sleep(9 * time.Second)
	s.record.log("the traffic ends")
	time.Sleep(finish)
	return s.lostJobs(route, jobs)
}
