package store_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/store"
	"github.com/redwingthread/redwingthread/store/storetest"
)

// appendVersions appends the versions from first to last under one key.
func appendVersions(t *testing.T, log store.Log, first, last int) {
	t.Helper()
	for version := first; version <= last; version++ {
		record := store.Record{Key: "config", Value: []byte(strconv.Itoa(version))}
		if _, err := log.Append(t.Context(), store.Config, []store.Record{record}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
}

// readToEnd reads until the cursor is complete, and returns the values in the order in which they were read.
func readToEnd(t *testing.T, cursor *store.Cursor, log store.Log) (values []string) {
	t.Helper()
	for {
		update, err := cursor.Read(t.Context(), log, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, record := range update.Records {
			values = append(values, string(record.Value))
		}
		if update.Complete {
			return values
		}
	}
}

// TestCursorSkipsObsoleteRecords guards against a VM that was cut off from the store and then reads every configuration
// that was published meanwhile: over a slow link that takes longer than the configuration may be used unconfirmed.
func TestCursorSkipsObsoleteRecords(t *testing.T) {
	log := storetest.New()
	log.BatchSize = 2
	appendVersions(t, log, 1, 1)
	newestOnly := store.Cursor{Stream: store.Config, NewestOnly: true}
	every := store.Cursor{Stream: store.Config}
	readToEnd(t, &newestOnly, log)
	readToEnd(t, &every, log)
	appendVersions(t, log, 2, 41)
	if got := readToEnd(t, &newestOnly, log); len(got) != 3 || got[2] != "41" {
		t.Errorf("read %v, want one batch of two versions and the newest one", got)
	}
	if got := readToEnd(t, &every, log); len(got) != 40 || got[39] != "41" {
		t.Errorf("a cursor of all records read %d of 40 versions", len(got))
	}
	appendVersions(t, log, 42, 43)
	if got := readToEnd(t, &newestOnly, log); len(got) != 2 || got[1] != "43" {
		t.Errorf("read %v, want both versions: the cursor is only one read behind", got)
	}
}

// switchingPages serves the later pages of a load from an earlier state than the first.
type switchingPages struct{ *storetest.Fake }

func (s switchingPages) Newest(ctx context.Context, stream store.Stream, after string) (*store.Page, error) {
	page, err := s.Fake.Newest(ctx, stream, after)
	if err == nil && after != "" {
		page.End--
	}
	return page, err
}

// TestCursorReportsPagesOfAnEarlierState guards against a load that seems to show that keys are missing, although its later pages are of
// an earlier state of the stream than the first.
func TestCursorReportsPagesOfAnEarlierState(t *testing.T) {
	fake := storetest.New()
	fake.PageSize = 1
	for _, key := range []string{"a", "b"} {
		if _, err := fake.Append(t.Context(), store.Config, []store.Record{{Key: key, Value: []byte("{}")}}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	for log, wantEnd := range map[store.Log]int64{fake: 2, switchingPages{fake}: 1} {
		cursor := store.Cursor{Stream: store.Config}
		update, err := cursor.Read(t.Context(), log, 0)
		if err != nil || !update.Loaded || update.Next != 2 || update.End != wantEnd {
			t.Errorf("got %+v, %v; want a load whose next offset is 2 and whose end is %d", update, err, wantEnd)
		}
	}
}

// TestPagedLoadHoldsOnePage guards against a VM that starts beside a full store and holds the newest records of all keys at once, and
// against a load by pages that loses what is appended, deleted or expires meanwhile, or that a failed request interrupts.
func TestPagedLoadHoldsOnePage(t *testing.T) {
	log := storetest.New()
	log.PageSize = 3
	put := func(key, value string) {
		t.Helper()
		if _, err := log.Append(t.Context(), store.States, []store.Record{{Key: key, Value: []byte(value)}}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 10 {
		put("key-"+strconv.Itoa(i), "old")
	}
	cursor := store.Cursor{Stream: store.States, Paged: true}
	values := map[string]string{}
	reads := 0
	for complete := false; !complete; reads++ {
		update, err := cursor.Read(t.Context(), log, 0)
		if err != nil {
			t.Fatal(err)
		}
		if len(update.Records) > log.PageSize {
			t.Errorf("a read of the load returned %d records, want pages of %d", len(update.Records), log.PageSize)
		}
		for _, r := range update.Records {
			values[r.Key] = string(r.Value)
		}
		complete = update.Complete && !update.Loaded
		switch reads {
		case 0:
			put("key-0", "new")
			put("key-8", "")
		case 1:
			log.SetFault(func(string) (error, bool) { return store.ErrUnknown, false })
			if _, err := cursor.Read(t.Context(), log, 0); err == nil {
				t.Error("a failed request returned a page")
			}
			log.SetFault(nil)
		}
	}
	if values["key-0"] != "new" || values["key-8"] != "" || values["key-9"] != "old" || len(values) != 10 {
		t.Errorf("after the load the values are %v", values)
	}
	put("key-1", "newer")
	log.DropHistory(store.States)
	for complete := false; !complete; {
		update, err := cursor.Read(t.Context(), log, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range update.Records {
			values[r.Key] = string(r.Value)
		}
		complete = update.Complete
	}
	if values["key-1"] != "newer" {
		t.Errorf("after the history has expired the values are %v", values)
	}
}
