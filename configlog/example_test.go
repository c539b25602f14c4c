package configlog_test

import (
	"encoding/json"
	"fmt"

	"github.com/redwingthread/redwingthread/config"
	"github.com/redwingthread/redwingthread/configlog"
	"github.com/redwingthread/redwingthread/errkind"
)

// Every process that folds the same records has the same version: of several patches on one base, the first is
// accepted.
func ExampleState() {
	drain := func(id, vm string) configlog.Record {
		op := config.Op{Op: config.OpSet, Path: "drains/" + vm, Value: json.RawMessage(`{"reason":"new fan"}`)}
		patch := config.Patch{ID: id, Base: 0, Author: "ana", Reason: "new fan", Ops: []config.Op{op}}
		return configlog.Record{RuleSet: config.RuleSet, Patch: &patch}
	}
	document := config.Normalise(&config.Document{
		FailureDomains: map[string]config.FailureDomain{"fd-a": {Region: "north"}},
		Operators:      map[string]config.Operator{"ana": {TokenDigest: config.TokenDigest("secret")}},
		Policy:         config.DefaultPolicy(),
	})
	initialise := &configlog.Initialise{ID: "init", Author: "ana", Reason: "first", Document: document}

	state := configlog.NewState()
	for offset, record := range []configlog.Record{
		{RuleSet: config.RuleSet, Initialise: initialise}, drain("p-1", "vm-1"), drain("p-2", "vm-2"),
	} {
		raw, err := configlog.Encode(record)
		if err != nil {
			fmt.Println(err)
			return
		}
		decision := state.Fold(uint64(offset), raw)
		fmt.Println(decision.ID, decision.Outcome, "version", decision.Version)
		if err := decision.Err(); err != nil {
			fmt.Println(errkind.As(err).Kind)
		}
	}
	fmt.Println("drains:", len(state.Doc.Drains), "next offset:", state.Next)
	// Output:
	// init accepted version 0
	// p-1 accepted version 1
	// p-2 refused version 1
	// conflict
	// drains: 1 next offset: 3
}
