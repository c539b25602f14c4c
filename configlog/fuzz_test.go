package configlog

import (
	"testing"

	"github.com/redwingthread/redwingthread/config"
)

// FuzzFold guards against a record of the configuration stream, or the state of a peer, that takes down every process that
// reads it.
func FuzzFold(f *testing.F) {
	sound := new(stream).init().patch("a", 0).withdraw("b").add(Record{RuleSet: config.RuleSet + 1})
	state := new(stream).init().fold(NewState())
	sound.add(Record{Snapshot: state.Snapshot()})
	for _, raw := range sound.records {
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		state := new(stream).init().fold(NewState())
		state.Fold(state.Next, raw)
		_, _ = DecodeState(raw)
		empty := NewState()
		empty.Fold(0, raw)
	})
}
