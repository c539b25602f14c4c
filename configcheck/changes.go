package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/workload"
)

// maxListedKeys is the largest number of keys that one change names.
const maxListedKeys = 5

func (c *checker) change(entry, format string, args ...any) {
	c.report.Changes = append(c.report.Changes, Change{Entry: entry, Effect: fmt.Sprintf(format, args...)})
}

// compare describes what callers notice of the difference from the version in force.
func (c *checker) compare() {
	c.report.Compared = c.InForceKnown || c.EvacuatedKnown
	if c.Proposed != nil && !c.InForceKnown {
		c.notChecked("the differences from the version in force: it was not given")
	}
	if c.Proposed != nil && c.InForceKnown {
		old := &workload.Config{KeyAccounts: map[string]string{}}
		if c.InForce != nil {
			old = c.InForce.Config
		}
		c.compareRoutes(old, c.Proposed.Config)
		c.compareKeys(old, c.Proposed.Config)
		c.compareGuarantees(old, c.Proposed.Config)
		c.compareLimits(old.Limits, c.Proposed.Config.Limits)
	}
	if c.EvacuatedKnown {
		c.compareEvacuations()
	}
}

// byName returns the routes by name, of several with one name the last one, and the names in order of their first route.
func byName(queues []workload.Queue) (map[string]*workload.Queue, []string) {
	routes := make(map[string]*workload.Queue, len(queues))
	var names []string
	for i := range queues {
		if _, ok := routes[queues[i].Name]; !ok {
			names = append(names, queues[i].Name)
		}
		routes[queues[i].Name] = &queues[i]
	}
	return routes, names
}

func (c *checker) compareRoutes(old, next *workload.Config) {
	oldRoutes, oldNames := byName(old.Queues)
	nextRoutes, _ := byName(next.Queues)
	oldMatcher, nextMatcher := newMatcher(old.Queues), newMatcher(next.Queues)
	oldServed, nextServed := oldMatcher.served(), nextMatcher.served()
	for _, name := range oldNames {
		entry := fmt.Sprintf("route %q", name)
		if _, kept := nextRoutes[name]; !kept {
			c.change(entry, "removed; accepted jobs still run, but callers can no longer query or cancel them there")
		}
		for _, a := range oldServed[name] {
			switch served := nextMatcher.match(a.host, a.prefix); {
			case served == nil:
				c.change(entry, "requests to %s get 404", a)
			case served.Name != name:
				c.change(entry, "requests to %s go to route %q", a, served.Name)
			}
		}
	}
	compared := map[string]bool{}
	for i := range next.Queues {
		q := &next.Queues[i]
		a := addressOf(q)
		entry := fmt.Sprintf("route %q", q.Name)
		if before, ok := oldRoutes[q.Name]; ok {
			if !compared[q.Name] {
				compared[q.Name] = true
				c.compareAddresses(entry, oldServed[q.Name], nextServed[q.Name])
				c.compareRoute(entry, before, nextRoutes[q.Name])
			}
			continue
		}
		if served := nextMatcher.match(a.host, a.prefix); served.Name != q.Name {
			c.change(entry, "added, but requests to %s go to route %q", a, served.Name)
			continue
		}
		c.change(entry, "added: serves %s with service %q and priority %d%s", a, q.Service, q.Priority, keyNote(q))
	}
}

// compareAddresses describes the addresses that a route serves and did not serve before. compareRoutes describes the others.
func (c *checker) compareAddresses(entry string, old, next []address) {
	var gone, added []string
	for _, a := range old {
		if !slices.Contains(next, a) {
			gone = append(gone, a.String())
		}
	}
	for _, a := range next {
		if !slices.Contains(old, a) {
			added = append(added, a.String())
		}
	}
	switch {
	case len(added) > 0 && len(gone) > 0:
		c.change(entry, "serves %s instead of %s", strings.Join(added, ", "), strings.Join(gone, ", "))
	case len(added) > 0:
		c.change(entry, "serves %s, too", strings.Join(added, ", "))
	}
}

// keyNote says for a public route that callers need no key.
func keyNote(q *workload.Queue) string {
	if q.Public {
		return ", without a key"
	}
	return ""
}

// compareRoute describes the changed terms of a route.
func (c *checker) compareRoute(entry string, old, next *workload.Queue) {
	if old.Service != next.Service {
		c.change(entry, "new jobs run on workers of service %q instead of %q", next.Service, old.Service)
	}
	if old.Public != next.Public {
		if next.Public {
			c.change(entry, "callers need no key any more; jobs of accounts can no longer be queried there")
		} else {
			c.change(entry, "callers need a key; requests without one get 401")
		}
	}
	if old.Priority != next.Priority {
		c.change(entry, "priority %d -> %d: jobs become %s urgent", old.Priority, next.Priority, moreOrLess(next.Priority < old.Priority))
	}
	if old.MaxFailedRuns != next.MaxFailedRuns {
		c.change(entry, "a job fails after %d failed runs of a task instead of %d", next.MaxFailedRuns, old.MaxFailedRuns)
	}
	if old.SlackFactor != next.SlackFactor || old.Target != next.Target {
		c.change(entry, "jobs count as late after %s instead of %s", objective(next), objective(old))
	}
}

func moreOrLess(more bool) string {
	if more {
		return "more"
	}
	return "less"
}

func objective(q *workload.Queue) string {
	return fmt.Sprintf("%v times their longest chain plus %v", q.SlackFactor, q.Target)
}

// compareKeys describes the keys that stop working, start working, or change their account, one change for each account.
func (c *checker) compareKeys(old, next *workload.Config) {
	withdrawn, added, moved := map[string][]string{}, map[string][]string{}, map[[2]string][]string{}
	for key, account := range old.KeyAccounts {
		now, ok := next.KeyAccounts[key]
		switch {
		case !ok:
			withdrawn[account] = append(withdrawn[account], Fingerprint(key))
		case now != account:
			moved[[2]string{account, now}] = append(moved[[2]string{account, now}], Fingerprint(key))
		}
	}
	for key, account := range next.KeyAccounts {
		if _, ok := old.KeyAccounts[key]; !ok {
			added[account] = append(added[account], Fingerprint(key))
		}
	}
	for _, account := range slices.Sorted(maps.Keys(withdrawn)) {
		c.change(fmt.Sprintf("account %q", account), "requests with %s get 401", keyList(withdrawn[account]))
	}
	pairs := slices.SortedFunc(maps.Keys(moved), func(a, b [2]string) int { return strings.Compare(a[0]+"\x00"+a[1], b[0]+"\x00"+b[1]) })
	for _, pair := range pairs {
		c.change(fmt.Sprintf("account %q", pair[0]), "requests with %s count for account %q and no longer reach the jobs of %q",
			keyList(moved[pair]), pair[1], pair[0])
	}
	for _, account := range slices.Sorted(maps.Keys(added)) {
		c.change(fmt.Sprintf("account %q", account), "requests with %s are accepted", keyList(added[account]))
	}
}

// keyList names keys by their fingerprints.
func keyList(fingerprints []string) string {
	slices.Sort(fingerprints)
	noun := "key "
	if len(fingerprints) > 1 {
		noun = "keys "
	}
	if n := len(fingerprints) - maxListedKeys; n > 0 {
		return fmt.Sprintf("%s%s and %d more", noun, strings.Join(fingerprints[:maxListedKeys], ", "), n)
	}
	return noun + strings.Join(fingerprints, ", ")
}

func (c *checker) compareGuarantees(old, next *workload.Config) {
	before, after := guarantees(old), guarantees(next)
	names := map[string]bool{}
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		entry := fmt.Sprintf("account %q", name)
		from, existed := before[name]
		to, exists := after[name]
		switch {
		case !exists:
			c.change(entry, "removed, with its guarantee of %d accelerators; accepted jobs still run", from)
		case !existed:
			c.change(entry, "added, with a guarantee of %d accelerators", to)
		case from != to:
			c.change(entry, "guaranteed accelerators: %d -> %d", from, to)
		}
	}
}

// guarantees returns the guarantee of each account; of several entries with one name the first counts.
func guarantees(config *workload.Config) map[string]int {
	byName := make(map[string]int, len(config.Accounts))
	for _, a := range config.Accounts {
		if _, ok := byName[a.Name]; !ok {
			byName[a.Name] = a.GuaranteedAccelerators
		}
	}
	return byName
}

func (c *checker) compareLimits(old, next workload.RequestLimits) {
	compare := func(entry, from, to, effect string) {
		if from != to {
			c.change(entry, "%s -> %s: %s", from, to, effect)
		}
	}
	compare("limit of headers", sizeLimit(old.HeaderBytes), sizeLimit(next.HeaderBytes), "larger headers are refused with 431")
	compare("limit of bodies", sizeLimit(old.BodyBytes), sizeLimit(next.BodyBytes), "larger bodies are refused with 413")
	compare("timeout of headers", timeLimit(old.HeaderTimeout), timeLimit(next.HeaderTimeout),
		"connections whose headers take longer are closed")
	compare("timeout of idle connections", timeLimit(old.IdleTimeout), timeLimit(next.IdleTimeout),
		"connections without requests for longer are closed")
}

// unsetLimit stands for a limit that the configuration does not set.
const unsetLimit = "the default"

func sizeLimit(bytes int) string {
	if bytes <= 0 {
		return unsetLimit
	}
	return fmt.Sprintf("%d bytes", bytes)
}

func timeLimit(d time.Duration) string {
	if d <= 0 {
		return unsetLimit
	}
	return d.String()
}

func (c *checker) compareEvacuations() {
	seen := map[string]bool{}
	for _, e := range c.Evacuations {
		if after := c.evacuated[e.Domain]; !seen[e.Domain] && after != c.evacuatedBefore[e.Domain] {
			seen[e.Domain] = true
			entry := fmt.Sprintf("failure domain %q", e.Domain)
			if after {
				c.change(entry, "evacuated: no task starts on its workers; running tasks continue")
			} else {
				c.change(entry, "evacuation cancelled: tasks start on its workers again")
			}
		}
	}
}
