package request

import (
	"bytes"
	"container/list"
	"net/http"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// Fingerprint identifies the content of a request. A key is bound to the first fingerprint it is used with.
type Fingerprint struct {
	Method string
	// Path is the service, the escaped path below it and the query.
	Path string
	// BodyDigest is the SHA-256 digest of the body.
	BodyDigest [32]byte
}

// Response is a whole response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory that a stored response takes, in bytes.
func (r *Response) size() int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, value := range values {
			n += len(value)
		}
	}
	return n
}

// Result is the end of a request. Response is set if Outcome is Completed, Err otherwise.
type Result struct {
	Outcome  Outcome
	Response *Response
	Err      error
}

// Action says what the owner of a key does with a request.
type Action int

// The actions.
const (
	// Run means that this request alone may be dispatched.
	Run Action = iota + 1
	// Join means that the same request is running and this one gets its result.
	Join
	// Replay means that the request ended and Decision.Result is its result. Its Response is nil if the request was not
	// completed or the stored response was evicted.
	Replay
)

// Decision is the answer of Begin.
type Decision struct {
	Action Action
	// Attempts is set if Action is Run. It belongs to the caller until Finish.
	Attempts *Attempts
	// Result is set if Action is Replay.
	Result Result
}

// Limits bounds the memory of a Table.
type Limits struct {
	// StoredBytes bounds the stored responses of all accounts together.
	StoredBytes int
	// StoredBytesPerAccount bounds the stored responses of one account, so that none evicts the others'.
	StoredBytesPerAccount int
	// Gaps bounds the unused keys between used ones. Above it the oldest unused keys can no longer be used.
	Gaps int
}

// DefaultLimits returns limits that keep a table under about 20 MB.
func DefaultLimits() Limits {
	return Limits{StoredBytes: 16 << 20, StoredBytesPerAccount: 6 << 20, Gaps: 16384}
}

// entryOverhead is the estimated memory of a stored result besides its response, in bytes.
const entryOverhead = 512

// entry is a key that is running or whose result is stored.
type entry struct {
	sequence    uint64
	account     string
	fingerprint Fingerprint
	attempts    Attempts
	done        bool
	result      Result
	size        int
	// stored and storedBy are the elements in Table.order and the account's order while the result is stored.
	stored   *list.Element
	storedBy *list.Element
}

// accountEntries lists the stored entries of one account, oldest first.
type accountEntries struct {
	order list.List
	bytes int
}

// Table holds the keys issued by one gateway incarnation. A key is issued, running, done with a stored result, or done
// with its result evicted. It never returns to an earlier state.
type Table struct {
	owner  Owner
	signer *signer
	limits Limits
	// next is the sequence number of the next key.
	next uint64
	// used holds the sequence numbers that were begun, or whose right to run was withdrawn.
	used    IntervalSet
	entries map[uint64]*entry
	// order lists stored entries, oldest first.
	order  *list.List
	stored int
	// storedBy holds the stored entries of each account.
	storedBy map[string]*accountEntries
	// allowReuse is set by UnsafeAllowReuse.
	allowReuse bool
}

// NewTable returns an empty table. The secret must be random and must not outlive the incarnation.
func NewTable(owner Owner, secret []byte, limits Limits) *Table {
	return &Table{
		owner:    owner,
		signer:   newSigner(secret),
		limits:   limits,
		next:     1,
		entries:  map[uint64]*entry{},
		order:    list.New(),
		storedBy: map[string]*accountEntries{},
	}
}

// UnsafeAllowReuse lets ended keys run again. Only tests call it, to show that their checks need the record of used keys.
func (t *Table) UnsafeAllowReuse() { t.allowReuse = true }

// Issue returns a new key for the account.
func (t *Table) Issue(account string) Key {
	sequence := t.next
	t.next++
	return Key{Owner: t.owner, Sequence: sequence, mac: bytes.Clone(t.signer.sign(account, sequence))}
}

// Owns reports whether this incarnation issued the key.
func (t *Table) Owns(key Key) bool { return key.Owner == t.owner }

// Begin decides what happens to a request with the key. A key of another incarnation, a wrong MAC and a key used with
// another content give an error and change nothing; outcomeOnError, empty without an error, is what the caller may be told
// then.
func (t *Table) Begin(account string, key Key, content Fingerprint) (d Decision, outcomeOnError Outcome, err error) {
	if !t.Owns(key) {
		return Decision{}, Unknown, errkind.New(errkind.Unknown, "ask the service whether the request ran",
			"request key belongs to another gateway incarnation")
	}
	if !t.signer.valid(account, key) || key.Sequence >= t.next {
		return Decision{}, NotRun, errkind.New(errkind.Forbidden, keyRemedy,
			"request key was not issued to this account")
	}
	e, known := t.entries[key.Sequence]
	if known && t.allowReuse && e.done {
		t.remove(e)
		known = false
	}
	if known {
		return t.repeat(e, content)
	}
	if t.used.Contains(key.Sequence) && !t.allowReuse {
		return Decision{Action: Replay, Result: evicted()}, "", nil
	}
	t.markUsed(key.Sequence)
	e = &entry{sequence: key.Sequence, account: account, fingerprint: content}
	t.entries[key.Sequence] = e
	return Decision{Action: Run, Attempts: &e.attempts}, "", nil
}

// repeat decides about a key that is running or whose result is stored.
func (t *Table) repeat(e *entry, content Fingerprint) (Decision, Outcome, error) {
	if e.fingerprint != content {
		// The first content may have run under this key. A caller whose retry differs by accident must not take this
		// for a permission to send the request again under a new key.
		outcome := Unknown
		if e.done && e.result.Outcome == NotRun {
			outcome = NotRun
		}
		return Decision{}, outcome, errkind.New(errkind.Conflict, "send each request under a key of its own",
			"request key was used with another method, path or body")
	}
	if !e.done {
		return Decision{Action: Join}, "", nil
	}
	return Decision{Action: Replay, Result: e.result}, "", nil
}

// evicted is the result of a key that was used and of which no more is known.
func evicted() Result {
	return Result{Outcome: Unknown, Err: errkind.New(errkind.Unknown, "ask the service whether the request ran",
		"the key was used and its result is no longer stored")}
}

// markUsed records that the key can never be begun again.
func (t *Table) markUsed(sequence uint64) {
	t.used.Add(sequence)
	for t.used.Len() > t.limits.Gaps {
		t.used.CloseOldestGap()
	}
}

// Finish ends a running key and stores its result under the byte budget. A request that ended as NotRun never runs
// under its key: a delayed copy of it could otherwise run after the caller was told that it did not.
func (t *Table) Finish(sequence uint64, result Result) {
	e, ok := t.entries[sequence]
	if !ok || e.done {
		return
	}
	e.attempts.CheckOutcome(result.Outcome)
	e.done = true
	e.result = result
	e.size = entryOverhead
	if result.Response != nil {
		e.size += result.Response.size()
	}
	own, ok := t.storedBy[e.account]
	if !ok {
		own = &accountEntries{}
		t.storedBy[e.account] = own
	}
	e.stored = t.order.PushBack(e)
	e.storedBy = own.order.PushBack(e)
	t.stored += e.size
	own.bytes += e.size
	t.evict(own)
}

// evict removes the oldest results until the account's and the whole budget are kept.
func (t *Table) evict(own *accountEntries) {
	for own.bytes > t.limits.StoredBytesPerAccount {
		t.remove(own.order.Front().Value.(*entry))
	}
	for t.stored > t.limits.StoredBytes && t.order.Len() > 0 {
		t.remove(t.order.Front().Value.(*entry))
	}
}

// remove forgets a stored result. Its sequence number stays used.
func (t *Table) remove(e *entry) {
	t.order.Remove(e.stored)
	t.stored -= e.size
	own := t.storedBy[e.account]
	own.order.Remove(e.storedBy)
	own.bytes -= e.size
	if own.bytes == 0 {
		delete(t.storedBy, e.account)
	}
	delete(t.entries, e.sequence)
}

// Size returns the number of running or stored keys, the stored bytes and the ranges of used sequence numbers.
func (t *Table) Size() (entries, storedBytes, ranges int) {
	return len(t.entries), t.stored, t.used.Len()
}

// Attempts follows the dispatches of one request. The zero value is a request that was not dispatched. It is not safe for
// concurrent use and needs no lock of the Table.
type Attempts struct {
	// Repeatable is set for idempotent requests, which may be dispatched again after an attempt without a response.
	Repeatable bool
	// pending is true from a dispatch until it is known that no byte of it was written or that it did not run.
	pending bool
	// earlier is true if an attempt before the last one may have run.
	earlier bool
}

// Dispatch records that a write to an endpoint is about to start.
func (a *Attempts) Dispatch() {
	invariant.Check(a.Repeatable || !a.MayHaveRun(), invariant.AtMostOnce,
		"request is dispatched again after an attempt that may have run")
	a.earlier = a.earlier || a.pending
	a.pending = true
}

// NotRun records that the last attempt wrote no byte or that the endpoint stated that it did not run.
func (a *Attempts) NotRun() { a.pending = false }

// MayHaveRun reports whether any attempt so far may have run.
func (a *Attempts) MayHaveRun() bool { return a.pending || a.earlier }

// CheckOutcome asserts that the outcome agrees with the attempts.
func (a *Attempts) CheckOutcome(outcome Outcome) {
	invariant.Check(outcome != NotRun || !a.MayHaveRun(), invariant.NotRunIsTrue,
		"outcome is not_run after an attempt that may have run")
}
