package config

import (
	"fmt"
	"strings"

	"github.com/redwingthread/redwingthread/errkind"
)

// Fault is one validation error in a patch or a document.
type Fault struct {
	// Path identifies the item, for example "accounts/orders" or, for an op of a patch, "ops[2] workers/w-1".
	Path    string       `json:"path" cbor:"path"`
	Kind    errkind.Kind `json:"kind" cbor:"kind"`
	Message string       `json:"message" cbor:"message"`
	Remedy  string       `json:"remedy" cbor:"remedy"`
}

// String returns the fault with its remedy in one line.
func (f Fault) String() string { return f.Path + ": " + f.Message + " (" + f.Remedy + ")" }

// FaultsError lists every fault of a patch or document. The errors that Apply and Validate return for an invalid patch or
// document wrap it.
type FaultsError struct {
	Faults []Fault
}

// Error returns the number of faults; the errkind error that wraps it lists them.
func (e *FaultsError) Error() string { return fmt.Sprintf("%d validation faults", len(e.Faults)) }

type faultList []Fault

// add adds a fault of kind BadInput.
func (l *faultList) add(path, remedy, format string, args ...any) {
	l.addKind(errkind.BadInput, path, remedy, format, args...)
}

func (l *faultList) addKind(kind errkind.Kind, path, remedy, format string, args ...any) {
	*l = append(*l, Fault{Path: path, Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// err returns nil if there are no faults, otherwise an errkind error that wraps a FaultsError. Its kind is that of the
// faults if they all have the same, otherwise BadInput. Its message is part of stored records and stays as it is.
func (l faultList) err(subject string) error {
	if len(l) == 0 {
		return nil
	}
	kind := l[0].Kind
	lines := make([]string, len(l))
	for i, fault := range l {
		lines[i] = fault.String()
		if fault.Kind != kind {
			kind = errkind.BadInput
		}
	}
	remedy := l[0].Remedy
	if len(l) > 1 {
		remedy = "correct every listed item; nothing was changed"
	}
	return errkind.Wrap(&FaultsError{Faults: l}, kind, remedy, "%s is refused: %s", subject, strings.Join(lines, "; "))
}
