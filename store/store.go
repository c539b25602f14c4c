// Package store describes the platform's metadata store as the product uses it: topics of records, of which keyed ones
// keep the newest record of each key for good, conditional appends by fenced producers, and groups that assign parts.
package store

import (
	"context"
	"errors"
	"strconv"
	"time"
)

// The outcomes of a failed call.
var (
	// ErrNotDone marks a call that the store refused or never saw; it had no effect and will have none.
	ErrNotDone = errors.New("store: the call was not executed")
	// ErrUnknown marks a call without an answer; it may have been executed, or may be executed later.
	ErrUnknown = errors.New("store: the outcome of the call is unknown")
	// ErrFenced marks an append of a producer whose epoch another producer has overtaken.
	ErrFenced = errors.New("store: a newer epoch of the producer exists")
	// ErrExpired marks a read from an offset whose records are gone.
	ErrExpired = errors.New("store: the records before the first retained offset are gone")
)

// SequenceError refuses an append whose sequence number does not follow the last one. The append had no effect now; an
// earlier attempt of it may have had.
type SequenceError struct {
	// Expected is the number that follows the last one.
	Expected int64
}

// Error names the expected number.
func (e *SequenceError) Error() string {
	return "store: the next sequence number is " + strconv.FormatInt(e.Expected, 10)
}

// Failure returns err unless the store answered the call and refused it for its epoch or sequence number, which says
// that the store works.
func Failure(err error) error {
	var wrong *SequenceError
	if errors.Is(err, ErrFenced) || errors.As(err, &wrong) {
		return nil
	}
	return err
}

// Topic names a keyed topic.
type Topic string

// The topics.
const (
	// TopicIntake holds callers' submissions and cancellations, in several parts.
	TopicIntake Topic = "intake"
	// TopicStates holds job states.
	TopicStates Topic = "states"
	// TopicConfig holds what operators publish.
	TopicConfig Topic = "config"
	// TopicWorkers holds what workers say of themselves.
	TopicWorkers Topic = "workers"
)

// Stream is one part of a topic. Appends to a part are executed one after the other.
type Stream struct {
	Topic Topic
	Part  int
}

// The streams of the topics that have one part.
var (
	States  = Stream{Topic: TopicStates}
	Config  = Stream{Topic: TopicConfig}
	Workers = Stream{Topic: TopicWorkers}
)

// String names the stream in log lines.
func (s Stream) String() string { return string(s.Topic) + "/" + strconv.Itoa(s.Part) }

// Record is one record of a keyed topic. A record without value drops its key.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is what a read returned.
type Batch struct {
	// End is the offset after the last record of the stream, First the oldest offset retained.
	End, First int64
	Records    []Record
}

// Page is one page of the newest records of all keys. Pages are read at different times and are no snapshot.
type Page struct {
	Records []Record
	More    bool
	End     int64
}

// Producer identifies an append of a fenced writer. A higher epoch shuts out the lower ones.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Assignment is what a group gives a member.
type Assignment struct {
	Generation int64
	// Holds reports whether the member holds the group's only part.
	Holds bool
}

// Log is the store.
type Log interface {
	// Append adds the records to the stream, all or none. producer may be nil. No records with a producer set the epoch.
	Append(ctx context.Context, stream Stream, records []Record, producer *Producer, timeout time.Duration) error
	// Read returns records from the offset on; it waits up to wait for the first one.
	Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (*Batch, error)
	// Newest returns the newest record of each key behind after, in the order of keys.
	Newest(ctx context.Context, stream Stream, after string) (*Page, error)
	// Join joins the group or keeps the member in it for ttl.
	Join(ctx context.Context, group, member string, ttl time.Duration, generation int64) (Assignment, error)
	// Leave gives the member's part back.
	Leave(ctx context.Context, group, member string, generation int64) error
	// Holder returns the member that holds the group's only part, empty if none does.
	Holder(ctx context.Context, group string) (member string, err error)
}
