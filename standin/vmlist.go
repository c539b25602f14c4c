package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// VMListFaults holds the faults of the VM list.
type VMListFaults struct {
	connectionFaults
	// Flap makes every second read return the list as it was before the last change.
	Flap bool `json:"flap,omitempty"`
}

// VMList is a stand-in for the platform's list of VMs. Changes become visible after a configured lag.
type VMList struct {
	lag time.Duration

	mu sync.Mutex
	// mu guards the fields below. states holds the list after each change, oldest first. reads counts the reads.
	states []vmListState
	faults VMListFaults
	reads  uint64
}

// vmListState is the content of the list after one change.
type vmListState struct {
	// visible is when reads begin to return this state.
	visible time.Time
	vms     map[string]infra.VM
}

// NewVMList returns a list with the initial content vms, whose later changes become visible after lag.
func NewVMList(vms []infra.VM, lag time.Duration) *VMList {
	first := vmListState{vms: make(map[string]infra.VM)}
	for _, vm := range vms {
		first.vms[vm.ID] = vm
	}
	return &VMList{lag: lag, states: []vmListState{first}}
}

// SetFaults replaces the faults.
func (l *VMList) SetFaults(f VMListFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Set adds or replaces vm at time now; the change becomes visible after the lag.
func (l *VMList) Set(vm infra.VM, now time.Time) {
	l.update(now, func(vms map[string]infra.VM) { vms[vm.ID] = vm })
}

// Remove removes the VM with the id at time now; the change becomes visible after the lag.
func (l *VMList) Remove(id string, now time.Time) {
	l.update(now, func(vms map[string]infra.VM) { delete(vms, id) })
}

func (l *VMList) update(now time.Time, edit func(map[string]infra.VM)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := vmListState{visible: now.Add(l.lag), vms: make(map[string]infra.VM)}
	for id, vm := range l.states[len(l.states)-1].vms {
		next.vms[id] = vm
	}
	edit(next.vms)
	l.states = append(l.states, next)
}

// VMs returns the list that is visible at time now, or the state before it if the fault Flap applies to this read. The
// list is sorted by id.
func (l *VMList) VMs(now time.Time) []infra.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := 0
	for i, state := range l.states {
		if !state.visible.After(now) {
			visible = i
		}
	}
	l.reads++
	if l.faults.Flap && l.reads%2 == 0 && visible > 0 {
		visible--
	}
	vms := make([]infra.VM, 0, len(l.states[visible].vms))
	for _, vm := range l.states[visible].vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

// Handler returns the HTTP handler of the VM list.
func (l *VMList) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", func(w http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		faults := l.faults
		l.mu.Unlock()
		if faults.apply(w, r) {
			writeWithETag(w, r, infra.VMListResponse{VMs: l.VMs(time.Now())})
		}
	})
	return mux
}

// writeWithETag writes the list with an entity tag of its content, or status 304 if the client already has that
// content.
func writeWithETag(w http.ResponseWriter, r *http.Request, list infra.VMListResponse) {
	body, err := json.Marshal(list)
	if err != nil {
		writeError(w, err)
		return
	}
	tag := fmt.Sprintf("\"%016x\"", xxhash.Sum64(body))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// serveVMChange handles POST /v1/vms of the control service. The body is a VM to set, or to remove if its state is
// "removed".
func (l *VMList) serveVMChange(w http.ResponseWriter, r *http.Request) {
	var vm infra.VM
	if err := readJSON(r, &vm); err != nil {
		writeError(w, err)
		return
	}
	switch vm.State {
	case infra.VMLive, infra.VMLeaving:
		l.Set(vm, time.Now())
	case "removed":
		l.Remove(vm.ID, time.Now())
	default:
		writeError(w, errkind.New(errkind.BadInput, `use "live", "leaving" or "removed"`, "unknown VM state %q", vm.State))
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
