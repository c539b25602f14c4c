package joblog

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/workload"
)

// TestViewKeepsNoResponses guards against states that keep the whole response of the store in memory of which they were a part: the state
// of one job that waits would hold the states of all others that were read with it.
func TestViewKeepsNoResponses(t *testing.T) {
	const jobs, responseBytes = 50, 512 << 10
	v := NewView()
	before := heapInUse()
	for i := range jobs {
		response := bytes.Repeat([]byte{0}, responseBytes)
		id := workload.JobID(fmt.Sprint(i))
		state := append(response[:0], (&workload.JobState{Phase: workload.PhaseRunning}).Encode()...)
		mustApply(t, v, submission(t, string(id)))
		mustApply(t, v, store.Record{Key: keyState + string(id), Value: state})
	}
	if used := heapInUse() - before; used > jobs*responseBytes/10 {
		t.Errorf("%d jobs with states of a few bytes take %.1f MB", jobs, used/(1<<20))
	}
	runtime.KeepAlive(v)
}
