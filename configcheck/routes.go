package configcheck

import (
	"strconv"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// lowestPriority is the priority of the least urgent work that the scheduler distinguishes.
const lowestPriority = 2

// maxObjective bounds computed objectives, in nanoseconds, so that they fit a time.Duration.
const maxObjective = 1 << 62

// address is the host, in lower case, and the path prefix of a route.
type address struct{ host, prefix string }

func addressOf(q *workload.Queue) address { return address{strings.ToLower(q.Host), q.PathPrefix} }

// String returns the address as callers write it.
func (a address) String() string { return a.host + a.prefix }

// matcher finds the route of a request like workload.Config.Match, in a time that does not grow with the number of routes.
type matcher struct {
	queues []workload.Queue
	// first maps an address to the index of the first route that has it, which is the one that serves it.
	first map[address]int
}

func newMatcher(queues []workload.Queue) matcher {
	m := matcher{queues: queues, first: make(map[address]int, len(queues))}
	for i := range queues {
		a := addressOf(&queues[i])
		if _, ok := m.first[a]; !ok {
			m.first[a] = i
		}
	}
	return m
}

// match returns the route that serves requests for the path; nil if there is none.
func (m matcher) match(host, path string) *workload.Queue {
	host = strings.ToLower(host)
	for length := len(path); length >= 0; length-- {
		if i, ok := m.first[address{host, path[:length]}]; ok {
			return &m.queues[i]
		}
	}
	return nil
}

// served returns the addresses that each route serves, by its name. Several routes of one name are one queue.
func (m matcher) served() map[string][]address {
	byName := make(map[string][]address, len(m.queues))
	for i := range m.queues {
		if a := addressOf(&m.queues[i]); m.first[a] == i {
			byName[m.queues[i].Name] = append(byName[m.queues[i].Name], a)
		}
	}
	return byName
}

// checkRoutes checks what can be said about the routes without the workers.
func (c *checker) checkRoutes() {
	queues := c.current.Config.Queues
	m := newMatcher(queues)
	byName := make(map[string]int, len(queues))
	listed := make(map[string]bool, len(c.current.ListedServices))
	for _, name := range c.current.ListedServices {
		listed[name] = true
	}
	for i := range queues {
		q := &queues[i]
		if first, ok := byName[q.Name]; ok {
			c.checkSameName(i, first)
		} else {
			byName[q.Name] = i
		}
		c.checkAddress(i, q)
		c.checkShadowed(i, m)
		c.checkObjective(i, q)
		if q.Name == "" {
			c.add(Error, "route-without-name", routeField(i, FieldName), "give the route a name",
				"the route has no name, which its jobs are stored under")
		}
		if q.Service == "" {
			c.add(Error, "route-without-service", routeField(i, FieldService), "name the service whose workers run the jobs",
				"the route names no service, so its jobs never run")
		} else if c.current.ListedServices != nil && !listed[q.Service] {
			c.add(Warning, "service-not-listed", routeField(i, FieldService), "correct the name, or list the service",
				"service %q is not in the list of services of the same configuration", q.Service)
		}
		if q.Priority < 0 || q.Priority > lowestPriority {
			c.add(Warning, "priority-out-of-range", routeField(i, FieldPriority), "use 0 (most urgent), 1 or 2",
				"priority %d is outside of 0 to %d; only 0 is urgent", q.Priority, lowestPriority)
		}
		c.checkRouteTimeout(i)
	}
}

func routeField(index int, field Field) Ref {
	return Ref{Section: SectionRoutes, Index: index, Field: field}
}

// checkSameName reports a second route of one name. Its jobs belong to the same queue.
func (c *checker) checkSameName(i, first int) {
	a, b := &c.current.Config.Queues[first], &c.current.Config.Queues[i]
	if a.Policy(0) == b.Policy(0) && a.SlackFactor == b.SlackFactor && a.Target == b.Target && a.Public == b.Public {
		c.add(Warning, "route-name-twice", routeField(i, FieldName), "give each route a name of its own unless they are to share their jobs",
			"%s has the same name, so both are one queue", c.pathOf(routeField(first, "")))
		return
	}
	c.add(Error, "route-name-twice", routeField(i, FieldName), "give each route a name of its own",
		"%s has the same name and other terms; for all their jobs the terms of the last route of the name count",
		c.pathOf(routeField(first, "")))
}

// checkAddress reports an address at which no request, or no request that names a job, arrives.
func (c *checker) checkAddress(i int, q *workload.Queue) {
	if q.Host == "" {
		c.add(Error, "route-never-matches", routeField(i, FieldHost), "name the host that callers use",
			"the route has no host, so no request matches it")
	} else if strings.ContainsAny(q.Host, ":/* \t") {
		c.add(Error, "route-never-matches", routeField(i, FieldHost), "name the host only",
			"host %q can't match: hosts are compared as a whole, without port, scheme and path", q.Host)
	}
	switch {
	case !strings.HasPrefix(q.PathPrefix, "/"):
		c.add(Error, "route-never-matches", routeField(i, FieldPrefix), "start the prefix with /",
			"prefix %q does not start with /, so no request for a job matches it", q.PathPrefix)
	case strings.ContainsAny(q.PathPrefix, "?#"):
		c.add(Error, "route-never-matches", routeField(i, FieldPrefix), "give the path without query and fragment",
			"prefix %q contains ? or #, which are not part of a path", q.PathPrefix)
	case strings.Contains(q.PathPrefix, "%"):
		c.add(Error, "route-never-matches", routeField(i, FieldPrefix), "write the decoded characters",
			"prefix %q contains %%, but it is compared with the decoded path of requests", q.PathPrefix)
	case !strings.HasSuffix(q.PathPrefix, "/"):
		c.add(Warning, "prefix-without-slash", routeField(i, FieldPrefix), "end the prefix with /",
			"the id of a job follows the prefix %q directly; requests with a / in between are refused", q.PathPrefix)
	}
}

// checkShadowed reports a route whose address an earlier route has, and a route that takes jobs from another one whose prefix is
// shorter. Other nested prefixes are no fault: no job id of the shorter one reaches the longer one.
func (c *checker) checkShadowed(i int, m matcher) {
	q := &c.current.Config.Queues[i]
	a := addressOf(q)
	if first := m.first[a]; first != i {
		c.add(Error, "route-shadowed", routeField(i, FieldPrefix), "remove one of the two or give it another prefix",
			"%s (%q) has the same host and prefix and comes first, so no request reaches this route",
			c.pathOf(routeField(first, "")), m.queues[first].Name)
		return
	}
	for length := len(a.prefix) - 1; length >= 0 && c.StartsJobID(a.prefix[length:]); length-- {
		shorter, ok := m.first[address{a.host, a.prefix[:length]}]
		if !ok {
			continue
		}
		c.add(Warning, "route-shadowed", routeField(shorter, FieldPrefix), "end both prefixes with /, or give them different starts",
			"jobs whose id starts with %s go to %s (%q), whose prefix %q is longer", a.prefix[length:], c.pathOf(routeField(i, "")),
			q.Name, q.PathPrefix)
	}
}

// checkObjective reports an objective that is shorter than the work of every job, or of long ones.
func (c *checker) checkObjective(i int, q *workload.Queue) {
	switch {
	case q.SlackFactor >= 1:
	case q.SlackFactor <= 0 && q.Target <= 0:
		c.add(Warning, "objective-missing", routeField(i, FieldSlack), "set the slack factor to 1 or more, or a target",
			"the route has neither slack factor nor target, so every job counts as late from its start")
	case q.Target <= 0:
		c.add(Warning, "objective-shorter-than-work", routeField(i, FieldSlack), "set the slack factor to 1 or more, or add a target",
			"slack factor %v allows less time than the work of any job, so every job is late", q.SlackFactor)
	default:
		longest := time.Duration(min(float64(q.Target)/(1-max(0, q.SlackFactor)), maxObjective))
		c.add(Warning, "objective-shorter-than-work", routeField(i, FieldSlack), "set the slack factor to 1 or more",
			"with slack factor %v and target %v, a job whose longest chain takes more than %v is always late", q.SlackFactor, q.Target,
			longest.Round(time.Millisecond))
	}
}

func (c *checker) checkRouteTimeout(i int) {
	wait := c.Bounds.CallerWait
	if timeout := c.current.RouteTimeouts[i]; wait > 0 && timeout > wait {
		c.add(Warning, "timeout-above-caller-wait", routeField(i, FieldTimeout), "use at most "+wait.String(),
			"the timeout of %v is longer than the %v that callers wait", timeout, wait)
	}
}

func (c *checker) checkLimits() {
	limits := c.current.Config.Limits
	if wait := c.Bounds.CallerWait; wait > 0 && limits.HeaderTimeout > wait {
		c.add(Warning, "timeout-above-caller-wait", Ref{Section: SectionLimits, Field: FieldHeaderTimeout}, "use at most "+wait.String(),
			"the header timeout of %v is longer than the %v that callers wait for a response", limits.HeaderTimeout, wait)
	}
	record := c.Bounds.MaxRecordBytes
	if record > 0 && limits.BodyBytes > record {
		c.add(Warning, "body-above-record", Ref{Section: SectionLimits, Field: FieldBodyBytes}, "use at most "+strconv.Itoa(record),
			"bodies of %d bytes are read although the store takes records of at most %d; such jobs are refused after that",
			limits.BodyBytes, record)
	}
	if record > 0 && c.current.Bytes > record {
		c.add(Warning, "record-too-large", Ref{}, "remove entries, or write the JSON without spaces",
			"the configuration has %d bytes, the store takes records of at most %d", c.current.Bytes, record)
	}
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.add(Warning, "limits-contradict", Ref{Section: SectionLimits, Field: FieldIdleTimeout},
			"make the idle timeout at least as long as the header timeout",
			"a connection may be idle for %v but take %v to send its headers", limits.IdleTimeout, limits.HeaderTimeout)
	}
	if limits.BodyBytes > 0 && limits.HeaderBytes > limits.BodyBytes {
		c.add(Warning, "limits-contradict", Ref{Section: SectionLimits, Field: FieldBodyBytes}, "check whether the two limits were exchanged",
			"headers of %d bytes are allowed but bodies of only %d", limits.HeaderBytes, limits.BodyBytes)
	}
}
