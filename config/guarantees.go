package config

import (
	"slices"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// checkGuarantees adds a fault for every failure domain whose guarantees cannot all be packed at once. Old is the valid
// document that next was made from, nil if there is none: a failure domain where next has no fewer workers and promises
// no more than old is packable because it was before. Drained workers count, since a drain is temporary.
func checkGuarantees(faults *faultList, old, next *Document) {
	for _, fd := range sortedKeys(next.FailureDomains) {
		if old != nil && relaxes(old, next, fd) {
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
	invariant.Check(err == nil, invariant.GuaranteeReclaimable, "packing of failure domain %s is not sound: %v", fd, err)
}

// relaxes reports whether a packing of fd in old is one in next, too.
func relaxes(old, next *Document, fd string) bool {
	for id, w := range old.Workers {
		if w.FailureDomain != fd {
			continue
		}
		now, ok := next.Workers[id]
		if !ok || now.FailureDomain != fd || now.Rack != w.Rack || !w.Capacity.Fits(now.Capacity) {
			return false
		}
	}
	for name, a := range next.Accounts {
		if !slices.Equal(a.Guarantees, old.Accounts[name].Guarantees) && !promisesNoMore(old.Accounts[name], a, fd) {
			return false
		}
	}
	return true
}

// promisesNoMore reports whether every shape is guaranteed at most as often in fd as before.
func promisesNoMore(old, next Account, fd string) bool {
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
