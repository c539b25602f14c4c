package config

import (
	"slices"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// checkGuarantees adds a fault for every failure domain whose workers cannot hold all its guarantees at the same time. old
// is the valid document that next was derived from, or nil. The check skips a failure domain in which next keeps every
// worker of old in its rack with at least its capacity and guarantees nothing more, because the packing of old is still
// valid there. Drained workers count as capacity, since a drain is temporary.
func checkGuarantees(faults *faultList, old, next *Document) {
	for _, fd := range sortedKeys(next.FailureDomains) {
		if old != nil && keepsPacking(old, next, fd) {
			continue
		}
		checkDomainGuarantees(faults, next, fd)
	}
}

func checkDomainGuarantees(faults *faultList, doc *Document, fd string) {
	workers, demands := DomainWorkers(doc, fd), Demands(doc, fd)
	if len(demands) == 0 {
		return
	}
	cells, err := Pack(workers, demands)
	if err != nil {
		typed := errkind.As(err)
		faults.addKind(errkind.Infeasible, "failure_domains/"+fd, typed.Remedy,
			"guarantees cannot be packed in failure domain %s: %s", fd, typed.Message)
		return
	}
	err = CheckPacking(workers, cells)
	invariant.Check(err == nil, invariant.GuaranteeReclaimable, "packing of failure domain %s is invalid: %v", fd, err)
}

// keepsPacking reports whether every valid packing of failure domain fd in old contains a valid one of next, because its
// workers keep their racks and at least their capacity, and no account is guaranteed more there.
func keepsPacking(old, next *Document, fd string) bool {
	for id, w := range old.Workers {
		if w.FailureDomain != fd {
			continue
		}
		updated, ok := next.Workers[id]
		if !ok || updated.FailureDomain != fd || updated.Rack != w.Rack || !w.Capacity.Fits(updated.Capacity) {
			return false
		}
	}
	for name, a := range next.Accounts {
		if !slices.Equal(a.Guarantees, old.Accounts[name].Guarantees) && !guaranteesNoMore(old.Accounts[name], a, fd) {
			return false
		}
	}
	return true
}

// guaranteesNoMore reports whether next guarantees at most as many copies of every shape in failure domain fd as old.
func guaranteesNoMore(old, next Account, fd string) bool {
	counts := map[Guarantee]int{}
	add := func(a Account, sign int) {
		for _, g := range a.Guarantees {
			if g.FailureDomain == fd {
				counts[Guarantee{Shape: g.Shape}] += sign * g.Count
			}
		}
	}
	add(next, 1)
	add(old, -1)
	for _, n := range counts {
		if n > 0 {
			return false
		}
	}
	return true
}
