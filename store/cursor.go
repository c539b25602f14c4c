package store

import (
	"context"
	"errors"
	"time"

	"github.com/redwingthread/redwingthread/boottime"
)

// Cursor reads a stream: first the newest record of every key, then the records appended since. If records expire before it
// has read them, it reads the newest record of every key again. It is not safe for concurrent use.
type Cursor struct {
	Stream Stream
	// NewestOnly is set if a record makes all earlier ones of its key obsolete. A cursor that is more than one read behind
	// then continues with the newest records, so that a VM on a slow link does not read what is obsolete.
	NewestOnly bool
	// Paged makes Read return each page of a load as an update of its own, so that a reader never holds the newest records of all keys at
	// once. Only the last one is Complete.
	Paged bool
	// loading is the load whose pages are being returned; nil for none.
	loading *pagedLoad
	// loaded is true once the newest records were read; next is the offset of the next read then.
	loaded bool
	next   int64
}

// Update is what one read of a cursor returned.
type Update struct {
	Records []Record
	// StartedAt is the start of the read on the boot clock. Complete is true if the cursor has now read all records that
	// were stored before StartedAt.
	StartedAt time.Duration
	Complete  bool
	// Loaded is true if Records holds the newest record of every key, or of those of one page; keys that are missing have been deleted.
	Loaded bool
	// Reloaded is true for the last page of a load that followed the loss of records and is not of an earlier state of the stream than what
	// was read before: keys that none of its pages has have been deleted.
	Reloaded bool
	// Expired is true if records expired before they were read, so that the newest record of every key was read instead.
	Expired bool
	// Next is the offset of the next read. End is the offset after the last record of the stream as the store returned it; an end that
	// is lower than one returned before is from an earlier state of the stream. End is the lowest one of the pages of a load: below
	// Next if a later page is of an earlier state than the first.
	Next, End int64
}

// Read returns the next records, or the error of the log. It waits up to wait for the first one, but not when it loads the
// newest record of every key.
func (c *Cursor) Read(ctx context.Context, log Log, wait time.Duration) (*Update, error) {
	if c.loading != nil || c.Paged && !c.loaded {
		return c.loadPage(ctx, log, false)
	}
	if !c.loaded {
		return c.load(ctx, log)
	}
	startedAt := boottime.Now()
	batch, err := log.Read(ctx, c.Stream, c.next, wait)
	if errors.Is(err, ErrExpired) && c.Paged {
		return c.loadPage(ctx, log, true)
	}
	if errors.Is(err, ErrExpired) {
		update, err := c.load(ctx, log)
		if err == nil {
			update.Expired = true
		}
		return update, err
	}
	if err != nil {
		return nil, err
	}
	c.next += int64(len(batch.Records))
	complete := c.next >= batch.End
	if c.NewestOnly && !complete {
		c.loaded = false
	}
	return &Update{Records: batch.Records, StartedAt: startedAt, Complete: complete, Next: c.next, End: batch.End}, nil
}

// Position returns the offset of the next read; false before the newest records were read.
func (c *Cursor) Position() (next int64, loaded bool) { return c.next, c.loaded && c.loading == nil }

// Loading reports whether further pages of a load follow.
func (c *Cursor) Loading() bool { return c.loading != nil }

// pagedLoad is a load that returns its pages one by one.
type pagedLoad struct {
	startedAt time.Duration
	// next is the end of the stream as of the first page, after the last key that was read.
	next  int64
	after string
	// expired is true if records expired before they were read, from offset resumedFrom on.
	expired     bool
	resumedFrom int64
	// end is the lowest end of the stream of the pages.
	end int64
}

// loadPage reads the next page of the newest record of each key. After a failure the next call reads the same page again.
func (c *Cursor) loadPage(ctx context.Context, log Log, expired bool) (*Update, error) {
	first := c.loading == nil
	if first {
		c.loading = &pagedLoad{startedAt: boottime.Now(), expired: expired, resumedFrom: c.next}
	}
	l := c.loading
	page, err := log.Newest(ctx, c.Stream, l.after)
	if err != nil {
		if first {
			c.loading = nil
		}
		return nil, err
	}
	if first {
		l.next, l.end = page.End, page.End
	}
	l.end = min(l.end, page.End)
	update := &Update{StartedAt: l.startedAt, Loaded: true, Records: page.Records, Next: l.next, End: l.end, Expired: first && l.expired}
	if page.More && len(page.Records) > 0 {
		l.after = page.Records[len(page.Records)-1].Key
		return update, nil
	}
	update.Complete = true
	update.Reloaded = l.expired && l.end >= l.resumedFrom
	c.next, c.loaded, c.loading = l.next, true, nil
	return update, nil
}

// load reads the newest record of each key. The pages are read at different times, so the next read continues from the end
// of the stream as of the first page and returns records that were appended meanwhile again.
func (c *Cursor) load(ctx context.Context, log Log) (*Update, error) {
	update := &Update{StartedAt: boottime.Now(), Complete: true, Loaded: true}
	after := ""
	for first := true; ; first = false {
		page, err := log.Newest(ctx, c.Stream, after)
		if err != nil {
			return nil, err
		}
		if first {
			update.Next, update.End = page.End, page.End
		}
		update.End = min(update.End, page.End)
		update.Records = append(update.Records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			c.next = update.Next
			c.loaded = true
			return update, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
