package configcheck

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// CheckDocument checks a document of the product's own interface. inForce is nil if the version in force is not known.
func CheckDocument(proposed *DocumentText, inForce *config.Document, bounds Bounds) *Report {
	c := documentChecker{DocumentText: proposed, bounds: bounds}
	c.addFaults()
	c.checkServices()
	c.checkDrains()
	c.checkLargeShape()
	if inForce == nil {
		c.report.NotChecked = append(c.report.NotChecked, "the differences from the version in force: it was not given")
	} else {
		c.report.Compared = true
		c.compare(inForce)
	}
	c.report.sort()
	return &c.report
}

type documentChecker struct {
	*DocumentText
	bounds Bounds
	report Report
}

func (c *documentChecker) add(severity Severity, rule, path, remedy, format string, args ...any) {
	f := Finding{Severity: severity, Rule: rule, Entry: path, File: c.File, Reason: fmt.Sprintf(format, args...), Remedy: remedy}
	if position := c.locate(path); position.Known() {
		f.Position = &position
	}
	c.report.Findings = append(c.report.Findings, f)
}

// addFaults adds the faults that config.Validate found, which make the processes refuse the document.
func (c *documentChecker) addFaults() {
	var faults *config.FaultsError
	if !errors.As(c.Err, &faults) {
		return
	}
	for _, f := range faults.Faults {
		rule := "refused"
		if f.Kind == errkind.Infeasible {
			rule = "guarantee-without-shape"
		}
		c.add(Error, rule, f.Path, f.Remedy, "%s", f.Message)
	}
}

// checkServices reports services without endpoints and timeouts that no caller waits for.
func (c *documentChecker) checkServices() {
	for _, name := range slices.Sorted(maps.Keys(c.Document.Services)) {
		s := c.Document.Services[name]
		if len(s.Endpoints) == 0 {
			c.add(Error, "service-without-workers", "services/"+name, "add an endpoint, or remove the service",
				"the service has no endpoint, so its requests cannot be served")
		}
		timeout := time.Duration(min(s.TimeoutMS, config.MaxServiceTimeoutMS)) * time.Millisecond
		if wait := c.bounds.CallerWait; wait > 0 && timeout > wait {
			c.add(Warning, "timeout-above-caller-wait", "services/"+name, "use at most "+wait.String(),
				"the timeout of %v is longer than the %v that callers wait", timeout, wait)
		}
	}
}

// checkDrains reports that every worker of every failure domain is drained.
func (c *documentChecker) checkDrains() {
	domains := map[string]bool{}
	for id, w := range c.Document.Workers {
		if _, drained := c.Document.Drains[id]; !drained {
			return
		}
		domains[w.FailureDomain] = true
	}
	if len(domains) > 0 {
		c.add(Error, "every-domain-evacuated", "drains", "leave the workers of one failure domain in service",
			"every worker of every failure domain (%s) is drained, so nothing starts any more",
			strings.Join(slices.Sorted(maps.Keys(domains)), ", "))
	}
}

// checkLargeShape reports a shape for the measure of fragmentation that no failure domain can hold.
func (c *documentChecker) checkLargeShape() {
	shape := c.Document.Policy.StandardLargeShape
	if c.Err != nil || len(c.Document.Workers) == 0 {
		return
	}
	byDomain := map[string][]resource.Worker{}
	for _, id := range slices.Sorted(maps.Keys(c.Document.Workers)) {
		w := c.Document.Workers[id]
		byDomain[w.FailureDomain] = append(byDomain[w.FailureDomain], w)
	}
	for _, workers := range byDomain {
		if _, err := config.Pack(workers, []config.Demand{{Shape: shape}}); err == nil {
			return
		}
	}
	c.add(Warning, "shape-never-fits", "policy", "set a shape that the workers of one failure domain can hold",
		"no failure domain holds standard_large_shape, so fragmentation is measured against a shape that never fits")
}

// compare describes the difference from the version in force, field by field, with the effect where callers notice one.
func (c *documentChecker) compare(inForce *config.Document) {
	for _, line := range config.Describe(inForce, config.Diff(inForce, c.Document)) {
		entry, detail, ok := strings.Cut(line, ": ")
		if !ok {
			entry, detail = line, ""
		}
		if effect := effectOf(entry, detail); effect != "" {
			detail += "; " + effect
		}
		c.report.Changes = append(c.report.Changes, Change{Entry: entry, Effect: detail})
	}
}

// effects says what callers notice of a change to a field, by section and field. The field is "removed" or "added" for an item.
var effects = map[string]string{
	"accounts token_digest":       "requests with the previous token get 401",
	"accounts removed":            "requests with its token get 401",
	"accounts added":              "its token is accepted",
	"accounts quota":              "it can use that many accelerators in a failure domain",
	"accounts weight":             "its share of the request queues changes",
	"services removed":            "its requests get 404",
	"services added":              "its requests are served",
	"services timeout_ms":         "requests that take longer get 504",
	"services max_body_bytes":     "larger bodies are refused with 413",
	"endpoints removed":           "fewer requests are served at once",
	"endpoints added":             "more requests are served at once",
	"endpoints slots":             "the number of requests served at once changes",
	"workers removed":             "its jobs move to other workers",
	"workers added":               "it takes jobs",
	"drains added":                "it gets no new work",
	"drains removed":              "it gets work again",
	"operators removed":           "the operator's token gets 401",
	"operators token_digest":      "the operator's previous token gets 401",
	"policy reclaim_bound_ms":     "the longest wait for guaranteed capacity changes",
	"policy max_wait_ms":          "the wait of a blocked gang before its reservation changes",
	"failure_domains removed":     "nothing runs there any more",
	"accounts guarantees.changed": "what its urgent jobs can claim at any time changes",
}

// effectOf returns the effect of one line of config.Describe, whose entry is a path and, for a changed field, its name.
func effectOf(entry, detail string) string {
	path, field, _ := strings.Cut(entry, " ")
	parts := strings.Split(path, "/")
	section := parts[0]
	if len(parts) == 4 {
		section = parts[2]
	}
	switch {
	case field == "":
		field, _, _ = strings.Cut(detail, ",")
	case strings.HasPrefix(field, "guarantees["):
		field = "guarantees.changed"
	}
	return effects[section+" "+field]
}
