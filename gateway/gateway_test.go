package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// inBubble runs body on a new fixture in a synctest bubble, that is, in virtual time, and checks that no assertion of
// package invariant failed.
func inBubble(t *testing.T, endpoints, slots int, body func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, endpoints, slots)
		time.Sleep(time.Millisecond)
		body(t, f)
		f.close()
		for _, v := range f.collector.Violations() {
			t.Errorf("an assertion failed: %s", v)
		}
		// Lets the goroutines of the endpoints finish: a silent exchange sleeps for an hour.
		time.Sleep(2 * time.Hour)
	})
}

// TestExchangeFaults guards against a faulty exchange with an endpoint whose response is passed on as valid, whose
// request runs more often than allowed, whose outcome is reported wrongly, or whose remaining data a later exchange
// reads.
func TestExchangeFaults(t *testing.T) {
	cases := map[string]struct {
		fault    fault
		method   string
		outcome  string
		kind     errkind.Kind
		attempts int
	}{
		"whole POST":                        {healthy, "POST", "completed", "", 1},
		"whole HEAD":                        {healthy, "HEAD", "completed", "", 1},
		"whole GET":                         {healthy, "GET", "completed", "", 1},
		"truncated POST":                    {truncated, "POST", "unknown", errkind.Unknown, 1},
		"truncated PUT is retried":          {truncated, "PUT", "completed", "", 2},
		"corrupted POST":                    {corrupted, "POST", "unknown", errkind.Unknown, 1},
		"crossed POST":                      {crossed, "POST", "unknown", errkind.Unknown, 1},
		"crossed PUT is retried":            {crossed, "PUT", "completed", "", 2},
		"POST without length":               {chunked, "POST", "unknown", errkind.Unknown, 1},
		"duplicated POST":                   {duplicated, "POST", "completed", "", 1},
		"reset POST is not replayed":        {resetAfter, "POST", "unknown", errkind.Unknown, 1},
		"reset DELETE is retried":           {resetAfter, "DELETE", "completed", "", 2},
		"silent POST":                       {noResponse, "POST", "unknown", errkind.DeadlineExceeded, 1},
		"silent PUT is retried":             {noResponse, "PUT", "completed", "", 2},
		"503 with not_run is retried":       {notRun503, "POST", "completed", "", 1},
		"503 without not_run is a response": {plain503, "POST", "completed", "", 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, 8, func(t *testing.T, f *fixture) {
				injected := false
				for _, e := range f.endpoints {
					e.nextFault = func(*http.Request) fault {
						if injected {
							return healthy
						}
						injected = true
						return c.fault
					}
				}
				g := f.start("vm-0", "i-0", "fd-0", nil)
				r := g.send(testRequest{account: "orders", method: c.method, body: "b", timeout: 10 * time.Second})
				if r.outcome != c.outcome || r.kind != c.kind {
					t.Errorf("got outcome %q kind %q body %q, want %q %q", r.outcome, r.kind, r.body, c.outcome, c.kind)
				}
				if n := f.runLog.count("b"); n != c.attempts {
					t.Errorf("request ran %d times, want %d", n, c.attempts)
				}
				// A second request shows that no later exchange reads a response left over from the first.
				r = g.send(testRequest{account: "orders", method: "POST", body: "second"})
				if r.outcome != "completed" || r.body != "done:second" {
					t.Errorf("second request: got outcome %q body %q, want completed and done:second", r.outcome, r.body)
				}
			})
		})
	}
}
