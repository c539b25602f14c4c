package standin

import (
	"fmt"
	"net/netip"

	"github.com/redwingthread/redwingthread/infra"
	"github.com/redwingthread/redwingthread/resource"
	"github.com/redwingthread/redwingthread/settings"
)

// Settings holds the settings of redwing-standin: which stand-ins run at which addresses.
type Settings struct {
	// Control is the address of the control service.
	Control   string             `toml:"control"`
	Log       LogSettings        `toml:"log"`
	VMList    VMListSettings     `toml:"vm_list"`
	Gates     []GateSettings     `toml:"gates"`
	Workers   []WorkerSettings   `toml:"workers"`
	Endpoints []EndpointSettings `toml:"endpoints"`
}

// LogSettings holds the settings of the log service. The service does not run if Address is empty. Zero values of the
// other fields mean no limit.
type LogSettings struct {
	Address          string  `toml:"address"`
	RetentionRecords int     `toml:"retention_records"`
	RetentionMS      int64   `toml:"retention_ms"`
	AppendsPerSecond float64 `toml:"appends_per_second"`
}

// VMListSettings holds the settings of the VM list. The list does not run if Address is empty. It contains VMs and all
// configured workers and endpoints. LagMS is the time after which changes become visible, in milliseconds.
type VMListSettings struct {
	Address string       `toml:"address"`
	LagMS   int64        `toml:"lag_ms"`
	VMs     []VMSettings `toml:"vms"`
}

// VMSettings holds the settings of an entry VM in the VM list. An entry VM runs a gateway and a scheduler.
type VMSettings struct {
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
	Address       string `toml:"address"`
}

// GateSettings holds the settings of a gate: an additional address of the service "log" or "vm_list".
type GateSettings struct {
	ID      string `toml:"id"`
	Service string `toml:"service"`
	Address string `toml:"address"`
}

// WorkerSettings holds the settings of one worker if Count is 0, otherwise of Count identical workers: their ids get the
// suffixes -1, -2 and so on, and their ports are consecutive, starting with the port of Address. If that port is 0, the
// kernel chooses each of them.
type WorkerSettings struct {
	ID            string `toml:"id"`
	Count         int    `toml:"count"`
	FailureDomain string `toml:"failure_domain"`
	Address       string `toml:"address"`
	Accelerators  int    `toml:"accelerators"`
	MilliCPU      int64  `toml:"milli_cpu"`
	MemoryMB      int64  `toml:"memory_mb"`
	UsageLagMS    int64  `toml:"usage_lag_ms"`
	CheckpointMS  int64  `toml:"checkpoint_ms"`
}

// EndpointSettings holds the settings of one endpoint or of Count identical endpoints, as in WorkerSettings.
type EndpointSettings struct {
	ID             string `toml:"id"`
	Count          int    `toml:"count"`
	FailureDomain  string `toml:"failure_domain"`
	Address        string `toml:"address"`
	Slots          int    `toml:"slots"`
	MaxConnections int    `toml:"max_connections"`
	WorkMS         int64  `toml:"work_ms"`
}

// LoadSettings reads a settings file of redwing-standin. Its errors are those of settings.LoadGateway.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if err := settings.Load(path, &s, s.problems); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// problems returns the invalid values.
func (s *Settings) problems() []settings.Fault {
	var problems []settings.Fault
	checkAddress := func(key, value string, optional bool) {
		if optional && value == "" {
			return
		}
		if a, err := netip.ParseAddrPort(value); err != nil || !a.Addr().IsLoopback() {
			problems = append(problems, settings.Fault{Key: key, Message: fmt.Sprintf("has the value %q", value),
				Remedy: "write a loopback address, such as 127.0.0.1:18100"})
		}
	}
	checkID := func(key, value string) {
		if value == "" {
			problems = append(problems, settings.Fault{Key: key, Message: "is missing or empty", Remedy: "set it"})
		}
	}
	checkAddress("control", s.Control, false)
	checkAddress("log.address", s.Log.Address, true)
	checkAddress("vm_list.address", s.VMList.Address, true)
	for i, g := range s.Gates {
		key := fmt.Sprintf("gates[%d]", i)
		checkID(key+".id", g.ID)
		checkAddress(key+".address", g.Address, false)
		if g.Service != "log" && g.Service != "vm_list" {
			problems = append(problems, settings.Fault{Key: key + ".service",
				Message: fmt.Sprintf("has the value %q", g.Service), Remedy: "use log or vm_list"})
		}
	}
	for i, w := range s.Workers {
		key := fmt.Sprintf("workers[%d]", i)
		checkID(key+".id", w.ID)
		checkAddress(key+".address", w.Address, false)
	}
	for i, e := range s.Endpoints {
		key := fmt.Sprintf("endpoints[%d]", i)
		checkID(key+".id", e.ID)
		checkAddress(key+".address", e.Address, false)
	}
	return problems
}

// instance is the id and address of one of several identical stand-ins.
type instance struct {
	id      string
	address string
}

// instances returns the ids and addresses of count identical stand-ins. A count of 0 gives one stand-in whose id has no
// suffix.
func instances(id, address string, count int) []instance {
	if count == 0 {
		return []instance{{id, address}}
	}
	base := netip.MustParseAddrPort(address)
	list := make([]instance, count)
	for i := range list {
		port := base.Port()
		if port != 0 {
			port += uint16(i)
		}
		list[i] = instance{fmt.Sprintf("%s-%d", id, i+1), netip.AddrPortFrom(base.Addr(), port).String()}
	}
	return list
}

func (w WorkerSettings) options(id string) WorkerOptions {
	return WorkerOptions{
		ID:             id,
		Capacity:       resource.Resources{Accelerators: w.Accelerators, MilliCPU: w.MilliCPU, MemoryMB: w.MemoryMB},
		UsageLag:       milliseconds(w.UsageLagMS),
		CheckpointTime: milliseconds(w.CheckpointMS),
	}
}

func (e EndpointSettings) options(id string) EndpointOptions {
	return EndpointOptions{
		ID: id, Slots: e.Slots, MaxConnections: e.MaxConnections, WorkTime: milliseconds(e.WorkMS),
	}
}

// vms returns the entry VMs, workers and endpoints of the settings.
func (s *Settings) vms() []infra.VM {
	var vms []infra.VM
	add := func(id, failureDomain, role, address string) {
		vms = append(vms, infra.VM{
			ID: id, FailureDomain: failureDomain, Role: role, State: infra.VMLive, Address: address,
		})
	}
	for _, vm := range s.VMList.VMs {
		add(vm.ID, vm.FailureDomain, infra.RoleEntry, vm.Address)
	}
	for _, w := range s.Workers {
		for _, p := range instances(w.ID, w.Address, w.Count) {
			add(p.id, w.FailureDomain, infra.RoleWorker, p.address)
		}
	}
	for _, e := range s.Endpoints {
		for _, p := range instances(e.ID, e.Address, e.Count) {
			add(p.id, e.FailureDomain, infra.RoleEndpoint, p.address)
		}
	}
	return vms
}
