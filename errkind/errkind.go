// Package errkind defines the typed errors of redwingthread.
//
// Every error that reaches a user of the caller API or an operator has a kind, a message and a remedy. The kind determines the HTTP
// status and the exit code of the operator command; the remedy tells the recipient what to do next. Errors carry a
// stack trace through gravitational/trace.
package errkind

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Kind classifies an error by what its recipient can do about it.
type Kind string

// Error kinds.
const (
	// BadInput marks malformed input. Nothing was changed.
	BadInput Kind = "bad_input"
	// Unauthenticated marks a missing or wrong token.
	Unauthenticated Kind = "unauthenticated"
	// Forbidden marks an authenticated request for a resource of another account.
	Forbidden Kind = "forbidden"
	// NotFound marks an unknown service, job, key or version.
	NotFound Kind = "not_found"
	// Conflict marks a change that conflicts with another one, such as a patch to an outdated base version.
	Conflict Kind = "conflict"
	// TooLarge marks a body, header or shape above its limit.
	TooLarge Kind = "too_large"
	// Infeasible marks a shape or guarantee that does not fit even if all workers are healthy.
	Infeasible Kind = "infeasible"
	// Overloaded marks a request that was rejected because of overload.
	Overloaded Kind = "overloaded"
	// DeadlineExceeded marks work whose deadline passed before it started.
	DeadlineExceeded Kind = "deadline_exceeded"
	// Unavailable marks a dependency that currently cannot be reached.
	Unavailable Kind = "unavailable"
	// ShuttingDown marks a daemon that accepts no new work.
	ShuttingDown Kind = "shutting_down"
	// Unknown marks an operation whose effect could not be determined.
	Unknown Kind = "unknown"
	// Internal marks a defect of the program.
	Internal Kind = "internal"
)

// kindProperties holds the HTTP status and the exit code of the operator command for a kind.
type kindProperties struct {
	status   int
	exitCode int
}

var properties = map[Kind]kindProperties{
	BadInput:         {http.StatusBadRequest, 2},
	Unauthenticated:  {http.StatusUnauthorized, 3},
	Forbidden:        {http.StatusForbidden, 3},
	NotFound:         {http.StatusNotFound, 4},
	Conflict:         {http.StatusConflict, 5},
	TooLarge:         {http.StatusRequestEntityTooLarge, 2},
	Infeasible:       {http.StatusUnprocessableEntity, 6},
	Overloaded:       {http.StatusTooManyRequests, 7},
	DeadlineExceeded: {http.StatusGatewayTimeout, 7},
	Unavailable:      {http.StatusServiceUnavailable, 7},
	ShuttingDown:     {http.StatusServiceUnavailable, 7},
	Unknown:          {http.StatusBadGateway, 8},
	Internal:         {http.StatusInternalServerError, 1},
}

// Status returns the HTTP status of the kind. An undefined kind counts as Internal.
func (k Kind) Status() int {
	if p, ok := properties[k]; ok {
		return p.status
	}
	return http.StatusInternalServerError
}

// ExitCode returns the exit code of the operator command for the kind. An undefined kind counts as Internal.
func (k Kind) ExitCode() int {
	if p, ok := properties[k]; ok {
		return p.exitCode
	}
	return properties[Internal].exitCode
}

// Error is a typed error. Its JSON encoding is the body of an HTTP error response.
type Error struct {
	Kind    Kind   `json:"kind" cbor:"kind"`
	Message string `json:"message" cbor:"message"`
	// Remedy says what the recipient can do. Errors made by New always have one.
	Remedy string `json:"remedy" cbor:"remedy"`
	// RetryAfter is the time after which a refused request should be sent again; 0 if it is not known. Callers get it as a header.
	RetryAfter time.Duration `json:"-" cbor:"-"`
	// cause is the wrapped error; nil if there is none.
	cause error
}

// Error returns the message, the cause and the remedy in one line.
func (e *Error) Error() string {
	text := e.Message
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// Unwrap returns the wrapped cause; nil if there is none.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error that wraps an *Error of the kind and has a stack trace. The message is formatted from format and
// args.
func New(kind Kind, remedy, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Wrap is like New and wraps cause in the error. It returns nil if cause is nil.
func Wrap(cause error, kind Kind, remedy, format string, args ...any) error {
	if cause == nil {
		return nil
	}
	return trace.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, cause: cause})
}

// Refuse is like New and says when to send the request again.
func Refuse(kind Kind, retryAfter time.Duration, remedy, format string, args ...any) error {
	return trace.Wrap(&Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, RetryAfter: retryAfter})
}

// As returns the first *Error in err's chain. It converts any other error to one of kind Internal, and nil to nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{
		Kind:    Internal,
		Message: trace.UserMessage(err),
		Remedy:  "report this with the log lines of the same request id",
		cause:   err,
	}
}

// KindOf returns the kind of err: Internal if its chain has no *Error, and "" if err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return As(err).Kind
}

// Is reports whether err is of the kind, as KindOf determines it.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}
