//go:build bench

package control

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/jobs"
	"github.com/redwingthread/redwingthread/platform"
	"github.com/redwingthread/redwingthread/resource"
)

const serveVariable = "CONTROL_COST_SERVE"

// tasksPerWorker is that of the planned size: 5,300 tasks on 840 workers.
const tasksPerWorker = 6.3

// TestServeWorkers serves fake workers over HTTP for BenchmarkControl, in a process of its own so that their cost is
// not counted.
func TestServeWorkers(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv(serveVariable))
	if err != nil {
		return // BenchmarkControl starts this test in a process of its own.
	}
	capacity := resource.Resources{Accelerators: 8, MilliCPU: 32000, MemoryMB: 64000}
	for i := range count {
		w := newFakeWorker(fmt.Sprintf("w-%d", i), capacity, newRandom(uint64(i)))
		w.onRun = func(*fakeWorker, *fakeTask) {}
		w.longer = time.Hour
		server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			var req platform.CommandsRequest
			_ = json.NewDecoder(r.Body).Decode(&req)
			answer, _ := w.commands(req, time.Now())
			rw.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(rw).Encode(answer)
		}))
		defer server.Close()
		fmt.Println("address " + strings.TrimPrefix(server.URL, "http://"))
	}
	// The parent closes the pipe when it is done.
	_, _ = bufio.NewReader(os.Stdin).ReadByte()
}

// serveWorkers starts the process of TestServeWorkers and returns the workers' addresses.
func serveWorkers(b *testing.B, count int) (addresses []string) {
	command := exec.Command(os.Args[0], "-test.run=^TestServeWorkers$")
	command.Env = append(os.Environ(), serveVariable+"="+strconv.Itoa(count))
	input, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		input.Close()
		_ = command.Wait()
	})
	lines := bufio.NewScanner(output)
	for len(addresses) < count && lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "address "); ok {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// BenchmarkControl measures an active scheduler in a steady state over HTTP on loopback, per second of real time.
func BenchmarkControl(b *testing.B) {
	for _, count := range []int{30, 60, 120, 240} {
		b.Run(fmt.Sprintf("workers=%d", count), func(b *testing.B) { measure(b, count) })
	}
}

func measure(b *testing.B, count int) {
	doc := &config.Document{Workers: map[string]resource.Worker{},
		FailureDomains: map[string]config.FailureDomain{"fd": {Name: "fd"}},
		Accounts:       map[string]config.Account{"orders": {Name: "orders", Weight: 1}},
		Policy:         config.Policy{ReclaimBoundMS: 30_000, MaxWaitMS: 20_000, QuarantinePercent: 20}}
	for i, address := range serveWorkers(b, count) {
		id := fmt.Sprintf("w-%d", i)
		doc.Workers[id] = resource.Worker{ID: id, FailureDomain: "fd", Address: address, Rack: fmt.Sprint("r-", i/8),
			Capacity: resource.Resources{Accelerators: 8, MilliCPU: 32000, MemoryMB: 64000}}
	}
	log := newFakeLog(newRandom(1))
	tasks := int(tasksPerWorker * float64(count))
	for i := range tasks {
		job := jobs.Job{ID: fmt.Sprintf("b61f0a52-9f7c-4f0e-8d43-%012d", i), Account: "orders", FailureDomain: "fd",
			Run: []string{"run"}, Shape: resource.Shape{Members: 1, Adjacency: resource.AdjacencyNone,
				PerMember: resource.Resources{MilliCPU: 4000, MemoryMB: 4000}}}
		data, _ := jobs.Encode(jobs.Record{Kind: jobs.RecordSubmit, Submit: &job})
		log.append([][]byte{data})
	}
	registry := metrics.NewRegistry()
	control, err := New(Options{FailureDomain: "fd", VM: "vm-1", Log: log, Workers: platform.NewHTTPWorkers(registry),
		Config: func() *config.Document { return doc }, Metrics: registry, Logger: zerolog.Nop(),
		NewPlanner: newPlanner})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = control.Run(ctx)
	}()
	time.Sleep(6 * time.Second)
	counter := func(name string) float64 {
		return float64(metrics.GetOrRegisterCounter("control.worker."+name, registry).Count())
	}
	names := []string{"requests", "bytes_sent", "bytes_received", "task_renewals"}
	before := map[string]float64{}
	for _, name := range names {
		before[name] = counter(name)
	}
	cpu, start := cpuSeconds(), time.Now()
	time.Sleep(2 * taskRenewInterval)
	seconds := time.Since(start).Seconds()
	b.ReportMetric((cpuSeconds()-cpu)/seconds*100, "%core")
	bytes := 0.0
	for _, name := range names {
		rate := (counter(name) - before[name]) / seconds
		if strings.HasPrefix(name, "bytes") {
			bytes += rate
			continue
		}
		b.ReportMetric(rate, name+"/s")
	}
	b.ReportMetric(bytes/1000, "KB/s")
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.Sys)/1e6, "MB")
	if renewals := (counter("task_renewals") - before["task_renewals"]) / seconds; renewals < 0.9*float64(tasks)/taskRenewInterval.Seconds() {
		b.Errorf("%.1f task renewals per second for %d tasks: not all tasks run", renewals, tasks)
	}
	b.ReportMetric(float64(tasks), "tasks")
	b.ReportMetric(0, "ns/op")
	cancel()
	<-done
}

func cpuSeconds() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
