package request

import "sort"

// interval is an inclusive range of sequence numbers.
type interval struct {
	low  uint64
	high uint64
}

// IntervalSet is a set of sequence numbers, stored as sorted, disjoint, non-adjacent ranges. Its memory depends on the
// number of gaps, not on the number of members. The zero value is an empty set.
type IntervalSet struct {
	ranges []interval
}

// position returns the index of the first range with an upper bound of at least n.
func (s *IntervalSet) position(n uint64) int {
	return sort.Search(len(s.ranges), func(i int) bool { return s.ranges[i].high >= n })
}

// Contains reports whether n is in the set.
func (s *IntervalSet) Contains(n uint64) bool {
	i := s.position(n)
	return i < len(s.ranges) && s.ranges[i].low <= n
}

// Add adds n to the set and reports whether it was absent.
func (s *IntervalSet) Add(n uint64) bool {
	i := s.position(n)
	if i < len(s.ranges) && s.ranges[i].low <= n {
		return false
	}
	joinsLeft := i > 0 && s.ranges[i-1].high+1 == n
	joinsRight := i < len(s.ranges) && s.ranges[i].low == n+1
	switch {
	case joinsLeft && joinsRight:
		s.ranges[i-1].high = s.ranges[i].high
		s.ranges = append(s.ranges[:i], s.ranges[i+1:]...)
	case joinsLeft:
		s.ranges[i-1].high = n
	case joinsRight:
		s.ranges[i].low = n
	default:
		s.ranges = append(s.ranges, interval{})
		copy(s.ranges[i+1:], s.ranges[i:])
		s.ranges[i] = interval{low: n, high: n}
	}
	return true
}

// Len returns the number of ranges.
func (s *IntervalSet) Len() int { return len(s.ranges) }

// CloseOldestGap merges the two lowest ranges by adding all numbers between them. It does nothing if there are fewer
// than two ranges.
func (s *IntervalSet) CloseOldestGap() {
	if len(s.ranges) < 2 {
		return
	}
	s.ranges[1].low = s.ranges[0].low
	s.ranges = append(s.ranges[:0], s.ranges[1:]...)
}
