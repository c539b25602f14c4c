// Package scheduler decides which job of a failure domain runs where.
//
// The package is a pure core: it has no I/O, clock or goroutines. Its owner reports events (configuration, worker
// health, submissions, ends of jobs) with the time at which they happened and asks for a Plan; it carries the plan out
// and reports what came of it. The same calls in the same order give the same plans.
//
// A Core is not safe for concurrent use.
//
// The core keeps these records and rules; each has its own file.
//
//   - state.go: workers, racks, jobs and accounts with what they use. A worker has five sums: used (placed members),
//     hard (unstoppable work without a cell), bound (guarantees), held (claims whose victims are being stopped) and
//     reserved (reservations of gangs). A change marks its rack, so that searches skip racks without changes.
//   - queue.go: waiting jobs in classes that are interchangeable for placement. A plan tries the first job of each
//     class; one failed search blocks the class, and it is repeated only in racks that had capacity freed since.
//   - feasible.go, rank.go: placements without a stop, and their order. policy.fragmentation_weight weighs unusable
//     leftovers against the risk of being stopped, and large gangs against short jobs in the queue.
//   - guarantee.go, binding.go: cells, the bindings of guaranteed shapes to healthy workers. On every healthy worker
//     bound + hard <= capacity, so stopping the rest always makes room for every guarantee. A binding moves when its
//     worker fails, when a claim fits elsewhere with less loss, and when unstoppable work can use its free capacity.
//   - reclaim.go: stops of borrowed work for claims and reservations, least lost work first, and the quota of claims.
//   - reserve.go: reservations for gangs that waited past policy.max_wait_ms. Victims get time to end by themselves as
//     long as the loss of stopping them exceeds an allowance that grows with the wait of the gang.
//   - consolidate.go: moves of jobs that save their progress, so that free accelerators become adjacent.
//   - learn.go: quantiles of run times per account and size, in place of declared ones.
//   - conduct.go: failures, condemned jobs, quarantined workers and their trials.
//   - plan.go: the order of all this in one plan. events.go, core.go: reports and configuration. why.go: explanations.
package scheduler
