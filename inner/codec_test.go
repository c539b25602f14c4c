package inner

import (
	"bytes"
	"testing"
)

// FuzzFrame guards against a message of a peer that takes down the process, or makes it allocate more than it received.
func FuzzFrame(f *testing.F) {
	var sound bytes.Buffer
	if _, err := writeFrame(&sound, &Request{JobQuery: &JobQuery{ID: "x"}}); err != nil {
		f.Fatal(err)
	}
	f.Add(sound.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1, 0xa0})
	f.Fuzz(func(t *testing.T, frame []byte) {
		var request Request
		if _, err := readFrame(bytes.NewReader(frame), &request); err == nil {
			request.kind()
		}
		var response Response
		_, _ = readFrame(bytes.NewReader(frame), &response)
	})
}
