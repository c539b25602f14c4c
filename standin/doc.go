// Package standin holds stand-ins for the platform's services and for endpoints, for trials and tests: an append-only
// log service, a lagging VM list, workers that grant fenced leases, and endpoints.
//
// Every stand-in speaks the HTTP contract of docs/design.md (sections 5 and 6) through its Handler, keeps its state in
// memory, and can be given faults through SetFaults or, over HTTP, through the control service of a Set. Only the
// program redwing-standin and tests may import this package.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// maxRequestBytes bounds the JSON bodies that stand-ins read.
const maxRequestBytes = 16 << 20

// writeJSON answers with v.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// writeError answers with the typed error of err.
func writeError(w http.ResponseWriter, err error) {
	typed := errkind.As(err)
	writeJSON(w, typed.Kind.Status(), typed)
}

// readJSON decodes the request body into v. Unknown fields are refused.
func readJSON(r *http.Request, v any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	return errkind.Wrap(err, errkind.BadInput, "send the JSON that docs/design.md describes", "request body")
}

// dropConnection closes the connection of w without a response.
func dropConnection() { panic(http.ErrAbortHandler) }

// pause waits for ms milliseconds or until the request ends. It reports whether the time passed.
func pause(r *http.Request, ms int64) bool {
	if ms <= 0 {
		return true
	}
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// connectionFaults are the faults that every service of the platform can have.
type connectionFaults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down,omitempty"`
	// Silent accepts calls and never answers.
	Silent bool `json:"silent,omitempty"`
	// DelayMS delays every call before it takes effect, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// apply carries the faults out. It reports whether the call goes on.
func (f connectionFaults) apply(w http.ResponseWriter, r *http.Request) bool {
	if f.Silent {
		<-r.Context().Done()
		dropConnection()
	}
	if f.Down {
		writeError(w, errkind.New(errkind.Unavailable, "retry later", "stand-in is down"))
		return false
	}
	return pause(r, f.DelayMS)
}
