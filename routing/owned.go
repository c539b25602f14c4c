package routing

import "math/rand/v2"

// Owned is the alternative way of sharing slots: each endpoint's slots belong to one gateway of its failure domain,
// which lends free ones to the others for one request at a time.
type Owned struct {
	random *rand.Rand
	ids    []string
	slots  map[string]int
	free   map[string]int
}

// NewOwned returns the slots of one gateway, all free.
func NewOwned(slots map[string]int, ids []string, seed uint64) *Owned {
	o := &Owned{random: rand.New(rand.NewPCG(seed, 11)), ids: ids, slots: slots, free: map[string]int{}}
	for id, n := range slots {
		o.free[id] = n
	}
	return o
}

// Take takes a slot at the less loaded of two random endpoints with a free one, for an own request or for a peer.
func (o *Owned) Take() (id string, ok bool) {
	var free []string
	for _, id := range o.ids {
		if o.free[id] > 0 {
			free = append(free, id)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	a, b := free[o.random.IntN(len(free))], free[o.random.IntN(len(free))]
	if o.free[b]*o.slots[a] > o.free[a]*o.slots[b] {
		a = b
	}
	o.free[a]--
	return a, true
}

// Return gives a slot back.
func (o *Owned) Return(id string) { o.free[id] = min(o.slots[id], o.free[id]+1) }
