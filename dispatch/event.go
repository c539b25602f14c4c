package dispatch

import "github.com/redwingthread/redwingthread/workload"

// Event is a decision, or a change in what the core knows of a worker or run, that the owner logs.
type Event struct {
	Name   string
	Job    workload.JobID
	Worker string
	Detail string
}

// Names of events that the owner counts.
const (
	EventWorkerSlow = "worker slow"
	EventSlowMove   = "run moved off a slow worker"
	// EventWorkerSpeed reports that a worker's learned speed is certain to differ from the usual one, or no longer does.
	EventWorkerSpeed = "worker speed learned"
)

// TakeEvents returns the events since the last call.
func (c *Core) TakeEvents() []Event {
	events := c.events
	c.events = nil
	return events
}

func (c *Core) event(e Event) { c.events = append(c.events, e) }
