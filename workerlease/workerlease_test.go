package workerlease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testLease = 6 * time.Second

// TestSilentWorkerIsGivenUp guards against renewals to a worker that does not respond: each attempt postponed the expiry of
// its lease, so its tasks were never started elsewhere. It also guards against a lease that counts as expired while the
// worker may still hold it.
func TestSilentWorkerIsGivenUp(t *testing.T) {
	l := New(testLease, testLease, 16*time.Second)
	l.RecordResponse(time.Second, 1, 500)
	now := 2 * time.Second
	for l.Renew(now, 1); !l.Expired(now); now += 500 * time.Millisecond {
		l.RecordNoResponse()
		l.Renew(now, 1)
		if now > 10*time.Second {
			t.Fatalf("the lease of a worker that last responded at 1s has not expired at %v", now)
		}
	}
	if now < 8*time.Second {
		t.Fatalf("the lease counts as expired at %v, although the last renewal may last until 8s", now)
	}
}

// TestRenewalFollowsTheWorkersClock guards against leases that expire too early on the worker or too late at the holder of
// the schedule, because the worker's clock has another origin and rate.
func TestRenewalFollowsTheWorkersClock(t *testing.T) {
	l := New(testLease, testLease, 0)
	if until := l.Renew(time.Second, 1); until != 0 {
		t.Fatalf("got a lease until %d before the worker's clock was known, want 0", until)
	}
	l.RecordResponse(10*time.Second, 1, 1000)
	if until := l.Renew(12*time.Second, 1); until != 1000+1960+6000 {
		t.Fatalf("the lease expires at %d, want 8960: 6 s after the time that a slow clock shows", until)
	}
	// The worker's clock may take 2% longer for the 8 s.
	if l.Expired(18 * time.Second) {
		t.Fatal("the lease counts as expired before a slow clock has reached its expiry")
	}
	l.RecordResponse(20*time.Second, 2, 50)
	if until := l.Renew(20*time.Second, 2); until != 50+6000 {
		t.Fatalf("the lease of a new incarnation expires at %d, want 6050", until)
	}
}

// TestLeaseEndsInTimeHoweverOldTheReading guards against a task that runs twice after a takeover: the next holder waits for the length of a
// lease on a slow clock, but a lease that was computed from an old reading of the clock lasted up to 2 % of the reading's age longer.
func TestLeaseEndsInTimeHoweverOldTheReading(t *testing.T) {
	for _, age := range []time.Duration{0, 1500 * time.Millisecond, 2200 * time.Millisecond, 10 * time.Second, time.Minute} {
		l := New(testLease, time.Hour, 0)
		readAt := 100 * time.Second
		l.RecordResponse(readAt, 1, 1000)
		now := readAt + age
		until := l.Renew(now, 1)
		endsOnSlowClock := readAt + MaxElapsed(time.Duration(until-1000)*time.Millisecond)
		if excess := endsOnSlowClock - (now + MaxElapsed(testLease)); excess > 0 {
			t.Errorf("age %s: the lease lasts %s longer than the next holder waits", age, excess)
		}
	}
}

// TestEarlierHoldersLeaseCounts guards against a takeover that starts a task elsewhere while it still runs on a worker that
// only the earlier holder can reach.
func TestEarlierHoldersLeaseCounts(t *testing.T) {
	l := New(testLease, testLease, 16*time.Second)
	l.RecordNoResponse()
	if l.Expired(15 * time.Second) {
		t.Fatal("the lease of a worker that never responded counts as expired within the earlier holder's lease")
	}
	if !l.Expired(17 * time.Second) {
		t.Fatal("the lease of a worker that never responded has not expired after the earlier holder's lease")
	}
}

// workerProcess is a process of a simulated worker. Times are on the boot clock.
type workerProcess struct {
	startedAt time.Duration
	// origin is the process's clock at startedAt, in milliseconds; rate is that of the clock relative to the boot clock.
	origin int64
	rate   float64
	until  int64
	// contacted processes have received a request of the present holder, and reject those of earlier ones.
	contacted bool
}

func (p *workerProcess) clock(now time.Duration) int64 {
	return p.origin + int64(float64((now-p.startedAt).Milliseconds())*p.rate)
}

// renew extends the lease as workers do: at most by the longest lease, and it never shortens it.
func (p *workerProcess) renew(now time.Duration, untilMS int64, longest time.Duration) {
	p.until = max(p.until, min(untilMS, p.clock(now)+longest.Milliseconds()))
}

// leaseEnd returns the end of the lease on the boot clock.
func (p *workerProcess) leaseEnd() time.Duration {
	return p.startedAt + time.Duration(float64(p.until-p.origin)/p.rate*float64(time.Millisecond))
}

// lateRenewal is a request that a process has not executed yet.
type lateRenewal struct {
	process *workerProcess
	untilMS int64
}

// TestHolderOutwaitsEveryLease guards against a task that runs twice because its worker keeps it longer than the holder waits: after a
// restart under the same id, with a slow clock, with renewals that arrive late, and with an earlier holder of a former version that has
// sent an expiry of another process, so that the worker holds the longest lease. From the first response of a process on, the account
// must cover what that process may hold.
func TestHolderOutwaitsEveryLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const length, longest = 9 * time.Second, 10 * time.Second
		// rounding is what the whole milliseconds of the worker's clock may hide.
		const rounding = 3 * time.Millisecond
		now := time.Hour
		number := int64(1)
		begin := func() *workerProcess {
			return &workerProcess{
				startedAt: now, origin: rapid.Int64Range(0, 1<<33).Draw(t, "origin"), rate: rapid.SampledFrom([]float64{0.98, 0.99, 1}).Draw(t, "rate"),
			}
		}
		process := begin()
		l := New(length, longest, 0)
		var late []lateRenewal
		known := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "pause")) * time.Millisecond
			switch rapid.SampledFrom([]string{"respond", "respond", "renew", "renew", "arrive", "fail", "earlier holder", "restart"}).Draw(t, "step") {
			case "respond":
				clockMS := process.clock(now)
				process.contacted = true
				now += time.Duration(rapid.IntRange(0, 700).Draw(t, "delay")) * time.Millisecond
				l.RecordResponse(now, number, clockMS)
				known = number
			case "renew":
				if untilMS := l.Renew(now, number); untilMS > 0 {
					late = append(late, lateRenewal{process: process, untilMS: untilMS})
				}
			case "arrive":
				for _, r := range late {
					r.process.renew(now, r.untilMS, longest)
				}
				late = nil
			case "fail":
				l.RecordNoResponse()
			case "earlier holder":
				if !process.contacted {
					process.renew(now, rapid.Int64Range(0, 1<<34).Draw(t, "expiry"), longest)
				}
			case "restart":
				process = begin()
				number++
			}
			if held, counted := process.leaseEnd(), l.ExpiresAt(); known == number && held > counted+rounding {
				t.Fatalf("the worker keeps its runs until %s, its holder waits until %s", held, counted)
			}
		}
	})
}

// TestFormerHoldersLongestLeaseCounts guards against a worker that holds the longest lease, which a holder of a former version granted by
// an expiry of another process, while the present holder counts the shorter one that it grants itself.
func TestFormerHoldersLongestLeaseCounts(t *testing.T) {
	const length, longest = 9 * time.Second, 10 * time.Second
	l := New(length, longest, 0)
	p := &workerProcess{startedAt: time.Second, origin: 2_900_000, rate: 0.98}
	p.renew(2*time.Second, 8_440_349, longest)
	l.RecordResponse(2*time.Second, 1, p.clock(2*time.Second))
	p.renew(2*time.Second, l.Renew(2*time.Second, 1), longest)
	if held := p.leaseEnd(); l.ExpiresAt() < held || held < 12*time.Second {
		t.Errorf("the worker keeps its runs until %s, its holder waits until %s", held, l.ExpiresAt())
	}
	if l.Expired(p.leaseEnd()) || !l.Expired(p.leaseEnd()+50*time.Millisecond) {
		t.Errorf("at the end of the lease at %s it counts as expired: %v, 50 ms later: %v", p.leaseEnd(), l.Expired(p.leaseEnd()), l.Expired(p.leaseEnd()+50*time.Millisecond))
	}
}
