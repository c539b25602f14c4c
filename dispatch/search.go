package dispatch

import "github.com/redwingthread/redwingthread/resource"

// searchKey holds everything that a placement search depends on, apart from the number of members. Steps of different
// jobs with equal keys find the same room.
type searchKey struct {
	service          string
	demand           resource.Resources
	gang             bool
	sameRack         bool
	dataRack         string
	label            string
	maxPerWorker     int
	localityWaitOver bool
	// step is set only if the room also depends on where the step's tasks already run.
	step *step
}

func searchKeyOf(c *Core, s *step) searchKey {
	key := searchKey{
		service: s.job.policy.Service, demand: s.spec.EffectiveDemand(), gang: s.spec.Gang, sameRack: s.spec.SameRack,
		dataRack: s.spec.DataRack, label: s.spec.RequiredLabel, maxPerWorker: s.spec.MaxPerWorker, localityWaitOver: c.localityWaitOver(s),
	}
	if s.spec.MaxPerWorker > 0 || s.spec.SameRack && !s.spec.Gang {
		key.step = s
	}
	return key
}

// failedSearches caches the searches of one plan that found no room. This is valid because room only shrinks within a
// plan, except for the claim of a step, which only that step may use.
type failedSearches struct {
	// smallest maps each key to the smallest number of members for which a search failed.
	smallest map[searchKey]int
	// emptyRack maps each key to the number of members that the largest suitable rack could hold if it were empty.
	emptyRack map[searchKey]int
}

// includes reports whether the search for the unit is known to fail.
func (f *failedSearches) includes(c *Core, u *unit) bool {
	if u.step.claim != nil || f.smallest == nil {
		return false
	}
	size, failed := f.smallest[searchKeyOf(c, u.step)]
	return failed && u.size >= size
}

// add records that the search for the unit found no room. A unit whose step has a claim is not recorded.
func (f *failedSearches) add(c *Core, u *unit) {
	if u.step.claim != nil {
		return
	}
	if f.smallest == nil {
		f.smallest = map[searchKey]int{}
	}
	key := searchKeyOf(c, u.step)
	if size, failed := f.smallest[key]; !failed || u.size < size {
		f.smallest[key] = u.size
	}
}

// addEmptyRack records the number of members that the largest suitable rack could hold if it were empty.
func (f *failedSearches) addEmptyRack(key searchKey, room int) {
	if f.emptyRack == nil {
		f.emptyRack = map[searchKey]int{}
	}
	f.emptyRack[key] = room
}
