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
			summary: "Promises shapes to an account in a failure domain",
			examples: []string{
				`guarantee set scan -failure-domain fd-a -members 2 -accelerators 8 -milli-cpu 8000 -memory-mb 16384 -adjacency rack -count 1 -author ana -reason "batch fittings"`,
			},
			setup: guaranteeSet,
		},
		{
			name: "guarantee remove", arguments: "ACCOUNT",
			summary: "Takes guarantees back: those of a shape, or all of a failure domain without -members",
			examples: []string{
				`guarantee remove scan -failure-domain fd-a -author ana -reason "moved to fd-b"`,
			},
			setup: guaranteeRemove,
		},
	}
}

// shapeFlags holds the flags of a shape.
type shapeFlags struct {
	shape     resource.Shape
	adjacency string
}

func (s *shapeFlags) declare(f *flag.FlagSet) {
	f.IntVar(&s.shape.Members, "members", 0, "`number` of tasks of the gang")
	f.IntVar(&s.shape.PerMember.Accelerators, "accelerators", 0, "accelerators for each member")
	f.Int64Var(&s.shape.PerMember.MilliCPU, "milli-cpu", 0, "thousandths of a core for each member")
	f.Int64Var(&s.shape.PerMember.MemoryMB, "memory-mb", 0, "memory for each member in units of 2^20 bytes")
	f.StringVar(&s.adjacency, "adjacency", string(resource.AdjacencyNone), "none, rack or worker")
}

// value returns the shape, checked.
func (s *shapeFlags) value() (resource.Shape, error) {
	s.shape.Adjacency = resource.Adjacency(s.adjacency)
	return s.shape, s.shape.Validate()
}

func guaranteeSet(f *flag.FlagSet) func(*call) error {
	var by authorship
	var shape shapeFlags
	var g config.Guarantee
	by.declare(f)
	shape.declare(f)
	f.StringVar(&g.FailureDomain, "failure-domain", "", "`name` of the failure domain, required")
	f.IntVar(&g.Count, "count", 1, "number of shapes that can be claimed at once")
	return func(c *call) error {
		if err := c.want("ACCOUNT"); err != nil {
			return err
		}
		if err := needFailureDomain(g.FailureDomain); err != nil {
			return err
		}
		var err error
		if g.Shape, err = shape.value(); err != nil {
			return err
		}
		return c.change(by, operatorclient.SetGuarantee(c.args[0], g))
	}
}

func needFailureDomain(name string) error {
	if name == "" {
		return errkind.New(errkind.BadInput, "set -failure-domain", "no failure domain")
	}
	return nil
}

func guaranteeRemove(f *flag.FlagSet) func(*call) error {
	var by authorship
	var flags shapeFlags
	by.declare(f)
	flags.declare(f)
	failureDomain := f.String("failure-domain", "", "`name` of the failure domain, required")
	return func(c *call) error {
		if err := c.want("ACCOUNT"); err != nil {
			return err
		}
		if err := needFailureDomain(*failureDomain); err != nil {
			return err
		}
		var shape *resource.Shape
		if flags.shape.Members != 0 {
			value, err := flags.value()
			if err != nil {
				return err
			}
			shape = &value
		}
		return c.change(by, operatorclient.RemoveGuarantee(c.args[0], *failureDomain, shape))
	}
}
