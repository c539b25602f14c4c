package admission

import (
	"testing"
	"time"

	"github.com/redwingthread/redwingthread/errkind"
)

var start = time.Unix(1000, 0)

func accept(*Item[int]) bool { return true }

func item(account string, deadline time.Duration) *Item[int] {
	return &Item[int]{Account: account, Deadline: start.Add(deadline)}
}

// TestFairness guards against an account that gets more than its share by weight at the expense of others.
func TestFairness(t *testing.T) {
	weights := map[string]int{"a": 1, "b": 3}
	for _, unfair := range []bool{false, true} {
		q := NewQueue[int](DefaultLimits(), func(account string) int { return weights[account] })
		if unfair {
			q.UnsafeUnbounded()
		}
		for _, account := range []string{"a", "b"} {
			for range 400 {
				if _, err := q.Offer(item(account, time.Hour), start); err != nil {
					t.Fatal(err)
				}
			}
		}
		served := map[string]int{}
		for range 400 {
			next, _ := q.Next(start, accept)
			served[next.Account]++
		}
		if fair := served["a"] == 100 && served["b"] == 300; fair == unfair {
			t.Errorf("unfair %v: served %v", unfair, served)
		}
	}
}

// TestBounds guards against queues that grow without limit, and against an account that fills the queue and keeps the
// requests of others out.
func TestBounds(t *testing.T) {
	q := NewQueue[int](Limits{Queued: 10, QueuedPerAccount: 8, WaitPercent: 50, ShortWaitPercent: 90}, func(string) int { return 1 })
	rejected, evicted := 0, 0
	for _, account := range []string{"flood", "a"} {
		for range 12 {
			victim, err := q.Offer(item(account, time.Hour), start)
			if errkind.Is(err, errkind.Overloaded) {
				rejected++
			}
			if victim != nil {
				evicted++
				if victim.Account != "flood" {
					t.Errorf("request of %s was evicted, want only requests of flood", victim.Account)
				}
			}
		}
	}
	if q.Len() != 10 || rejected != 11 || evicted != 3 {
		t.Errorf("got %d waiting, %d rejected, %d evicted, want 10, 11 and 3", q.Len(), rejected, evicted)
	}
}

// TestDeadlines guards against requests that are queued or dispatched although they can no longer meet their deadline,
// and against requests that are queued although their expected wait is too long.
func TestDeadlines(t *testing.T) {
	q := NewQueue[int](DefaultLimits(), func(string) int { return 1 })
	if _, err := q.Offer(item("a", 0), start); !errkind.Is(err, errkind.DeadlineExceeded) {
		t.Errorf("request past its deadline: got error %v, want a DeadlineExceeded error", err)
	}
	q.Served(100 * time.Millisecond)
	q.Offer(item("a", 150*time.Millisecond), start)
	q.Offer(item("a", time.Second), start)
	next, dropped := q.Next(start.Add(100*time.Millisecond), accept)
	if len(dropped) != 1 || next == nil || q.Len() != 0 {
		t.Errorf("got request %v, %d dropped, want one dispatched and one dropped", next, len(dropped))
	}
	// Requests are dispatched at 10 per second, so 20 waiting ones take 2 s.
	now := start
	for range 20 {
		q.Offer(item("a", time.Hour), now)
		q.Next(now, accept)
		now = now.Add(100 * time.Millisecond)
	}
	for range 20 {
		q.Offer(item("a", time.Hour), now)
	}
	soon := &Item[int]{Account: "a", Deadline: now.Add(2 * time.Second)}
	if _, err := q.Offer(soon, now); !errkind.Is(err, errkind.Overloaded) {
		t.Errorf("request that must wait too long: got error %v, want an Overloaded error", err)
	}
	// Another account gets half of the rate.
	other := &Item[int]{Account: "b", Deadline: now.Add(2 * time.Second)}
	if _, err := q.Offer(other, now); err != nil {
		t.Errorf("request of an account without backlog: got error %v, want none", err)
	}
}

// TestUnacceptedRequestStays guards against a request that is lost when no slot is free for it, and against a request
// that is dispatched after its removal.
func TestUnacceptedRequestStays(t *testing.T) {
	q := NewQueue[int](DefaultLimits(), func(string) int { return 1 })
	first := item("a", time.Hour)
	q.Offer(first, start)
	if next, _ := q.Next(start, func(*Item[int]) bool { return false }); next != nil || q.Len() != 1 {
		t.Errorf("got request %v, %d waiting, want none and 1", next, q.Len())
	}
	if !q.Remove(first) || q.Remove(first) || q.Len() != 0 {
		t.Error("waiting request could not be removed once")
	}
	if next, _ := q.Next(start, accept); next != nil {
		t.Error("removed request was dispatched")
	}
}

// TestBudget guards against retries beyond the budget, which would multiply the load, and against accounts that can
// never retry.
func TestBudget(t *testing.T) {
	b := NewBudgets()
	retries := 0
	for range 1000 {
		b.First("a", 20)
		if b.Retry("a") {
			retries++
		}
	}
	if retries < 200 || retries > 200+maxSavedRetries {
		t.Errorf("%d retries for 1000 first attempts at 20%%, want 200 and at most the saved ones more", retries)
	}
	if !b.Retry("b") {
		t.Error("new account cannot retry")
	}
}

// TestItemIsOfferedOnce guards against a removed item that is queued again, which would corrupt the queue of its
// account.
func TestItemIsOfferedOnce(t *testing.T) {
	q := NewQueue[int](DefaultLimits(), func(string) int { return 1 })
	removed := item("a", time.Minute)
	if _, err := q.Offer(removed, start); err != nil {
		t.Fatal(err)
	}
	q.Remove(removed)
	if _, err := q.Offer(removed, start); !errkind.Is(err, errkind.Internal) {
		t.Fatalf("second offer: got error %v, want an Internal error", err)
	}
	if next, _ := q.Next(start, accept); next != nil {
		t.Fatalf("got request %+v, want none", next)
	}
}
