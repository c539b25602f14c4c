// Package resource defines the resources that workers offer and jobs request.
package resource

import (
	"fmt"

	"github.com/redwingthread/redwingthread/errkind"
)

// MaxMembers is the maximum number of members of a gang.
const MaxMembers = 64

// Resources is an amount of processors, memory and accelerators on one worker.
type Resources struct {
	// Accelerators is a count of whole accelerators.
	Accelerators int `json:"accelerators" cbor:"accelerators" toml:"accelerators"`
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu" cbor:"milli_cpu" toml:"milli_cpu"`
	// MemoryMB is memory in units of 2^20 bytes.
	MemoryMB int64 `json:"memory_mb" cbor:"memory_mb" toml:"memory_mb"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Accelerators + o.Accelerators, r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB}
}

// Sub returns r minus o; components may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Accelerators - o.Accelerators, r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.Accelerators * n, r.MilliCPU * int64(n), r.MemoryMB * int64(n)}
}

// Fits reports whether every component of r is at most that of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.Accelerators <= capacity.Accelerators && r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB
}

// IsZero reports whether every component of r is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Adjacency is how close to each other the members of a gang must be placed.
type Adjacency string

// The adjacency levels, from least to most restrictive.
const (
	// AdjacencyNone allows any workers of one failure domain.
	AdjacencyNone Adjacency = "none"
	// AdjacencyRack requires all members to be in one rack.
	AdjacencyRack Adjacency = "rack"
	// AdjacencyWorker requires all members to be on one worker.
	AdjacencyWorker Adjacency = "worker"
)

// Shape is the resource request of a gang: Members tasks of PerMember resources each, placed according to Adjacency.
type Shape struct {
	Members   int       `json:"members" cbor:"members"`
	PerMember Resources `json:"per_member" cbor:"per_member"`
	Adjacency Adjacency `json:"adjacency" cbor:"adjacency"`
}

// Total returns the sum of the resources of all members.
func (s Shape) Total() Resources { return s.PerMember.Times(s.Members) }

// Validate returns a BadInput error that describes the first invalid value of the shape; nil if the shape is valid.
// The texts of the error are stored in records of jobs and of the configuration, so their wording must stay stable.
func (s Shape) Validate() error {
	if s.Members < 1 || s.Members > MaxMembers {
		return errkind.New(errkind.BadInput, fmt.Sprintf("ask for 1 to %d members", MaxMembers),
			"shape has %d members", s.Members)
	}
	p := s.PerMember
	if p.Accelerators < 0 || p.MilliCPU < 0 || p.MemoryMB < 0 || p.IsZero() {
		return errkind.New(errkind.BadInput, "ask for at least one resource per member and no negative amount",
			"shape asks for %d accelerators, %d milli-CPU and %d MB per member", p.Accelerators, p.MilliCPU, p.MemoryMB)
	}
	switch s.Adjacency {
	case AdjacencyNone, AdjacencyRack, AdjacencyWorker:
		return nil
	}
	return errkind.New(errkind.BadInput, `use adjacency "none", "rack" or "worker"`,
		"shape has unknown adjacency %q", s.Adjacency)
}

// Worker is a VM that runs tasks.
type Worker struct {
	ID            string    `json:"id" cbor:"id"`
	FailureDomain string    `json:"failure_domain" cbor:"failure_domain"`
	Rack          string    `json:"rack" cbor:"rack"`
	Capacity      Resources `json:"capacity" cbor:"capacity"`
	// Address is the host:port of the worker's command service.
	Address string `json:"address" cbor:"address"`
}
