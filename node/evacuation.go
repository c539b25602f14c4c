package node

import (
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/redwingthread/redwingthread/evacuation"
	"github.com/redwingthread/redwingthread/store"
)

const (
	// neverConfirmed is the time of the last confirmation before the first one: longer ago than any bound.
	neverConfirmed = time.Duration(math.MinInt64 / 2)
	// evacuationReadsPerBound is the least number of reads that wait for new records within the bound on evacuations, so that some of
	// them can fail.
	evacuationReadsPerBound = 8
	// lostHistoryBounds is the number of bounds for which the store must return an end of the stream below the highest one until that
	// counts as lost history instead of a late replica. Until then nothing starts; without it, nothing would start for good.
	lostHistoryBounds = 10
	// gaugeEvacuated is the number of evacuated failure domains that the VM knows of.
	gaugeEvacuated = "evacuation.domains"
)

// evacuationWatch holds the evacuated failure domains as of the reads of the configuration stream.
type evacuationWatch struct {
	// domainOf returns the domain that a record is about; nil if the deployment has no evacuations.
	domainOf func(store.Record) (domain string, ok bool)
	logger   zerolog.Logger
	// onChange is called after a change. It must not block.
	onChange func()

	mu  sync.Mutex
	set evacuation.Set
	// confirmedAt is the start of the read that last confirmed the set, on the boot clock.
	confirmedAt time.Duration

	// The fields below are used only by the goroutine that reads. end is the highest end of the stream that the store has returned,
	// behind is true while it returns lower ones, lastReadAt is the start of the last read, and behindFor is how long behind has been
	// true. resync is true from then until the stream is loaded again: the store may have lost records and given their offsets to others.
	tracker               evacuation.Tracker
	end                   int64
	behind, resync        bool
	bound                 time.Duration
	lastReadAt, behindFor time.Duration
}

// newEvacuationWatch returns a watch of the domains that o's decoder finds in records. It is disabled if the settings have no bound.
func newEvacuationWatch(o *Options, onChange func()) *evacuationWatch {
	w := &evacuationWatch{logger: o.Logger, onChange: onChange, confirmedAt: neverConfirmed, bound: o.Settings.Bounds.Evacuation}
	if o.Settings.Bounds.Evacuation > 0 {
		w.domainOf = o.Decoder.EvacuatedDomain
	}
	return w
}

func (w *evacuationWatch) enabled() bool { return w.domainOf != nil }

// current returns the evacuated domains and the start of the read that last confirmed them.
func (w *evacuationWatch) current() (set evacuation.Set, confirmedAt time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.set, w.confirmedAt
}

// fold folds the records of a read, and confirms the set if the read shows that it is the newest. It reports whether the stream must be
// loaded again.
func (w *evacuationWatch) fold(update *store.Update) (reload bool) {
	if !w.enabled() {
		return false
	}
	w.observeEnd(update)
	w.foldRecords(update)
	set := w.tracker.Set()
	w.mu.Lock()
	changed := !set.Equal(w.set)
	w.set = set
	if w.confirms(update) {
		w.confirmedAt = max(w.confirmedAt, update.StartedAt)
	}
	w.mu.Unlock()
	if changed {
		w.logger.Info().Strs("domains", set.Domains()).Int64("offset", update.Next).Msg("evacuated failure domains changed")
		metrics.GetOrRegisterGauge(gaugeEvacuated, metrics.DefaultRegistry).Update(int64(len(set.Domains())))
		w.onChange()
	}
	return w.resync && !w.behind
}

// foldRecords folds the records of a read. A load after the store was behind replaces all that is known, since offsets from before that
// may belong to other records now.
func (w *evacuationWatch) foldRecords(update *store.Update) {
	var records []evacuation.Record
	for _, r := range update.Records {
		if domain, ok := w.domainOf(r); ok {
			records = append(records, evacuation.Record{Domain: domain, Removed: len(r.Value) == 0, Offset: r.Offset})
		}
	}
	if update.Loaded && update.End >= update.Next {
		if w.resync && !w.behind {
			w.tracker, w.resync = evacuation.Tracker{}, false
		}
		w.tracker.Reload(records, update.Next)
		return
	}
	for _, r := range records {
		w.tracker.Apply(r)
	}
}

// observeEnd updates whether the store is behind: it returns a lower end of the stream than before, or pages of a load that are of
// different states. A store that stays behind has lost history; its state counts from then on.
func (w *evacuationWatch) observeEnd(update *store.Update) {
	behind := update.End < w.end || update.Loaded && update.End < update.Next
	if !behind {
		w.behindFor = 0
	} else if w.behind {
		// A VM that was frozen between two reads has not seen the store behind for that time.
		w.behindFor += min(update.StartedAt-w.lastReadAt, w.bound)
	}
	w.lastReadAt = update.StartedAt
	w.resync = w.resync || behind
	if behind != w.behind {
		w.logger.Warn().Bool("behind", behind).Int64("end", update.End).Int64("known_end", w.end).
			Msg("the store returns an earlier state of the configuration stream, or no longer does")
	}
	w.behind = behind
	w.end = max(w.end, update.End)
	if behind && w.behindFor >= lostHistoryBounds*w.bound {
		w.logger.Error().Int64("end", update.End).Int64("known_end", w.end).
			Msg("the store has lost history of the configuration stream; its present state is loaded")
		w.end, w.behind, w.behindFor = update.End, false, 0
	}
}

// confirms reports whether the read shows that the set holds all requests that were stored before its start. A load does not: its pages
// are of different times, and the store may serve them from an earlier state; the read after it does. Neither does a read while the store
// is behind, or from then until the stream is loaded again.
func (w *evacuationWatch) confirms(update *store.Update) bool {
	return update.Complete && !update.Loaded && !w.behind && !w.resync
}

// readWait returns how long a read of the configuration stream waits for new records.
func (w *evacuationWatch) readWait(bound time.Duration) time.Duration {
	if !w.enabled() {
		return configLongPollWait
	}
	return min(configLongPollWait, bound/evacuationReadsPerBound)
}
