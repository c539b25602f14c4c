// Package evacuation tracks which failure domains operators have evacuated.
//
// Tracker folds the records of the operators' stream into an immutable Set. It does no I/O, reads no clock and starts no
// goroutines. The package does not decide what an evacuation means: package dispatch places no work on the workers of such a
// domain, and package leader sends no start to them.
package evacuation

import (
	"maps"
	"slices"
)

// Set is an immutable set of failure domains. The zero value is empty.
type Set struct {
	// domains is sorted.
	domains []string
}

// NewSet returns the set of the given domains.
func NewSet(domains ...string) Set {
	return Set{domains: slices.Compact(slices.Sorted(slices.Values(domains)))}
}

// Contains reports whether the domain is in the set.
func (s Set) Contains(domain string) bool {
	_, found := slices.BinarySearch(s.domains, domain)
	return found
}

// Domains returns the domains in ascending order.
func (s Set) Domains() []string { return slices.Clone(s.domains) }

// Equal reports whether both sets hold the same domains.
func (s Set) Equal(o Set) bool { return slices.Equal(s.domains, o.domains) }

// Record is a request to evacuate a domain or, if Removed is set, to cancel that. Offset is its position in the stream.
type Record struct {
	Domain  string
	Removed bool
	Offset  int64
}

// Tracker folds records into the set of evacuated domains. Its zero value knows no records. It is not safe for concurrent use.
//
// Records may be delivered repeatedly, late, or from an earlier state of the stream. Of each domain only the record with the
// highest offset counts.
type Tracker struct {
	set Set
	// newest maps each domain to its newest record, apart from removals before reloadedTo.
	newest map[string]Record
	// reloadedTo is the end of the stream as of the newest complete reload. Records before it that the reload did not contain are
	// obsolete.
	reloadedTo int64
}

// Set returns the evacuated domains.
func (t *Tracker) Set() Set { return t.set }

// Apply folds a record and reports whether the set has changed. A record whose offset is not newer than the last one of its domain
// is ignored.
func (t *Tracker) Apply(r Record) (changed bool) {
	if known, ok := t.newest[r.Domain]; r.Offset < t.reloadedTo || ok && r.Offset <= known.Offset {
		return false
	}
	t.put(r)
	return t.update()
}

// Reload folds the newest record of every domain as of the end of the stream, and reports whether the set has changed. A domain that
// is missing is not evacuated, unless a record of it at or after end is known: the reload is from before that record then.
func (t *Tracker) Reload(records []Record, end int64) (changed bool) {
	if end < t.reloadedTo {
		return false
	}
	t.reloadedTo = end
	maps.DeleteFunc(t.newest, func(_ string, known Record) bool { return known.Offset < end })
	for _, r := range records {
		if known, ok := t.newest[r.Domain]; !ok || r.Offset > known.Offset {
			t.put(r)
		}
	}
	return t.update()
}

func (t *Tracker) put(r Record) {
	if t.newest == nil {
		t.newest = map[string]Record{}
	}
	t.newest[r.Domain] = r
}

// update rebuilds the set and reports whether it has changed.
func (t *Tracker) update() bool {
	var domains []string
	for domain, r := range t.newest {
		if !r.Removed {
			domains = append(domains, domain)
		}
	}
	set := NewSet(domains...)
	changed := !set.Equal(t.set)
	t.set = set
	return changed
}
