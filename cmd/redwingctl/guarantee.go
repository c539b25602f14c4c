package main

import (
	"flag"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/operatorclient"
	"github.com/redwingthread/redwingthread/resource"
)

func guaranteeCommands() []command {
	return []command{
		{
			name: "guarantee set", arguments: "ACCOUNT",
			summary: "Guarantees shapes to an account in a failure domain",
			examples: []string{
				`guarantee set scan -failure-domain fd-a -members 2 -accelerators 8 -milli-cpu 8000 -memory-mb 16384 -adjacency rack -count 1 -author ana -reason "batch fittings"`,
			},
			setup: guaranteeSet,
		},
		{
			name: "guarantee remove", arguments: "ACCOUNT",
			summary: "Removes guarantees: those of a shape, or all of a failure domain without -members",
			examples: []string{
				`guarantee remove scan -failure-domain fd-a -author ana -reason "moved to fd-b"`,
			},
			setup: guaranteeRemove,
		},
	}
}

// shapeFlags holds the flags that describe a shape.
type shapeFlags struct {
	shape     resource.Shape
	adjacency string
}

func (s *shapeFlags) declare(f *flag.FlagSet) {
	f.IntVar(&s.shape.Members, "members", 0, "`number` of tasks in the gang")
	f.IntVar(&s.shape.PerMember.Accelerators, "accelerators", 0, "accelerators for each member")
	f.Int64Var(&s.shape.PerMember.MilliCPU, "milli-cpu", 0, "thousandths of a core for each member")
	f.Int64Var(&s.shape.PerMember.MemoryMB, "memory-mb", 0, "memory for each member in units of 2^20 bytes")
	f.StringVar(&s.adjacency, "adjacency", string(resource.AdjacencyNone), "none, rack or worker")
}

// validShape returns the shape, or an error if it is not valid.
func (s *shapeFlags) validShape() (resource.Shape, error) {
	s.shape.Adjacency = resource.Adjacency(s.adjacency)
	return s.shape, s.shape.Validate()
}

func guaranteeSet(f *flag.FlagSet) func(*invocation) error {
	var change changeFlags
	var shape shapeFlags
	var g config.Guarantee
	change.declare(f)
	shape.declare(f)
	f.StringVar(&g.FailureDomain, "failure-domain", "", "`name` of the failure domain, required")
	f.IntVar(&g.Count, "count", 1, "number of shapes that can be claimed at once")
	return func(inv *invocation) error {
		if err := inv.checkArgs("ACCOUNT"); err != nil {
			return err
		}
		if err := requireFailureDomain(g.FailureDomain); err != nil {
			return err
		}
		var err error
		if g.Shape, err = shape.validShape(); err != nil {
			return err
		}
		return inv.submitAndPrint(change, operatorclient.SetGuarantee(inv.args[0], g))
	}
}

// requireFailureDomain returns an error if name is empty.
func requireFailureDomain(name string) error {
	if name == "" {
		return errkind.New(errkind.BadInput, "set -failure-domain", "no failure domain")
	}
	return nil
}

func guaranteeRemove(f *flag.FlagSet) func(*invocation) error {
	var change changeFlags
	var shapeArgs shapeFlags
	change.declare(f)
	shapeArgs.declare(f)
	failureDomain := f.String("failure-domain", "", "`name` of the failure domain, required")
	return func(inv *invocation) error {
		if err := inv.checkArgs("ACCOUNT"); err != nil {
			return err
		}
		if err := requireFailureDomain(*failureDomain); err != nil {
			return err
		}
		var shape *resource.Shape
		if shapeArgs.shape.Members != 0 {
			validShape, err := shapeArgs.validShape()
			if err != nil {
				return err
			}
			shape = &validShape
		}
		return inv.submitAndPrint(change, operatorclient.RemoveGuarantee(inv.args[0], *failureDomain, shape))
	}
}
