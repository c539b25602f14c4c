package jobquery

import (
	"context"
	"errors"
	"testing"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/inner"
	"github.com/redwingthread/redwingthread/jobs"
)

// schedulers simulates schedulers. active says by address whether a scheduler is active; one without an entry does not
// respond.
type schedulers struct {
	active map[string]bool
	woken  int
}

func (s *schedulers) Call(_ context.Context, address string, req *inner.Request) (*inner.Response, error) {
	active, ok := s.active[address]
	if !ok {
		return nil, errors.New("no response")
	}
	if req.JobQuery.Wake {
		s.woken++
	}
	return &inner.Response{JobQuery: &inner.JobQueryResponse{Active: active, Jobs: []jobs.Status{{Reason: address}}}}, nil
}

// TestQueryPrefersActive guards against a stale response of a standby while the active scheduler responds, against an error
// while only a standby responds, and against a wake that reaches only some of the schedulers.
func TestQueryPrefersActive(t *testing.T) {
	cases := map[string]struct {
		active map[string]bool
		from   string
	}{
		"active second": {map[string]bool{"a": false, "b": true}, "b"},
		"only standby":  {map[string]bool{"b": false}, "b"},
		"none":          {nil, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			caller := &schedulers{active: c.active}
			q := New(caller, func(string) []string { return []string{"a", "b"} })
			statuses, active, err := q.Query(t.Context(), "fd-a", jobs.Query{})
			if c.from == "" {
				if !errkind.Is(err, errkind.Unavailable) {
					t.Fatalf("got error %v, want one of kind unavailable", err)
				}
				return
			}
			if err != nil || active != c.active[c.from] || statuses[0].Reason != c.from {
				t.Fatalf("got %v, %v, %v", statuses, active, err)
			}
			if _, _, err := q.Query(t.Context(), "fd-a", jobs.Query{Wake: true}); err != nil || caller.woken != len(c.active) {
				t.Fatalf("woke %d of %d schedulers, error %v", caller.woken, len(c.active), err)
			}
		})
	}
}
