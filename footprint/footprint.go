// Package footprint bounds the memory that accepted work takes on the holder of the schedule. Any VM may become the holder, so the limits
// follow from the memory of the smallest VM. They are in units: the memory of one waiting task.
//
// What a job takes while it waits is charged when it is accepted (overload.Charge, overload.MaxCharge). What it takes beyond that
// once it is under way is bounded here when it is spent: work that does not fit waits, and is never refused or dropped for it.
package footprint

const (
	// SmallestVMMB is the memory of the smallest VM, heapPercent the part of it that the Go runtime may use.
	SmallestVMMB = 144
	heapPercent  = 70
	mebibyte     = 1 << 20
	heapBytes    = SmallestVMMB * mebibyte / 100 * heapPercent
	// UnitBytes bounds the memory of one waiting task, with its share of its job and step, in the view and in the core.
	UnitBytes = 300
	// overlapPercent is the part of the heap for repetitions that overlap earlier ones of their job. The garbage collector lets the heap
	// grow to twice the live objects.
	overlapPercent = 6
	// MaxOverlap bounds the steps and tasks of all repetitions that overlap earlier ones of their job, in units.
	MaxOverlap = heapBytes / 100 * overlapPercent / UnitBytes
	// MaxWaitingOverlap bounds the waiting tasks of one job beyond which no further repetition of it begins.
	MaxWaitingOverlap = 256
	// PlacedBytes bounds what a task takes beyond a waiting one from the decision to start it until its end is known.
	PlacedBytes = 500
	// placedPercent is the part of the heap for tasks that are placed on workers, and MaxPlaced their number.
	placedPercent = 15
	MaxPlaced     = heapBytes / 100 * placedPercent / PlacedBytes
	// StepUnits is the number of units of a step, beside its tasks.
	StepUnits = 3
)

// shares are the parts of a limit up to which work of priority 0, 1, and 2 or more may use it, so that less urgent work always leaves room
// for urgent work.
var shares = [...]float64{1, 0.9, 0.8}

// Limit returns the part of a limit that work of the priority may use.
func Limit(limit, priority int) int {
	return int(float64(limit) * shares[min(max(0, priority), len(shares)-1)])
}
