// Package scheduler decides which jobs of a failure domain run on which workers.
//
// The package performs no I/O, reads no clock and starts no goroutines. The caller reports events (configuration, worker
// health, submissions, ends of attempts) with the time at which they happened, asks for a Plan, carries it out and
// reports the results. The same calls in the same order give the same plans.
//
// A Core is not safe for concurrent use.
//
// Terms used throughout the package:
//
//   - A worker is suspended while it is in quarantine or on trial. It is healthy if it is up, neither drained nor
//     removed from the configuration, and not suspended. It is in good standing if it is not suspended, other jobs
//     succeed on it and none of them has failed there without explanation.
//   - Unstoppable work must not be stopped to make room for other jobs: a run-once job that cannot save its progress.
//   - A guarantee of an account is a number of copies of a shape. A cell is one copy; it is bound to healthy workers.
//     A claim is a job that runs in a cell of its account or for which the cell is being cleared.
//   - All other work is ordinary. Stoppable ordinary work may borrow capacity that is bound to unclaimed cells; it is
//     stopped when a claim reclaims the capacity.
//   - A hold keeps capacity for a waiting job, either for a claim whose victims are being stopped or as a reservation for
//     a job, usually a gang, that waited too long. Backfill is stoppable work that runs on reserved capacity in the
//     meantime.
//
// The files of the package:
//
//   - state.go: workers, racks, jobs and accounts with the resources they use. A worker has five sums: used (placed
//     members), unstoppable (unstoppable work without a cell), bound (guarantees), heldForClaims (claims whose victims
//     are being stopped) and reserved (reservations). A change marks its rack, so that searches can skip racks in which
//     nothing changed.
//   - queue.go: waiting jobs, grouped into classes that are interchangeable for placement. A plan tries the first job of
//     each class. A failed search blocks the class and is repeated only in racks in which capacity has been freed since.
//   - placement.go, rank.go: placements that require no stop, and their order. policy.fragmentation_weight weighs
//     capacity that becomes unusable against the risk of being stopped, and large gangs against short jobs in the queue.
//   - guarantee.go, binding.go: cells and their bindings to healthy workers. On every healthy worker
//     bound + unstoppable <= capacity, so stopping the rest always makes room for every guarantee. A binding moves when
//     its worker fails, when a claim fits elsewhere with less loss, and when unstoppable work can use its free capacity.
//   - reclaim.go, loss.go: stops of borrowed work for claims and reservations, least lost work first, and the quota of claims.
//   - reserve.go: reservations for jobs that waited too long; a gang gets one after policy.max_wait_ms. Victims get time
//     to end by themselves as long as the loss of stopping them exceeds an allowance that grows with the wait, until the
//     reservation reaches its deadline.
//   - consolidate.go: moves of jobs that lose little work by a stop, so that free accelerators become adjacent.
//   - runtimes.go: run time estimates, learned as quantiles per account and size and used instead of declared run times.
//   - failures.go: failed attempts, faulty jobs, quarantined workers and their trials.
//   - plan.go: the order of these steps in one plan. events.go, core.go: reported events and configuration. why.go:
//     explanations. api.go, conditions.go: the exported types.
package scheduler
