package invariant_test

import (
	"fmt"

	"github.com/redwingthread/redwingthread/invariant"
)

// The recorder receives each violation; the program continues.
func ExampleSetRecorder() {
	collector := &invariant.Collector{}
	restore := invariant.SetRecorder(collector.Record)
	defer restore()

	invariant.Check(true, invariant.GangAllOrNothing, "not recorded")
	if !invariant.Check(false, invariant.AtMostOnce, "request %d ran twice", 7) {
		fmt.Println("the caller handles the violation")
	}
	for _, violation := range collector.Violations() {
		fmt.Println(violation)
	}
	// Output:
	// the caller handles the violation
	// P5: request 7 ran twice
}
