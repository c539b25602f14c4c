// Package processtest runs the daemons as processes on loopback, with the stand-ins in the test process, and hits them
// with real signals and cuts.
package processtest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/daemon"
	"github.com/redwingthread/redwingthread/devcerts"
	"github.com/redwingthread/redwingthread/operatorclient"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/settings"
	"github.com/redwingthread/redwingthread/standin"
)

const (
	workersPerDomain   = 4
	endpointsPerDomain = 2
	// reactionTime is how long the balancer of the tests takes to notice an unready gateway.
	reactionTime = 500 * time.Millisecond
	callTimeout  = 12 * time.Second
	// operatorToken and accountToken are credentials of the tests.
	operatorToken = "operator-token-of-the-process-tests"
	accountToken  = "account-token-of-the-process-tests"
	// daemonVariable makes the test binary run a daemon instead of the tests.
	daemonVariable = "REDWING_PROCESSTEST_DAEMON"
)

// TestMain runs a daemon if the test binary was started as one.
func TestMain(m *testing.M) {
	role, path, ok := strings.Cut(os.Getenv(daemonVariable), "=")
	if !ok {
		os.Exit(m.Run())
	}
	os.Exit(daemon.Main(func(ctx context.Context) error {
		if role == settings.RoleGateway {
			s, err := settings.LoadGateway(path)
			if err != nil {
				return err
			}
			return daemon.StartGateway(ctx, s, os.Stderr)
		}
		s, err := settings.LoadScheduler(path)
		if err != nil {
			return err
		}
		return daemon.StartScheduler(ctx, s, os.Stderr)
	}))
}

// vm is one entry VM with its two daemons.
type vm struct {
	name, domain                       string
	inner, metrics, callers, operators string
	schedulerInner, schedulerMetrics   string
	gateway, scheduler                 *exec.Cmd
	gatewaySettings, schedulerSettings string
}

// system is a running deployment of 3 failure domains.
type system struct {
	t   *testing.T
	dir string
	set *standin.Set
	vms []*vm
}

// firstPort and lastPort bound the ports of the daemons. They are below the range from which the kernel takes the ports
// of outgoing connections and of listeners on port 0, which could take a port between its choice and its use.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// portCursor is the next port to try; systems of parallel tests must not be given the same one.
var portCursor atomic.Int64

func init() { portCursor.Store(int64(firstPort + rand.IntN((lastPort-firstPort)/2))) }

// freeAddresses returns n loopback addresses whose ports are free for TCP and UDP.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	var addresses []string
	for len(addresses) < n {
		port := portCursor.Add(1)
		if port > lastPort {
			t.Fatalf("found %d of %d free ports", len(addresses), n)
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if isFree(address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	packets.Close()
	return true
}

// systems bounds the systems that run at once. A system has 12 processes, and the tests check times.
var systems = make(chan struct{}, 3)

// startSystem starts 3 failure domains of 2 entry VMs and initialises the configuration. Failure domain fd-c reaches the
// log through a gate named "cut".
func startSystem(t *testing.T) *system {
	t.Helper()
	t.Parallel()
	systems <- struct{}{}
	t.Cleanup(func() { <-systems })
	s := &system{t: t, dir: t.TempDir()}
	s.placeVMs()
	s.startStandins()
	s.writeSettings()
	t.Cleanup(s.close)
	for _, v := range s.vms {
		s.startGateway(v)
		s.startScheduler(v)
	}
	s.initialise()
	return s
}

func (s *system) placeVMs() {
	names := []string{"vm-a1", "vm-a2", "vm-b1", "vm-b2", "vm-c1", "vm-c2"}
	addresses := freeAddresses(s.t, 6*len(names))
	for i, name := range names {
		a := addresses[6*i : 6*i+6]
		s.vms = append(s.vms, &vm{name: name, domain: "fd-" + name[3:4], inner: a[0], metrics: a[1], callers: a[2],
			operators: a[3], schedulerInner: a[4], schedulerMetrics: a[5]})
	}
	if _, err := devcerts.Write(filepath.Join(s.dir, "keys"), names, nil, time.Now()); err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) startStandins() {
	const anyPort = "127.0.0.1:0"
	list := standin.VMListSettings{Address: anyPort}
	for _, v := range s.vms {
		list.VMs = append(list.VMs, standin.VMSettings{ID: v.name, FailureDomain: v.domain, Address: v.inner})
	}
	all := standin.Settings{
		Control: anyPort,
		Log:     standin.LogSettings{Address: anyPort, RetentionRecords: 10_000, AppendsPerSecond: 300},
		VMList:  list,
		Gates:   []standin.GateSettings{{ID: "cut", Service: "log", Address: anyPort}},
	}
	for _, domain := range []string{"fd-a", "fd-b", "fd-c"} {
		all.Workers = append(all.Workers, standin.WorkerSettings{ID: "w-" + domain, Count: workersPerDomain,
			FailureDomain: domain, Address: anyPort, Accelerators: 8, MilliCPU: 32_000, MemoryMB: 65_536,
			CheckpointMS: 100})
		all.Endpoints = append(all.Endpoints, standin.EndpointSettings{ID: "e-" + domain, Count: endpointsPerDomain,
			FailureDomain: domain, Address: anyPort, WorkMS: 5})
	}
	set, err := standin.Start(all)
	if err != nil {
		s.t.Fatal(err)
	}
	s.set = set
}

// document returns version 0.
func (s *system) document() *config.Document {
	doc := &config.Document{
		FailureDomains: map[string]config.FailureDomain{}, Workers: map[string]resource.Worker{},
		Accounts: map[string]config.Account{"orders": {Name: "orders", Weight: 1,
			TokenDigest: config.TokenDigest(accountToken)}},
		Operators: map[string]config.Operator{"ana": {Name: "ana", TokenDigest: config.TokenDigest(operatorToken)}},
		Drains:    map[string]config.Drain{},
		Policy: config.Policy{FragmentationWeight: 0.5, ReclaimBoundMS: 10_000, MaxWaitMS: 30_000, GatewaySeats: 8,
			QuarantinePercent: 25, EjectPercent: 50, StandardLargeShape: gangShape(4)},
	}
	service := config.Service{Name: "orders", TimeoutMS: 5_000, MaxBodyBytes: 65_536,
		Endpoints: map[string]config.Endpoint{}}
	for _, domain := range []string{"fd-a", "fd-b", "fd-c"} {
		doc.FailureDomains[domain] = config.FailureDomain{Name: domain, Region: "north"}
		for i := 1; i <= workersPerDomain; i++ {
			id := fmt.Sprintf("w-%s-%d", domain, i)
			doc.Workers[id] = resource.Worker{ID: id, FailureDomain: domain, Rack: "rack-" + domain,
				Capacity: resource.Resources{Accelerators: 8, MilliCPU: 32_000, MemoryMB: 65_536},
				Address:  s.set.Address(id)}
		}
		for i := 1; i <= endpointsPerDomain; i++ {
			id := fmt.Sprintf("e-%s-%d", domain, i)
			service.Endpoints[id] = config.Endpoint{ID: id, FailureDomain: domain, Address: s.set.Address(id), Slots: 8,
				MaxConnections: 64}
		}
	}
	doc.Services = map[string]config.Service{"orders": service}
	return doc
}

func gangShape(members int) resource.Shape {
	return resource.Shape{Members: members, Adjacency: resource.AdjacencyRack,
		PerMember: resource.Resources{Accelerators: 8, MilliCPU: 8_000, MemoryMB: 16_384}}
}

func (s *system) writeSettings() {
	var peers strings.Builder
	for _, v := range s.vms {
		fmt.Fprintf(&peers, "[[peers]]\nvm = %q\nrole = \"gateway\"\nfailure_domain = %q\ninner = %q\n", v.name, v.domain, v.inner)
		fmt.Fprintf(&peers, "[[peers]]\nvm = %q\nrole = \"scheduler\"\nfailure_domain = %q\ninner = %q\n", v.name, v.domain,
			v.schedulerInner)
	}
	for _, v := range s.vms {
		logService := "log"
		if v.domain == "fd-c" {
			logService = "cut"
		}
		common := fmt.Sprintf("failure_domain = %q\nvm = %q\n[platform]\nlog_url = \"http://%s\"\nvm_list_url = \"http://%s\"\n"+
			"[tls]\ncertificate = \"keys/%s.pem\"\nkey = \"keys/%s.key\"\nca = \"keys/ca.pem\"\n%s", v.domain, v.name,
			s.set.Address(logService), s.set.Address("vm_list"), v.name, v.name, peers.String())
		v.gatewaySettings = s.writeFile(v.name+"-gateway.toml", common+fmt.Sprintf(
			"[listen]\ninner = %q\nmetrics = %q\ncallers = %q\noperators = %q\n[shutdown]\ndrain_ms = %d\nfinish_ms = 10000\n"+
				"[bootstrap]\noperator_token_digest = %q\n", v.inner, v.metrics, v.callers, v.operators,
			2*reactionTime.Milliseconds(), config.TokenDigest(operatorToken)))
		v.schedulerSettings = s.writeFile(v.name+"-scheduler.toml", common+fmt.Sprintf(
			"[listen]\ninner = %q\nmetrics = %q\n", v.schedulerInner, v.schedulerMetrics))
	}
}

func (s *system) writeFile(name, text string) string {
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// start runs the test binary as a daemon; its log lines are appended to NAME.log.
func (s *system) start(role, settingsPath, name string) *exec.Cmd {
	file, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer file.Close()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), daemonVariable+"="+role+"="+settingsPath)
	cmd.Stderr = file
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	return cmd
}

func (s *system) startGateway(v *vm) {
	v.gateway = s.start(settings.RoleGateway, v.gatewaySettings, v.name+"-gateway")
}

func (s *system) startScheduler(v *vm) {
	v.scheduler = s.start(settings.RoleScheduler, v.schedulerSettings, v.name+"-scheduler")
}

// stop sends SIGTERM and fails the test unless the process ends by itself with code 0.
func (s *system) stop(cmd *exec.Cmd) {
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil {
		s.t.Errorf("planned stop: %v", err)
	}
}

func kill(cmd *exec.Cmd) {
	cmd.Process.Kill()
	cmd.Wait()
}

func (s *system) close() {
	for _, v := range s.vms {
		for _, cmd := range []*exec.Cmd{v.gateway, v.scheduler} {
			if cmd != nil && cmd.ProcessState == nil {
				kill(cmd)
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s.set.Close(ctx)
	if s.t.Failed() {
		s.showWarnings()
	}
}

// showWarnings prints the log lines above level info, and those of violated invariants first of all.
func (s *system) showWarnings() {
	for _, v := range s.vms {
		for _, name := range []string{v.name + "-gateway", v.name + "-scheduler"} {
			text, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
			for _, line := range strings.Split(string(text), "\n") {
				if line != "" && !strings.Contains(line, `"level":"info"`) {
					s.t.Logf("%s: %.300s", name, line)
				}
			}
		}
	}
}

// violations returns the log lines of violated invariants of all daemons.
func (s *system) violations() []string {
	var found []string
	for _, v := range s.vms {
		for _, name := range []string{v.name + "-gateway", v.name + "-scheduler"} {
			text, _ := os.ReadFile(filepath.Join(s.dir, name+".log"))
			for _, line := range strings.Split(string(text), "\n") {
				if strings.Contains(line, "invariant violated") {
					found = append(found, name+": "+line)
				}
			}
		}
	}
	return found
}

func (s *system) operator(v *vm) *operatorclient.Client {
	return operatorclient.New(v.operators, operatorToken, callTimeout)
}

func (s *system) caller(v *vm) *operatorclient.Caller {
	return operatorclient.NewCaller(v.callers, accountToken, callTimeout)
}

// waitFor repeats check until it gives no error, or fails the test after the bound.
func (s *system) waitFor(what string, bound time.Duration, check func() error) time.Duration {
	s.t.Helper()
	began := time.Now()
	for {
		err := check()
		if err == nil {
			return time.Since(began)
		}
		if time.Since(began) > bound {
			s.t.Fatalf("%s did not come within %v: %v", what, bound, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *system) initialise() {
	raw, err := json.Marshal(s.document())
	if err != nil {
		s.t.Fatal(err)
	}
	s.waitFor("initialisation", 20*time.Second, func() error {
		_, err := s.operator(s.vms[0]).Init(s.t.Context(), raw)
		return err
	})
	s.waitFor("readiness", 20*time.Second, func() error {
		for _, v := range s.vms {
			if err := s.healthy(v); err != nil {
				return err
			}
		}
		return nil
	})
}

// healthy reports why v is not ready or does not see 3 active schedulers.
func (s *system) healthy(v *vm) error {
	health, err := s.operator(v).Health(s.t.Context())
	if err != nil {
		return err
	}
	if !health.Ready || len(health.ActiveSchedulers) != 3 {
		return fmt.Errorf("%s: ready %v, active schedulers %v", v.name, health.Ready, health.ActiveSchedulers)
	}
	return nil
}
