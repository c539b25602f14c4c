package infra

import "context"

// AppendRequest is the body of POST /v1/streams/{stream}/records. Records are appended in order and contiguously.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendResponse is the response to an AppendRequest.
type AppendResponse struct {
	FirstOffset uint64 `json:"first_offset"`
}

// Record is one record of a stream. Offsets start at 0 and have no gaps.
type Record struct {
	Offset uint64 `json:"offset" cbor:"offset"`
	Data   []byte `json:"data" cbor:"data"`
}

// ReadResponse is the response to GET /v1/streams/{stream}/records.
type ReadResponse struct {
	// Oldest is the offset of the oldest retained record; it equals Next if no record is retained.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next appended record will have.
	Next    uint64   `json:"next"`
	Records []Record `json:"records"`
}

// Log is the part of the platform's log service that the program uses.
type Log interface {
	// Append appends records to stream and returns the offset of the first one. After an error of kind
	// errkind.BadInput or errkind.TooLarge no record was appended; after any other error the records may or may not
	// have been appended.
	Append(ctx context.Context, stream string, records [][]byte) (firstOffset uint64, err error)
	// Read returns at most limit records of stream, starting at offset from, or at Oldest if from is below it. It waits
	// up to waitMS milliseconds for the first record.
	Read(ctx context.Context, stream string, from uint64, limit int, waitMS int) (ReadResponse, error)
}

// ConfigStream is the name of the stream of configuration records.
const ConfigStream = "config"

// JobStream returns the name of the job stream of a failure domain.
func JobStream(failureDomain string) string { return "jobs-" + failureDomain }
