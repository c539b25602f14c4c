package jobs

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/infra"
)

// Bounds of the service.
const (
	appendTimeout = 2 * time.Second
	readTimeout   = 2 * time.Second
	// confirmTimeout bounds the wait until an appended record is read back from the log.
	confirmTimeout = 3 * time.Second
	// confirmInterval is the time between the reads of this wait.
	confirmInterval = 100 * time.Millisecond
	// queryTimeout bounds a query to the schedulers of a failure domain.
	queryTimeout = time.Second
	// readLimit is the maximum number of records of one read.
	readLimit = 500
)

// Query selects jobs of a failure domain. Empty fields match all jobs.
type Query struct {
	ID      string
	Account string
	State   string
	// Wake notifies the schedulers that a record was appended.
	Wake bool
}

// Querier queries the schedulers of a failure domain. Package jobs/jobquery implements it over inner.Requester.
type Querier interface {
	// Query returns the statuses of the matching jobs known to a scheduler. active is false if they come from a standby, which
	// knows no placements.
	Query(ctx context.Context, failureDomain string, q Query) (statuses []Status, active bool, err error)
}

// ServiceOptions are the dependencies of a Service.
type ServiceOptions struct {
	Log infra.Log
	// Config returns the configuration in force, nil while there is none.
	Config  func() *config.Document
	Querier Querier
}

// Service submits, cancels and shows jobs for the gateway daemon, which authenticates the requests. An account argument
// restricts a method to the jobs of that account; "" allows all jobs. A Service is safe for concurrent use.
type Service struct {
	options ServiceOptions

	mu sync.Mutex
	// streams holds the streams by failure domain; guarded by mu.
	streams map[string]*stream
}

// stream is the folded job stream of one failure domain.
type stream struct {
	name string
	log  infra.Log
	mu   sync.Mutex
	// fold is guarded by mu. mu is held while the log is read, so that concurrent requests do not read the same records.
	fold *Fold
}

// NewService returns a service. The error is of kind BadInput if a dependency is missing.
func NewService(options ServiceOptions) (*Service, error) {
	if options.Log == nil || options.Config == nil || options.Querier == nil {
		return nil, errkind.New(errkind.BadInput, "set Log, Config and Querier", "the job service lacks a dependency")
	}
	return &Service{options: options, streams: map[string]*stream{}}, nil
}

// Outcome returns the outcome of a request that ended with err: "completed" for nil, "unknown" if its effect could not be
// determined, else "not_run".
func Outcome(err error) string {
	switch {
	case err == nil:
		return "completed"
	case errkind.Is(err, errkind.Unknown) || errkind.Is(err, errkind.Internal):
		return "unknown"
	}
	return "not_run"
}

// stream returns the stream of a failure domain. It adds one if there is none yet.
func (s *Service) stream(failureDomain string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.streams[failureDomain]
	if st == nil {
		st = &stream{name: infra.JobStream(failureDomain), log: s.options.Log, fold: NewFold()}
		s.streams[failureDomain] = st
	}
	return st
}

// catchUp applies the records of the stream up to its end. The error is of kind Unavailable if the log cannot be read.
func (st *stream) catchUp(ctx context.Context) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for {
		response, err := st.log.Read(ctx, st.name, st.fold.Next(), readLimit, 0)
		if err != nil {
			return errkind.Wrap(err, errkind.Unavailable, "retry once the log is available again", "read stream %s", st.name)
		}
		st.fold.Skip(response.Oldest)
		for _, r := range response.Records {
			if _, _, err := st.fold.Apply(r); err != nil {
				return err
			}
		}
		if st.fold.Next() >= response.Next || len(response.Records) == 0 {
			return nil
		}
	}
}

// get returns a copy of the entry of a job and whether the job is known.
func (st *stream) get(id string) (Entry, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	e, ok := st.fold.Get(id)
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// statuses returns the statuses of all jobs that the log shows, in order of submission.
func (st *stream) statuses() []Status {
	st.mu.Lock()
	defer st.mu.Unlock()
	var statuses []Status
	for _, e := range st.fold.All() {
		statuses = append(statuses, e.Status())
	}
	return statuses
}

// append appends a record. After an error, notRecorded reports whether the record is certainly not in the log.
func (st *stream) append(ctx context.Context, r Record) (notRecorded bool, err error) {
	data, err := Encode(r)
	if err != nil {
		return true, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = st.log.Append(ctx, st.name, [][]byte{data})
	notRecorded = errkind.Is(err, errkind.BadInput) || errkind.Is(err, errkind.TooLarge)
	return notRecorded, err
}

// awaitRecord reads the stream until recorded returns true, also after the end of ctx. The error is of kind Unknown if that
// takes longer than confirmTimeout; it wraps cause, the error of the append, if there was one.
func (st *stream) awaitRecord(ctx context.Context, remedy string, cause error, recorded func() bool) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	for {
		if st.catchUp(ctx) == nil && recorded() {
			return nil
		}
		timer := time.NewTimer(confirmInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			if cause == nil {
				cause = ctx.Err()
			}
			return errkind.Wrap(cause, errkind.Unknown, remedy, "could not confirm that the record is on stream %s", st.name)
		}
	}
}

// Submit records a job and returns its status. It chooses a failure domain for a job that names none. A repeated submission
// with the same id and content returns the current status of the job. Errors of the kinds BadInput, TooLarge, Infeasible,
// NotFound (account or failure domain), Conflict (id in use for other content) and Unavailable mean that nothing was
// recorded. An error of kind Unknown names the command that shows whether the job was recorded.
func (s *Service) Submit(ctx context.Context, job Job) (Status, error) {
	doc := s.options.Config()
	if doc == nil {
		return Status{}, noConfig()
	}
	if err := validate(job, doc); err != nil {
		return Status{}, err
	}
	// An id must be unique across all failure domains, since Get and Cancel take no failure domain.
	known, found, err := s.find(ctx, job.ID, doc)
	switch {
	case found && (job.FailureDomain == "" || job.FailureDomain == known.Job.FailureDomain):
		job.FailureDomain = known.Job.FailureDomain
		return s.existingStatus(ctx, job, known)
	case found:
		return Status{}, idInUse(job.ID)
	case err != nil:
		return Status{}, err
	case job.FailureDomain == "":
		if job.FailureDomain, err = ChooseFailureDomain(job, doc); err != nil {
			return Status{}, err
		}
	}
	if err := checkFeasible(job, job.FailureDomain, doc); err != nil {
		return Status{}, err
	}
	return s.recordSubmission(ctx, job)
}

// recordSubmission appends the submission of a job, waits until it is read back and returns the status of the job.
func (s *Service) recordSubmission(ctx context.Context, job Job) (Status, error) {
	st := s.stream(job.FailureDomain)
	if job.Submitted.IsZero() {
		job.Submitted = time.Now().UTC()
	}
	notRecorded, err := st.append(ctx, Record{Kind: RecordSubmit, Submit: &job})
	if notRecorded {
		return Status{}, err
	}
	remedy := "check the outcome with: redwingctl job show " + job.ID + ", or submit the same job again"
	found := func() bool {
		_, ok := st.get(job.ID)
		return ok
	}
	if err := st.awaitRecord(ctx, remedy, err, found); err != nil {
		return Status{}, err
	}
	s.wake(ctx, job.FailureDomain)
	known, _ := st.get(job.ID)
	return s.existingStatus(ctx, job, known)
}

// existingStatus returns the status of a job that is already recorded. The error is of kind Conflict if its content differs
// from that of job.
func (s *Service) existingStatus(ctx context.Context, job Job, known Entry) (Status, error) {
	if known.Digest != ContentDigest(job) {
		return Status{}, idInUse(job.ID)
	}
	return s.currentStatus(ctx, known), nil
}

func idInUse(id string) error {
	return errkind.New(errkind.Conflict, "choose another id", "job id %s is in use for another job", id)
}

// Cancel records the cancellation of a job and returns its status. A job that has ended does not change. The error is of kind
// NotFound if the account has no such job, and of kind Unknown if the cancellation may or may not be recorded.
func (s *Service) Cancel(ctx context.Context, id, account, author string) (Status, error) {
	known, st, err := s.lookup(ctx, id, account)
	if err != nil {
		return Status{}, err
	}
	if known.Ended != nil || known.Cancelled {
		return s.currentStatus(ctx, known), nil
	}
	cancel := Cancel{Job: id, Author: author, At: time.Now().UTC()}
	notRecorded, err := st.append(ctx, Record{Kind: RecordCancel, Cancel: &cancel})
	if notRecorded {
		return Status{}, err
	}
	found := func() bool {
		e, ok := st.get(id)
		return !ok || e.Cancelled || e.Ended != nil
	}
	remedy := "repeat: redwingctl job cancel " + id + ", which has no further effect if the cancellation was recorded"
	if err := st.awaitRecord(ctx, remedy, err, found); err != nil {
		return Status{}, err
	}
	s.wake(ctx, known.Job.FailureDomain)
	if latest, ok := st.get(id); ok {
		known = latest
	}
	return s.currentStatus(ctx, known), nil
}

// Get returns the status of a job. The error is of kind NotFound if the account has no such job.
func (s *Service) Get(ctx context.Context, id, account string) (Status, error) {
	known, _, err := s.lookup(ctx, id, account)
	if err != nil {
		return Status{}, err
	}
	return s.currentStatus(ctx, known), nil
}

// Filter selects jobs. Empty fields match all jobs.
type Filter struct {
	Account       string
	State         State
	FailureDomain string
}

// List returns the matching jobs, sorted by failure domain and then by order of submission. It returns the last known state
// while the log or a scheduler does not respond. The error is of kind Unavailable while there is no configuration.
func (s *Service) List(ctx context.Context, filter Filter) ([]Status, error) {
	doc := s.options.Config()
	if doc == nil {
		return nil, noConfig()
	}
	var all []Status
	for _, fd := range failureDomains(doc) {
		if filter.FailureDomain != "" && filter.FailureDomain != fd {
			continue
		}
		for _, status := range s.listDomain(ctx, fd, filter.Account) {
			matches := filter.Account == "" || filter.Account == status.Job.Account
			if matches && (filter.State == "" || filter.State == status.State) {
				all = append(all, status)
			}
		}
	}
	return all, nil
}

// listDomain returns the statuses of all jobs of a failure domain, with those of an active scheduler in place of those that
// the log shows. The scheduler is queried only for the jobs of account, if there is one.
func (s *Service) listDomain(ctx context.Context, fd, account string) []Status {
	st := s.stream(fd)
	// The error is ignored: an outage of the log must not hide known jobs, whose states then come from the scheduler.
	_ = st.catchUp(ctx)
	folded := st.statuses()
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	live, active, err := s.options.Querier.Query(queryCtx, fd, Query{Account: account})
	if err != nil || !active {
		return folded
	}
	byID := make(map[string]Status, len(live))
	for _, status := range live {
		byID[status.Job.ID] = status
	}
	for i := range folded {
		if status, ok := byID[folded[i].Job.ID]; ok && !folded[i].State.Final() {
			folded[i] = status
		}
	}
	return folded
}

// lookup searches all failure domains for a job of the account, or of any account if it is "". The error is of kind NotFound
// if there is none.
func (s *Service) lookup(ctx context.Context, id, account string) (Entry, *stream, error) {
	doc := s.options.Config()
	if doc == nil {
		return Entry{}, nil, noConfig()
	}
	known, found, err := s.find(ctx, id, doc)
	if found && (account == "" || account == known.Job.Account) {
		return known, s.stream(known.Job.FailureDomain), nil
	}
	if !found && err != nil {
		return Entry{}, nil, err
	}
	return Entry{}, nil, errkind.New(errkind.NotFound, "list the jobs with: redwingctl job list", "job %s does not exist", id)
}

// find searches the streams of all failure domains for a job, reading each up to its end unless the job is known to have
// ended. The error is that of the last failed read; it matters only if the job was not found.
func (s *Service) find(ctx context.Context, id string, doc *config.Document) (known Entry, found bool, err error) {
	for _, fd := range failureDomains(doc) {
		st := s.stream(fd)
		if e, ok := st.get(id); ok && e.Ended != nil {
			return e, true, nil
		}
		if readErr := st.catchUp(ctx); readErr != nil {
			err = readErr
		}
		if e, ok := st.get(id); ok {
			return e, true, nil
		}
	}
	return Entry{}, false, err
}

// currentStatus returns the status of a job from its scheduler, or from the log if the job has ended or no active scheduler
// responds.
func (s *Service) currentStatus(ctx context.Context, e Entry) Status {
	if e.Ended != nil {
		return e.Status()
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	live, active, err := s.options.Querier.Query(ctx, e.Job.FailureDomain, Query{ID: e.Job.ID})
	if err == nil && active && len(live) == 1 {
		return live[0]
	}
	status := e.Status()
	status.Reason = "no active scheduler of its failure domain responds"
	return status
}

// wake notifies the schedulers that a record was appended. If that fails, they find the record with their next read of the
// log.
func (s *Service) wake(ctx context.Context, failureDomain string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
	go func() {
		defer cancel()
		_, _, _ = s.options.Querier.Query(ctx, failureDomain, Query{Wake: true})
	}()
}

func failureDomains(doc *config.Document) []string {
	var names []string
	for name := range doc.FailureDomains {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func noConfig() error {
	return errkind.New(errkind.Unavailable, "initialise the configuration or wait until it is loaded",
		"no configuration is loaded")
}
