package errkind

import (
	"errors"
	"io"
	"testing"
)

// TestAsFindsTypedError guards against a typed error that loses its kind or cause in a chain of wrapped errors.
func TestAsFindsTypedError(t *testing.T) {
	err := Wrap(io.EOF, Unavailable, "retry later", "log read of stream %s", "config")
	typed := As(err)
	if typed.Kind != Unavailable || typed.Remedy != "retry later" {
		t.Fatalf("got kind %q remedy %q", typed.Kind, typed.Remedy)
	}
	if !errors.Is(err, io.EOF) {
		t.Fatal("cause is lost")
	}
	if got := KindOf(io.EOF); got != Internal {
		t.Fatalf("untyped error has kind %q, want %q", got, Internal)
	}
}

// TestEveryKindHasProperties guards against a kind without an HTTP status and exit code, which would be reported as an
// internal error.
func TestEveryKindHasProperties(t *testing.T) {
	kinds := []Kind{BadInput, Unauthenticated, Forbidden, NotFound, Conflict, TooLarge, Infeasible, Overloaded,
		DeadlineExceeded, Unavailable, ShuttingDown, Unknown, Internal}
	for _, kind := range kinds {
		if _, ok := properties[kind]; !ok {
			t.Errorf("kind %q has no status and exit code", kind)
		}
	}
	if len(kinds) != len(properties) {
		t.Errorf("%d kinds are tested, %d are defined", len(kinds), len(properties))
	}
}
