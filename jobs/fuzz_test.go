package jobs

import (
	"testing"

	"github.com/redwingthread/redwingthread/infra"
)

// FuzzFold guards against a record of the job stream that takes down every scheduler that reads it.
func FuzzFold(f *testing.F) {
	for _, r := range []Record{submitted("a"), intended("a", 1, "s1"), ended("a", 1, StateCompleted), cancelled("a")} {
		f.Add(encodedRecord(f, 0, r).Data)
	}
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		fold := NewFold()
		_, _, _ = fold.Apply(encodedRecord(t, 0, submitted("a")))
		_, _, _ = fold.Apply(infra.Record{Offset: 1, Data: data})
		_, _, _ = fold.Apply(infra.Record{Offset: 2, Data: data})
	})
}
