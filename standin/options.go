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

// LogSettings holds the settings of the log service; without an address there is none.
type LogSettings struct {
	Address          string  `toml:"address"`
	RetentionRecords int     `toml:"retention_records"`
	RetentionMS      int64   `toml:"retention_ms"`
	AppendsPerSecond float64 `toml:"appends_per_second"`
}

// VMListSettings holds the settings of the VM list; without an address there is none. Workers and endpoints are in the
// list too.
type VMListSettings struct {
	Address string       `toml:"address"`
	LagMS   int64        `toml:"lag_ms"`
	VMs     []VMSettings `toml:"vms"`
}

// VMSettings is an entry VM in the list.
type VMSettings struct {
	ID            string `toml:"id"`
	FailureDomain string `toml:"failure_domain"`
	Address       string `toml:"address"`
}

// GateSettings holds the settings of one more address of the log ("log") or VM list ("vm_list").
type GateSettings struct {
	ID      string `toml:"id"`
	Service string `toml:"service"`
	Address string `toml:"address"`
}

// WorkerSettings holds the settings of one worker, or of Count workers alike: their ids get the suffixes -1, -2 and
// so on, and their ports follow the one of Address.
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

// EndpointSettings holds the settings of one endpoint, or of Count endpoints alike; see WorkerSettings.
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
	if err := settings.Load(path, &s, s.faults); err != nil {
		return Settings{}, err
	}
	return s, nil
}

// faults returns the faults of the values.
func (s *Settings) faults() []settings.Fault {
	var faults []settings.Fault
	address := func(key, value string, optional bool) {
		if optional && value == "" {
			return
		}
		if a, err := netip.ParseAddrPort(value); err != nil || !a.Addr().IsLoopback() {
			faults = append(faults, settings.Fault{Key: key, Message: fmt.Sprintf("has the value %q", value),
				Remedy: "write a loopback address, such as 127.0.0.1:18100"})
		}
	}
	id := func(key, value string) {
		if value == "" {
			faults = append(faults, settings.Fault{Key: key, Message: "is missing or empty", Remedy: "set it"})
		}
	}
	address("control", s.Control, false)
	address("log.address", s.Log.Address, true)
	address("vm_list.address", s.VMList.Address, true)
	for i, g := range s.Gates {
		key := fmt.Sprintf("gates[%d]", i)
		id(key+".id", g.ID)
		address(key+".address", g.Address, false)
		if g.Service != "log" && g.Service != "vm_list" {
			faults = append(faults, settings.Fault{Key: key + ".service", Message: fmt.Sprintf("has the value %q", g.Service),
				Remedy: "use log or vm_list"})
		}
	}
	for i, w := range s.Workers {
		key := fmt.Sprintf("workers[%d]", i)
		id(key+".id", w.ID)
		address(key+".address", w.Address, false)
	}
	for i, e := range s.Endpoints {
		key := fmt.Sprintf("endpoints[%d]", i)
		id(key+".id", e.ID)
		address(key+".address", e.Address, false)
	}
	return faults
}

// place is the id and address of one of several stand-ins alike.
type place struct {
	id      string
	address string
}

// places returns the ids and addresses of count stand-ins; a count of 0 is one with the plain id.
func places(id, address string, count int) []place {
	if count == 0 {
		return []place{{id, address}}
	}
	base := netip.MustParseAddrPort(address)
	list := make([]place, count)
	for i := range list {
		port := base.Port()
		if port != 0 {
			port += uint16(i)
		}
		list[i] = place{fmt.Sprintf("%s-%d", id, i+1), netip.AddrPortFrom(base.Addr(), port).String()}
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
		ID: id, Slots: e.Slots, MaxConnections: e.MaxConnections, Work: milliseconds(e.WorkMS),
	}
}

// vms returns the list of all VMs that the settings name.
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
		for _, p := range places(w.ID, w.Address, w.Count) {
			add(p.id, w.FailureDomain, infra.RoleWorker, p.address)
		}
	}
	for _, e := range s.Endpoints {
		for _, p := range places(e.ID, e.Address, e.Count) {
			add(p.id, e.FailureDomain, infra.RoleEndpoint, p.address)
		}
	}
	return vms
}
