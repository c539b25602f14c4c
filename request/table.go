package request

import (
	"bytes"
	"container/list"
	"net/http"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/invariant"
)

// Fingerprint identifies the content of a request. A key is bound to the first fingerprint with which it is used.
type Fingerprint struct {
	Method string
	// Path is the service name, the escaped path below it and the query.
	Path string
	// BodyDigest is the SHA-256 digest of the body.
	BodyDigest [32]byte
}

// Response is a complete response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// size estimates the memory of a stored response, in bytes.
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

// Result is the result of a request. Response is set if Outcome is Completed; Err is set otherwise.
type Result struct {
	Outcome  Outcome
	Response *Response
	Err      error
}

// Action is what the owner of a key must do with a request.
type Action int

// The actions.
const (
	// Run means that this request may be dispatched. No other request with the key may.
	Run Action = iota + 1
	// Join means that a request with the key is running. This request must wait for its result.
	Join
	// Replay means that the request with the key has finished and Decision.Result is its result. Result.Response is nil
	// if the request was not completed or its result was evicted.
	Replay
)

// Decision is the result of Table.Begin.
type Decision struct {
	Action Action
	// Attempts is set if Action is Run. Until Finish, only the code that runs the request may use it.
	Attempts *Attempts
	// Result is set if Action is Replay.
	Result Result
}

// Limits limits the memory of a Table.
type Limits struct {
	// StoredBytes is the maximum total size of the stored results of all accounts.
	StoredBytes int
	// StoredBytesPerAccount is the maximum total size of the stored results of one account. It keeps one account from
	// evicting the results of the others.
	StoredBytesPerAccount int
	// Gaps is the maximum number of ranges of used keys, which are separated by gaps of unused ones. Above it, the keys
	// in the oldest gap become unusable.
	Gaps int
}

// DefaultLimits returns limits that keep the memory of a table below about 20 MB.
func DefaultLimits() Limits {
	return Limits{StoredBytes: 16 << 20, StoredBytesPerAccount: 6 << 20, Gaps: 16384}
}

// entryOverhead is the estimated memory of a stored result without its response, in bytes.
const entryOverhead = 512

// entry is the state of a key that is running or whose result is stored.
type entry struct {
	sequence    uint64
	account     string
	fingerprint Fingerprint
	attempts    Attempts
	// done is true once result is stored.
	done   bool
	result Result
	// size is the estimated memory of the stored result, in bytes.
	size int
	// stored and storedInAccount are the elements of the entry in Table.order and in the account's order. They are nil
	// until the result is stored.
	stored          *list.Element
	storedInAccount *list.Element
}

// accountEntries lists the stored entries of one account, oldest first, with their total size in bytes.
type accountEntries struct {
	order list.List
	bytes int
}

// Table holds the keys issued by one gateway incarnation. A key is issued, then running, then done with a stored
// result, then done with its result evicted. It never returns to an earlier state.
type Table struct {
	owner  Owner
	signer *signer
	limits Limits
	// next is the sequence number of the next key.
	next uint64
	// used holds the sequence numbers of keys that were begun or have become unusable.
	used IntervalSet
	// entries holds the keys that are running or have a stored result, by sequence number.
	entries map[uint64]*entry
	// order lists the stored entries, oldest first.
	order *list.List
	// stored is the total size of the stored entries in bytes.
	stored int
	// storedByAccount holds the stored entries of each account by its name.
	storedByAccount map[string]*accountEntries
	// allowReuse is set by UnsafeAllowReuse.
	allowReuse bool
}

// NewTable returns an empty table. The secret must be random and must not be used beyond the incarnation.
func NewTable(owner Owner, secret []byte, limits Limits) *Table {
	return &Table{
		owner:           owner,
		signer:          newSigner(secret),
		limits:          limits,
		next:            1,
		entries:         map[uint64]*entry{},
		order:           list.New(),
		storedByAccount: map[string]*accountEntries{},
	}
}

// UnsafeAllowReuse lets the requests of finished keys run again. Only tests call it, to show that their checks detect a
// missing record of used keys.
func (t *Table) UnsafeAllowReuse() { t.allowReuse = true }

// Issue returns a new key for the account.
func (t *Table) Issue(account string) Key {
	sequence := t.next
	t.next++
	return Key{Owner: t.owner, Sequence: sequence, mac: bytes.Clone(t.signer.sign(account, sequence))}
}

// Owns reports whether this incarnation issued the key.
func (t *Table) Owns(key Key) bool { return key.Owner == t.owner }

// Begin decides what to do with a request that has the key. It returns an error and changes nothing if another
// incarnation issued the key (kind Unknown), the key was not issued to the account (Forbidden) or the key was used with
// other content (Conflict). outcomeOnError is the outcome of the request in these cases; it is empty without an error.
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
		return t.decideRepeat(e, content)
	}
	if t.used.Contains(key.Sequence) && !t.allowReuse {
		return Decision{Action: Replay, Result: evictedResult()}, "", nil
	}
	t.markUsed(key.Sequence)
	e = &entry{sequence: key.Sequence, account: account, fingerprint: content}
	t.entries[key.Sequence] = e
	return Decision{Action: Run, Attempts: &e.attempts}, "", nil
}

// decideRepeat returns the decision of Begin for a key that is running or whose result is stored.
func (t *Table) decideRepeat(e *entry, content Fingerprint) (Decision, Outcome, error) {
	if e.fingerprint != content {
		// The request with the first content may have run. A caller whose retry differs by accident must not conclude
		// that it is safe to send the request again under a new key.
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

// evictedResult returns the result of a key that is used and has no stored result.
func evictedResult() Result {
	return Result{Outcome: Unknown, Err: errkind.New(errkind.Unknown, "ask the service whether the request ran",
		"the key was used and its result is no longer stored")}
}

// markUsed records that the key must never be begun again. It closes the oldest gaps above Limits.Gaps.
func (t *Table) markUsed(sequence uint64) {
	t.used.Add(sequence)
	for t.used.Len() > t.limits.Gaps {
		t.used.CloseOldestGap()
	}
}

// Finish stores the result of a running key and evicts old results above the limits. It does nothing if the key is not
// running. A key that finished as NotRun stays used: a delayed copy of the request could otherwise run after the caller
// was told that it did not run.
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
	own, ok := t.storedByAccount[e.account]
	if !ok {
		own = &accountEntries{}
		t.storedByAccount[e.account] = own
	}
	e.stored = t.order.PushBack(e)
	e.storedInAccount = own.order.PushBack(e)
	t.stored += e.size
	own.bytes += e.size
	t.evict(own)
}

// evict removes the oldest results until the limits of the account and of the table are met.
func (t *Table) evict(own *accountEntries) {
	for own.bytes > t.limits.StoredBytesPerAccount {
		t.remove(own.order.Front().Value.(*entry))
	}
	for t.stored > t.limits.StoredBytes && t.order.Len() > 0 {
		t.remove(t.order.Front().Value.(*entry))
	}
}

// remove removes a stored result. Its key stays used.
func (t *Table) remove(e *entry) {
	t.order.Remove(e.stored)
	t.stored -= e.size
	own := t.storedByAccount[e.account]
	own.order.Remove(e.storedInAccount)
	own.bytes -= e.size
	if own.bytes == 0 {
		delete(t.storedByAccount, e.account)
	}
	delete(t.entries, e.sequence)
}

// Size returns the number of keys that are running or have a stored result, the size of the stored results in bytes,
// and the number of ranges of used sequence numbers.
func (t *Table) Size() (entries, storedBytes, ranges int) {
	return len(t.entries), t.stored, t.used.Len()
}

// Attempts tracks the attempts to dispatch one request. The zero value is a request that was not dispatched. It is not
// safe for concurrent use, but can be used without synchronisation with its Table.
type Attempts struct {
	// Idempotent is set for idempotent requests, which may be dispatched again after an attempt without a response.
	Idempotent bool
	// lastMayHaveRun is true from the last dispatch until it is known that no byte was written or that the request did
	// not run.
	lastMayHaveRun bool
	// earlierMayHaveRun is true if an attempt before the last one may have run.
	earlierMayHaveRun bool
}

// Dispatch records that a write to an endpoint is about to start. It asserts that a request that may have run is not
// dispatched again, unless it is idempotent.
func (a *Attempts) Dispatch() {
	invariant.Check(a.Idempotent || !a.MayHaveRun(), invariant.AtMostOnce,
		"request is dispatched again after an attempt that may have run")
	a.earlierMayHaveRun = a.earlierMayHaveRun || a.lastMayHaveRun
	a.lastMayHaveRun = true
}

// NotRun records that the last attempt wrote no byte or that the endpoint stated that the request did not run.
func (a *Attempts) NotRun() { a.lastMayHaveRun = false }

// MayHaveRun reports whether the request may have run in any attempt so far.
func (a *Attempts) MayHaveRun() bool { return a.lastMayHaveRun || a.earlierMayHaveRun }

// CheckOutcome asserts that the outcome is consistent with the attempts.
func (a *Attempts) CheckOutcome(outcome Outcome) {
	invariant.Check(outcome != NotRun || !a.MayHaveRun(), invariant.NotRunIsTrue,
		"outcome is not_run after an attempt that may have run")
}
