package jobs

import (
	"regexp"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// Limits of the command line of a job.
const (
	maxCommandArguments = 256
	maxCommandBytes     = 16 << 10
)

// idPattern matches ids that need no escaping in a URL path segment or a log line.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// validate returns an error for the first fault found in a submitted job. Its kind is BadInput, NotFound (account or failure
// domain) or TooLarge.
func validate(job Job, doc *config.Document) error {
	if !idPattern.MatchString(job.ID) {
		return errkind.New(errkind.BadInput, "use 1 to 64 letters, digits, dots, dashes and underscores, the first a letter or digit",
			"job id %q is malformed", job.ID)
	}
	if _, ok := doc.Accounts[job.Account]; !ok {
		return errkind.New(errkind.NotFound, "name an account of the configuration", "account %q does not exist", job.Account)
	}
	if job.FailureDomain != "" {
		if _, ok := doc.FailureDomains[job.FailureDomain]; !ok {
			return errkind.New(errkind.NotFound, "name a failure domain of the configuration, or none",
				"failure domain %q does not exist", job.FailureDomain)
		}
	}
	if err := job.Shape.Validate(); err != nil {
		return err
	}
	return validateCommandLine(job)
}

// validateCommandLine returns an error if the command line or the declared run time of a job is invalid.
func validateCommandLine(job Job) error {
	size := 0
	for _, argument := range job.Run {
		size += len(argument)
	}
	if len(job.Run) == 0 || job.Run[0] == "" {
		return errkind.New(errkind.BadInput, "set run to the command line", "job %s has no command", job.ID)
	}
	if len(job.Run) > maxCommandArguments || size > maxCommandBytes {
		return errkind.New(errkind.TooLarge, "put the arguments into a file that the command reads",
			"command line of job %s is too large: %d arguments, %d bytes", job.ID, len(job.Run), size)
	}
	if job.DeclaredRunSeconds < 0 {
		return errkind.New(errkind.BadInput, "declare 0 or more seconds", "job %s declares a negative run time", job.ID)
	}
	return nil
}

// ChooseFailureDomain picks a failure domain for a job that names none. It prefers one in which the account has a guarantee
// whose shape holds the job, then one in which the account has any guarantee, and among these the one with the most
// accelerators, then processors. Ties go to the first name in sorted order. The error is of kind Infeasible if no failure domain can hold the job.
func ChooseFailureDomain(job Job, doc *config.Document) (string, error) {
	best, bestRank := "", -1
	var bestCapacity resource.Resources
	for _, fd := range failureDomains(doc) {
		if checkFeasible(job, fd, doc) != nil {
			continue
		}
		rank := guaranteeRank(job, fd, doc)
		capacity := totalCapacity(fd, doc)
		if rank > bestRank || rank == bestRank && hasMoreCapacity(capacity, bestCapacity) {
			best, bestRank, bestCapacity = fd, rank, capacity
		}
	}
	if best == "" {
		return "", errkind.New(errkind.Infeasible, "ask for fewer members, fewer resources or looser adjacency",
			"no failure domain can hold the shape of job %s", job.ID)
	}
	return best, nil
}

// guaranteeRank returns 2 if the account has a guarantee in the failure domain that holds the job, 1 if it has any other
// guarantee there, else 0.
func guaranteeRank(job Job, fd string, doc *config.Document) int {
	rank := 0
	for _, g := range doc.Accounts[job.Account].Guarantees {
		if g.FailureDomain != fd || g.Count < 1 {
			continue
		}
		rank = max(rank, 1)
		if job.Shape.Members <= g.Shape.Members && job.Shape.PerMember.Fits(g.Shape.PerMember) {
			rank = 2
		}
	}
	return rank
}

// totalCapacity returns the sum of the capacities of all workers of a failure domain.
func totalCapacity(fd string, doc *config.Document) resource.Resources {
	var total resource.Resources
	for _, w := range doc.Workers {
		if w.FailureDomain == fd {
			total = total.Add(w.Capacity)
		}
	}
	return total
}

// hasMoreCapacity compares two capacities by accelerators, then by processors.
func hasMoreCapacity(a, b resource.Resources) bool {
	if a.Accelerators != b.Accelerators {
		return a.Accelerators > b.Accelerators
	}
	return a.MilliCPU > b.MilliCPU
}

// checkFeasible returns an error of kind Infeasible if the workers of the failure domain could not hold the job even if they
// were empty.
func checkFeasible(job Job, fd string, doc *config.Document) error {
	membersByGroup := map[string]int{}
	maxMembers := 0
	for id, w := range doc.Workers {
		if w.FailureDomain != fd {
			continue
		}
		group := adjacencyGroup(job.Shape.Adjacency, id, w.Rack)
		membersByGroup[group] += workerMembers(job.Shape.PerMember, w.Capacity)
		maxMembers = max(maxMembers, membersByGroup[group])
	}
	if maxMembers >= job.Shape.Members {
		return nil
	}
	return errkind.New(errkind.Infeasible, "ask for fewer members, fewer resources or looser adjacency",
		"failure domain %s can hold %d of %d members of job %s", fd, maxMembers, job.Shape.Members, job.ID)
}

// adjacencyGroup returns the name of the group of workers to which the adjacency confines a gang with a member on this worker:
// the worker itself, its rack, or "" for the whole failure domain.
func adjacencyGroup(adjacency resource.Adjacency, worker, rack string) string {
	switch adjacency {
	case resource.AdjacencyWorker:
		return worker
	case resource.AdjacencyRack:
		return rack
	}
	return ""
}

// workerMembers returns the number of members that an empty worker can hold, at most resource.MaxMembers.
func workerMembers(perMember, capacity resource.Resources) int {
	n := 0
	for n < resource.MaxMembers && perMember.Times(n+1).Fits(capacity) {
		n++
	}
	return n
}
