package dispatch

import (
	"maps"

	"github.com/redwingthread/redwingthread/resource"
)

// updateUtilization computes the number of racks, the fraction of accelerators in use, which is 1 if there are none, and what is in
// use of each service. Evacuated workers count in none of these.
func (c *Core) updateUtilization() {
	all := &serviceUse{}
	racks := map[string]bool{}
	c.evacuatedRacks = map[string]bool{}
	clear(c.serviceUse)
	for _, w := range c.sortedWorkers {
		if !w.registered {
			continue
		}
		if w.evacuated {
			c.evacuatedRacks[w.info.Rack] = true
			continue
		}
		racks[w.info.Rack] = true
		all.add(w)
		c.useOf(w.info.Service).add(w)
	}
	maps.DeleteFunc(c.evacuatedRacks, func(rack string, _ bool) bool { return racks[rack] })
	c.racks = len(racks)
	c.utilization = fraction(float64(all.used.Accelerators), float64(all.capacity.Accelerators))
}

// serviceUse is the capacity of the registered workers of a service that are not evacuated and the part that is in use, the number of these workers and the
// sum of the logarithms of their speeds.
type serviceUse struct {
	used, capacity resource.Resources
	workers        int
	logSpeeds      float64
}

// useOf returns the record of the service, which it creates if necessary.
func (c *Core) useOf(service string) *serviceUse {
	if c.serviceUse[service] == nil {
		c.serviceUse[service] = &serviceUse{}
	}
	return c.serviceUse[service]
}

func (u *serviceUse) add(w *worker) {
	u.used = u.used.Add(w.used)
	u.capacity = u.capacity.Add(w.info.Capacity)
	u.workers++
	u.logSpeeds += w.logSpeed
}

// meanLogSpeed returns the mean logarithm of the speeds of the workers.
func (u *serviceUse) meanLogSpeed() float64 { return u.logSpeeds / float64(max(1, u.workers)) }

// busy reports whether at least busyShare of the service's capacity is in use.
func (c *Core) busy(service string) bool {
	use := c.serviceUse[service]
	return use != nil && use.share() >= busyShare
}

// share returns the fraction of the capacity that is in use, by accelerators or by core equivalents, whichever is lower.
func (u *serviceUse) share() float64 {
	return min(fraction(float64(u.used.Accelerators), float64(u.capacity.Accelerators)),
		fraction(coreEquivalents(u.used), coreEquivalents(u.capacity)))
}

// fraction returns part of whole as a fraction; 1 if whole is not positive.
func fraction(part, whole float64) float64 {
	if whole <= 0 {
		return 1
	}
	return part / whole
}

// updateFreeAccelerators sums the free accelerators of the workers that accept work and are not excluded.
func (c *Core) updateFreeAccelerators() {
	c.freeAccelerators = 0
	for _, w := range c.sortedWorkers {
		if w.acceptsWork() && !c.excluded(w) {
			c.freeAccelerators += max(0, w.free().Accelerators)
		}
	}
}
