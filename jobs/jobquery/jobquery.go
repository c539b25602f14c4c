// Package jobquery queries the schedulers of a failure domain about jobs over the inner protocol.
//
// It is separate from package jobs because package inner imports package jobs.
package jobquery

import (
	"context"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/jobs"
)

// schedulerTimeout bounds the request to one scheduler, so that time for the others is left if it does not respond.
const schedulerTimeout = 400 * time.Millisecond

// Querier implements jobs.Querier over inner.Requester.
type Querier struct {
	caller    inner.Requester
	addresses func(failureDomain string) []string
}

var _ jobs.Querier = (*Querier)(nil)

// New returns a Querier. addresses returns the inner protocol addresses of the schedulers of a failure domain, starting with
// the one that is believed to be active.
func New(caller inner.Requester, addresses func(failureDomain string) []string) *Querier {
	return &Querier{caller: caller, addresses: addresses}
}

// Query sends the query to one scheduler after the other until the active one responds. If that one does not respond, it
// returns the last response of a standby. A query with Wake goes to all schedulers and returns the last response. The error
// is of kind Unavailable if no scheduler responds.
func (q *Querier) Query(ctx context.Context, failureDomain string, query jobs.Query) ([]jobs.Status, bool, error) {
	request := &inner.Request{JobQuery: &inner.JobQuery{ID: query.ID, Account: query.Account, State: query.State,
		Wake: query.Wake}}
	var lastResponse *inner.JobQueryResponse
	err := errkind.New(errkind.Unavailable, "check the scheduler daemons of the failure domain",
		"no scheduler of failure domain %s is known", failureDomain)
	for _, address := range q.addresses(failureDomain) {
		response, requestErr := q.queryScheduler(ctx, address, request)
		switch {
		case requestErr != nil:
			err = errkind.Wrap(requestErr, errkind.Unavailable, "check the scheduler daemons of the failure domain",
				"scheduler %s of failure domain %s did not respond", address, failureDomain)
		case response.Active && !query.Wake:
			return response.Jobs, true, nil
		default:
			lastResponse = response
		}
	}
	if lastResponse != nil {
		return lastResponse.Jobs, lastResponse.Active, nil
	}
	return nil, false, err
}

// queryScheduler sends a query to one scheduler. The error is that of the request or of the response.
func (q *Querier) queryScheduler(ctx context.Context, address string, request *inner.Request) (*inner.JobQueryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, schedulerTimeout)
	defer cancel()
	response, err := q.caller.Call(ctx, address, request)
	if err != nil {
		return nil, err
	}
	if response.Error != nil {
		return nil, response.Error
	}
	if response.JobQuery == nil {
		return nil, errkind.New(errkind.Internal, "check the version of the scheduler", "response of the scheduler contains no job query result")
	}
	return response.JobQuery, nil
}
