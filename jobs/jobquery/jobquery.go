// Package jobquery asks the schedulers of a failure domain about jobs over the inner protocol.
//
// It is apart from package jobs because package inner depends on that one.
package jobquery

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/jobs"
)

// perScheduler bounds the call to one scheduler, so that a dead one leaves time for the others.
const perScheduler = 400 * time.Millisecond

// Querier is a jobs.Querier over inner.Caller.
type Querier struct {
	caller    inner.Caller
	addresses func(failureDomain string) []string
}

var _ jobs.Querier = (*Querier)(nil)

// New returns a querier. addresses returns the inner protocol addresses of a failure domain's schedulers, the one that
// is believed to be active first.
func New(caller inner.Caller, addresses func(failureDomain string) []string) *Querier {
	return &Querier{caller: caller, addresses: addresses}
}

// Query asks the schedulers in turn until the active one answers, else returns the answer of a standby. A wake goes to
// all of them. The error is of kind Unavailable if none answers.
func (q *Querier) Query(ctx context.Context, failureDomain string, query jobs.Query) ([]jobs.Status, bool, error) {
	request := &inner.Request{JobQuery: &inner.JobQuery{ID: query.ID, Account: query.Account, State: query.State,
		Wake: query.Wake}}
	var standby *inner.JobQueryResponse
	err := errkind.New(errkind.Unavailable, "check the scheduler daemons of the failure domain",
		"no scheduler of failure domain %s is known", failureDomain)
	for _, address := range q.addresses(failureDomain) {
		answer, callErr := q.call(ctx, address, request)
		switch {
		case callErr != nil:
			err = errkind.Wrap(callErr, errkind.Unavailable, "check the scheduler daemons of the failure domain",
				"scheduler %s of failure domain %s did not answer", address, failureDomain)
		case answer.Active && !query.Wake:
			return answer.Jobs, true, nil
		default:
			standby = answer
		}
	}
	if standby != nil {
		return standby.Jobs, standby.Active, nil
	}
	return nil, false, err
}

func (q *Querier) call(ctx context.Context, address string, request *inner.Request) (*inner.JobQueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, perScheduler)
	defer cancel()
	response, err := q.caller.Call(ctx, address, request)
	if err != nil {
		return nil, err
	}
	if response.Error != nil {
		return nil, response.Error
	}
	if response.JobQuery == nil {
		return nil, errkind.New(errkind.Internal, "check the version of the scheduler", "answer without a job query")
	}
	return response.JobQuery, nil
}
