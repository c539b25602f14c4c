package leader

import (
	"context"

	"github.com/redwingthread/redwingthread/dispatch"
	"github.com/redwingthread/redwingthread/joblog"
	"github.com/redwingthread/redwingthread/store"
)

// endMark holds the sequence number up to which the run ends of one incarnation of a worker were processed.
type endMark struct{ incarnation, processed int64 }

// effects holds what may be done once an append is stored: send the starts, and acknowledge the processed run ends to the
// workers.
type effects struct {
	starts    []dispatch.Start
	processed map[*session]endMark
}

// flush appends the changed job states unless an append is in flight. Starts are sent and run ends acknowledged to their
// workers only once the states are stored.
func (l *Leader) flush(ctx context.Context) {
	if l.appendDone != nil {
		return
	}
	l.inFlight = effects{starts: l.starts, processed: l.processedEnds}
	l.starts = nil
	l.processedEnds = map[*session]endMark{}
	records := l.changedRecords()
	if len(records) == 0 {
		l.applyEffects(ctx)
		return
	}
	done := make(chan error, 1)
	l.appendDone = done
	go func() { done <- l.journal.write(ctx, records) }()
}

// changedRecords returns the records of the policies and job states that have changed since its last call, and of the forecast if it is
// due.
func (l *Leader) changedRecords() []store.Record {
	var records []store.Record
	for _, change := range l.core.TakePolicyChanges() {
		record, err := joblog.PolicyRecord(change.Queue, change.Policy)
		if err != nil {
			l.logger.Error().Err(err).Str("queue", change.Queue).Msg("policy of a queue cannot be encoded; its jobs keep it until the schedule changes hands")
			continue
		}
		l.logger.Info().Str("queue", change.Queue).Bool("deleted", change.Policy == nil).Msg("policy of a queue changed")
		records = append(records, record)
	}
	changes := l.core.TakeChanges()
	l.logChanges(changes)
	records = append(records, stateRecords(changes)...)
	return append(records, l.forecastRecords(len(records) > 0)...)
}

// appendEnded processes the result of the append that was in flight. An error ends the leader, since the journal returns
// one only if another holder has taken over or ctx has ended.
func (l *Leader) appendEnded(ctx context.Context, err error) {
	l.appendDone = nil
	if err != nil {
		l.logger.Warn().Err(err).Msg("job states not stored")
		if ctx.Err() == nil {
			l.stepDown("store")
		}
		return
	}
	l.applyEffects(ctx)
}

// applyEffects acknowledges run ends and sends starts whose states are now stored. Starts that the core no longer wants
// are skipped.
func (l *Leader) applyEffects(ctx context.Context) {
	for s, m := range l.inFlight.processed {
		s.setStoredEnd(m.incarnation, m.processed)
	}
	for _, start := range l.inFlight.starts {
		s := l.sessions[start.Worker]
		if s == nil || !l.core.WantsStart(start.Worker, start.Ref) {
			continue
		}
		s.queueStart(ctx, start)
	}
	l.inFlight = effects{}
}

// recordProcessedEnds records up to which sequence number the core has processed the run ends of an incarnation of a worker. It runs
// in the loop.
func (l *Leader) recordProcessedEnds(s *session, incarnation, processed int64) {
	l.processedEnds[s] = endMark{incarnation: incarnation, processed: processed}
}
