package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

// maxRequestBytes limits how much of a request body a stand-in reads.
const maxRequestBytes = 16 << 20

// writeJSON writes a response with the status and v as its JSON body.
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

// writeError writes err as a JSON error response with the HTTP status of its kind.
func writeError(w http.ResponseWriter, err error) {
	typed := errkind.As(err)
	writeJSON(w, typed.Kind.Status(), typed)
}

// readJSON decodes the request body into v. It rejects unknown fields.
func readJSON(r *http.Request, v any) error {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(v)
	return errkind.Wrap(err, errkind.BadInput, "send the JSON that docs/design.md describes", "invalid request body")
}

// dropConnection aborts the handler, so that the server closes the connection without completing the response.
func dropConnection() { panic(http.ErrAbortHandler) }

// delay waits for ms milliseconds or until the context of the request ends. It reports whether the full time passed.
func delay(r *http.Request, ms int64) bool {
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

// connectionFaults holds the injected faults that every stand-in supports.
type connectionFaults struct {
	// Down rejects every request with status 503.
	Down bool `json:"down,omitempty"`
	// Silent accepts requests and never responds.
	Silent bool `json:"silent,omitempty"`
	// DelayMS delays every request before it takes effect, in milliseconds.
	DelayMS int64 `json:"delay_ms,omitempty"`
}

// apply applies the faults to a request. It reports whether the handler must process the request: false means that the
// response was written or the client disconnected. A silent fault never returns; it aborts the handler.
func (f connectionFaults) apply(w http.ResponseWriter, r *http.Request) bool {
	if f.Silent {
		<-r.Context().Done()
		dropConnection()
	}
	if f.Down {
		writeError(w, errkind.New(errkind.Unavailable, "retry later", "stand-in is down"))
		return false
	}
	return delay(r, f.DelayMS)
}
