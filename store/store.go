// Package store defines the interface to the platform's metadata store: keyed topics, which keep the newest record of each
// key forever, appends by fenced producers, and groups that assign a part to one member.
package store

import (
	"context"
	"errors"
	"strconv"
	"time"
)

// Errors of requests to the store.
var (
	// ErrNotExecuted means that the store rejected the request or never received it; it had no effect and will have none.
	ErrNotExecuted = errors.New("store: the call was not executed")
	// ErrUnknown means that no usable response arrived; the request may have been executed, or may be executed later.
	ErrUnknown = errors.New("store: the outcome of the call is unknown")
	// ErrFenced means that an append was rejected because the producer has a higher epoch.
	ErrFenced = errors.New("store: a newer epoch of the producer exists")
	// ErrExpired means that the offset of a read is before the first retained record.
	ErrExpired = errors.New("store: offset is before the first retained record")
	// ErrMoved means that a conditional append was rejected because the stream does not end at the given offset. That attempt had no
	// effect; an earlier one of the same append may have been executed.
	ErrMoved = errors.New("store: the stream ends at another offset")
)

// SequenceError rejects an append whose sequence number does not follow the last one. The rejected attempt had no effect;
// an earlier attempt of the same append may have been executed.
type SequenceError struct {
	// Expected is the sequence number that the store expects next.
	Expected int64
}

// Error names the expected sequence number.
func (e *SequenceError) Error() string {
	return "store: append out of sequence: the expected sequence number is " + strconv.FormatInt(e.Expected, 10)
}

// IgnoreRejection returns nil if the store rejected an append for its epoch or sequence number, which shows that the store
// works, and err otherwise.
func IgnoreRejection(err error) error {
	var sequenceErr *SequenceError
	if errors.Is(err, ErrFenced) || errors.As(err, &sequenceErr) {
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
	// TopicConfig holds the configuration that operators publish.
	TopicConfig Topic = "config"
	// TopicWorkers holds the entries that workers publish about themselves.
	TopicWorkers Topic = "workers"
)

// Stream is one part of a topic. Appends to a part are executed one at a time.
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

// String returns the topic and the part for log lines, separated by a slash.
func (s Stream) String() string { return string(s.Topic) + "/" + strconv.Itoa(s.Part) }

// UnknownOffset stands for the offset of records that are stored at an offset that the response does not tell.
const UnknownOffset = -1

// Record is one record of a keyed topic. A record without value deletes its key. Offset is set by reads only.
type Record struct {
	Key    string
	Value  []byte
	Offset int64
}

// Batch is the result of Log.Read.
type Batch struct {
	// End is the offset after the last record of the stream, First the oldest retained offset.
	End, First int64
	Records    []Record
}

// Page is one page of the newest records of all keys. Pages are read at different times, so together they do not form a
// consistent snapshot.
type Page struct {
	Records []Record
	// More is true if further pages follow.
	More bool
	// End is the offset after the last record of the stream.
	End int64
}

// Producer identifies an append of a fenced writer. Once the store has seen an epoch of a producer, it rejects appends with
// lower ones. Sequence is the number of the append.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Assignment is the result of a group's assignment for one member.
type Assignment struct {
	// Generation is the number of the assignment, which rises with each reassignment.
	Generation int64
	// Holds is true if the member holds the group's only part.
	Holds bool
}

// Log is the client of the store. Its errors match ErrNotExecuted, ErrUnknown or a more specific error of this package.
type Log interface {
	// Append adds the records to the stream, all or none, and returns the offset of the first one or UnknownOffset. producer may be
	// nil. An append without records registers the producer's epoch.
	Append(ctx context.Context, stream Stream, records []Record, producer *Producer, timeout time.Duration) (offset int64, err error)
	// AppendAt adds the records to the stream, all or none, provided that the stream ends at the given offset; otherwise the error
	// matches ErrMoved. Without a response it may still be executed later, under the same condition.
	AppendAt(ctx context.Context, stream Stream, records []Record, end int64, timeout time.Duration) error
	// Read returns the records from offset from on; it waits up to wait for the first one. The error matches ErrExpired if
	// from is before the first retained record.
	Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (*Batch, error)
	// Newest returns a page of the newest records of the keys greater than after, in order of keys.
	Newest(ctx context.Context, stream Stream, after string) (*Page, error)
	// Join adds the member to the group, or keeps it there, for ttl. generation is that of the member's last assignment; 0 for
	// a new member.
	Join(ctx context.Context, group, member string, ttl time.Duration, generation int64) (Assignment, error)
	// Leave removes the member from the group and releases its part.
	Leave(ctx context.Context, group, member string, generation int64) error
	// Holder returns the member that holds the group's only part; empty if none does.
	Holder(ctx context.Context, group string) (member string, err error)
}
