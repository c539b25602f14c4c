package configcheck

import (
	"maps"
	"slices"
	"strings"

	"github.com/redwingthread/redwingthread/workload"
)

// capacity sums the workers up. Draining workers get no new work and do not count, except in domains.
type capacity struct {
	byService map[string]*serviceCapacity
	// domains holds the failure domains of all workers; the value says whether one of them is not draining.
	domains map[string]bool
}

// serviceCapacity sums up the workers of a service.
type serviceCapacity struct {
	workers []*workload.WorkerInfo
	// draining is the number of workers that leave, evacuated that of the others in evacuated domains.
	draining, evacuated int
	// accelerators is the number on workers that stay, remaining the part of it outside of evacuated domains, largest the
	// largest number on one worker.
	accelerators, remaining, largest int
	labels, racks                    map[string]bool
}

func newCapacity(workers []workload.WorkerInfo, evacuated map[string]bool) capacity {
	c := capacity{byService: map[string]*serviceCapacity{}, domains: map[string]bool{}}
	for i := range workers {
		w := &workers[i]
		c.domains[w.FailureDomain] = c.domains[w.FailureDomain] || !w.Draining
		s := c.byService[w.Service]
		if s == nil {
			s = &serviceCapacity{labels: map[string]bool{}, racks: map[string]bool{}}
			c.byService[w.Service] = s
		}
		if w.Draining {
			s.draining++
			continue
		}
		n := w.Capacity.Accelerators
		s.workers = append(s.workers, w)
		s.accelerators += n
		s.largest = max(s.largest, n)
		if evacuated[w.FailureDomain] {
			s.evacuated++
		} else {
			s.remaining += n
		}
		for _, label := range w.Labels {
			s.labels[label] = true
		}
		if w.Rack != "" {
			s.racks[w.Rack] = true
		}
	}
	return c
}

// checkCapacity checks the configuration that will be in force against the workers.
func (c *checker) checkCapacity() {
	if !c.WorkersKnown {
		return
	}
	c.checkServices()
	c.checkGuarantees()
}

// checkServices reports routes whose service no worker has, or only workers that get no new work.
func (c *checker) checkServices() {
	const remedy = "correct the service, or start workers of it first"
	queues := c.current.Config.Queues
	for i := range queues {
		name := queues[i].Service
		s := c.capacity.byService[name]
		switch {
		case name == "":
		case s == nil:
			c.add(Error, "service-without-workers", routeField(i, FieldService), remedy,
				"no worker has service %q, so the jobs of the route never run", name)
		case len(s.workers) == 0:
			c.add(Warning, "service-without-workers", routeField(i, FieldService), remedy, "all %d workers of service %q are draining",
				s.draining, name)
		case s.evacuated == len(s.workers):
			c.add(Warning, "service-without-workers", routeField(i, FieldService),
				"cancel an evacuation, or start workers in another failure domain",
				"all %d workers of service %q are in evacuated failure domains", s.evacuated, name)
		}
	}
}

// checkGuarantees compares the guarantees, one by one and together, with the accelerators of the services that can use them.
func (c *checker) checkGuarantees() {
	services := guaranteedServices(c.current.Config)
	var total, remaining, largest int
	for name := range services {
		if s := c.capacity.byService[name]; s != nil {
			total += s.accelerators
			remaining += s.remaining
			largest = max(largest, s.largest)
		}
	}
	names := strings.Join(slices.Sorted(maps.Keys(services)), ", ")
	sum, last := 0, -1
	seen := map[string]bool{}
	for i := range c.current.Config.Accounts {
		a := &c.current.Config.Accounts[i]
		if a.GuaranteedAccelerators <= 0 || seen[a.Name] {
			continue
		}
		seen[a.Name] = true
		sum += a.GuaranteedAccelerators
		last = i
		if len(services) == 0 {
			continue // reported by checkUsableGuarantees
		}
		ref := accountField(i, FieldGuarantee)
		switch {
		case largest == 0:
			c.add(Error, "guarantee-without-shape", ref, "guarantee nothing, or start workers with accelerators",
				"%d accelerators are guaranteed, but no worker of the services that can use them (%s) has any",
				a.GuaranteedAccelerators, names)
		case a.GuaranteedAccelerators > total:
			c.add(Error, "guarantee-without-shape", ref, "guarantee less, or add workers",
				"%d accelerators are guaranteed, but the workers of the services that can use them (%s) have %d, at most %d each",
				a.GuaranteedAccelerators, names, total, largest)
		}
	}
	if last < 0 || len(services) == 0 {
		return
	}
	ref := accountField(last, FieldGuarantee)
	switch {
	case sum > total:
		c.add(Error, "guarantees-above-capacity", ref, "guarantee less in sum, or add workers",
			"all guarantees together are %d accelerators, the workers of the services that can use them (%s) have %d", sum, names, total)
	case sum > remaining:
		c.add(Warning, "guarantees-above-capacity", ref, "cancel an evacuation, or expect guarantees that are not met until then",
			"all guarantees together are %d accelerators, but only %d are outside of evacuated failure domains", sum, remaining)
	}
}

// applyEvacuations computes the domains whose evacuation will be in force.
func (c *checker) applyEvacuations() {
	for _, domain := range c.Evacuated {
		c.evacuatedBefore[domain], c.evacuated[domain] = true, true
	}
	for _, e := range c.Evacuations {
		if e.Cancel {
			delete(c.evacuated, e.Domain)
		} else {
			c.evacuated[e.Domain] = true
		}
	}
}

// checkEvacuations checks the proposed evacuations.
func (c *checker) checkEvacuations() {
	for i := range c.Evacuations {
		e := &c.Evacuations[i]
		c.report.Findings = append(c.report.Findings, e.Findings...)
		entry := "evacuation of " + e.Domain
		if _, known := c.capacity.domains[e.Domain]; c.WorkersKnown && !known {
			c.addFor(Warning, "evacuation-of-nothing", e.File, entry, "check the name of the failure domain",
				"no worker is in failure domain %q; those with workers are %s", e.Domain, c.domainList())
		}
		if c.EvacuatedKnown && e.Cancel && !c.evacuatedBefore[e.Domain] {
			c.addFor(Warning, "evacuation-not-in-force", e.File, entry, "leave the record out, or check the name of the failure domain",
				"the evacuation of failure domain %q is cancelled, but it is not in force", e.Domain)
		}
	}
	if len(c.Evacuations) > 0 && !c.EvacuatedKnown {
		c.notChecked("which evacuations are in force: they were not given, so only the proposed ones count")
	}
	c.checkEveryDomain()
}

// checkEveryDomain reports the last evacuation if no failure domain is left whose workers take tasks.
func (c *checker) checkEveryDomain() {
	last := -1
	for i := range c.Evacuations {
		if !c.Evacuations[i].Cancel {
			last = i
		}
	}
	var names []string
	for domain, active := range c.capacity.domains {
		switch {
		case active && !c.evacuated[domain]:
			return
		case active:
			names = append(names, domain)
		}
	}
	if last < 0 || len(names) == 0 {
		return
	}
	slices.Sort(names)
	e := &c.Evacuations[last]
	c.addFor(Error, "every-domain-evacuated", e.File, "evacuation of "+e.Domain, "leave one failure domain in service",
		"every failure domain with workers (%s) would be evacuated at once, so nothing starts any more", strings.Join(names, ", "))
}

func (c *checker) domainList() string {
	return strings.Join(slices.Sorted(maps.Keys(c.capacity.domains)), ", ")
}
