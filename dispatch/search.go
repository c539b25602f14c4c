package dispatch

import "github.com/redwingthread/redwingthread/resource"

// search names what a search for room depends on, apart from the number of members. Steps of different jobs with the same
// search find the same room.
type search struct {
	service      string
	demand       resource.Resources
	gang         bool
	sameRack     bool
	dataRack     string
	label        string
	maxPerWorker int
	impatient    bool
	// step is set where the room depends on what the step already runs.
	step *step
}

func searchOf(c *Core, s *step) search {
	key := search{
		service: s.job.queue.Service, demand: charge(s.spec), gang: s.spec.Gang, sameRack: s.spec.SameRack,
		dataRack: s.spec.DataRack, label: s.spec.RequiredLabel, maxPerWorker: s.spec.MaxPerWorker, impatient: c.impatient(s),
	}
	if s.spec.MaxPerWorker > 0 || s.spec.SameRack && !s.spec.Gang {
		key.step = s
	}
	return key
}

// failedSearches remembers what found no room in one plan. Within a plan room only shrinks, but for the claims of a step,
// which only that step may use.
type failedSearches struct {
	// smallest holds the smallest number of members for which a search failed.
	smallest map[search]int
	// emptyRack holds how many members the largest suitable rack could hold if it were empty.
	emptyRack map[search]int
}

// includes reports whether the search for the unit is known to fail.
func (f *failedSearches) includes(c *Core, u *unit) bool {
	if u.step.claim != nil || f.smallest == nil {
		return false
	}
	size, failed := f.smallest[searchOf(c, u.step)]
	return failed && u.size >= size
}

func (f *failedSearches) add(c *Core, u *unit) {
	if u.step.claim != nil {
		return
	}
	if f.smallest == nil {
		f.smallest = map[search]int{}
	}
	key := searchOf(c, u.step)
	if size, failed := f.smallest[key]; !failed || u.size < size {
		f.smallest[key] = u.size
	}
}

func (f *failedSearches) rememberEmptyRack(key search, room int) {
	if f.emptyRack == nil {
		f.emptyRack = map[search]int{}
	}
	f.emptyRack[key] = room
}
