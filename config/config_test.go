package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// sampleDocument returns a valid document with one failure domain. Its racks hold eight workers of eight accelerators each.
func sampleDocument(workers int) *Document {
	doc := &Document{
		FailureDomains: map[string]FailureDomain{"fd-a": {Region: "north"}},
		Workers:        map[string]resource.Worker{},
		Accounts:       map[string]Account{"orders": {TokenDigest: TokenDigest("orders"), Weight: 1}},
		Operators:      map[string]Operator{"ana": {TokenDigest: TokenDigest("ana")}},
		Policy:         DefaultPolicy(),
	}
	for i := range workers {
		doc.Workers[fmt.Sprintf("w-%03d", i)] = resource.Worker{
			FailureDomain: "fd-a", Rack: fmt.Sprintf("r-%02d", i/8), Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250+1),
			Capacity: resource.Resources{Accelerators: 8, MilliCPU: 32_000, MemoryMB: 64 << 10},
		}
	}
	return Normalise(doc)
}

// op returns an op that sets the item at path to value.
func op(path string, value any) Op {
	raw := must(json.Marshal(value))
	return Op{Op: OpSet, Path: path, Value: raw}
}

func gangShape(members, accelerators int, adjacency resource.Adjacency) resource.Shape {
	return resource.Shape{Members: members, Adjacency: adjacency,
		PerMember: resource.Resources{Accelerators: accelerators, MilliCPU: 1000, MemoryMB: 1024}}
}

// guaranteeOp returns the op that sets the only guarantee of account orders.
func guaranteeOp(shape resource.Shape, count int) Op {
	return op("accounts/orders", Account{TokenDigest: TokenDigest("orders"), Weight: 1,
		Guarantees: []Guarantee{{FailureDomain: "fd-a", Shape: shape, Count: count}}})
}

// TestApply guards against accepting an invalid patch or rejecting a valid one, against an error that has the wrong kind, no
// remedy or no mention of the faulty item, and against a change to the document that a patch is applied to.
func TestApply(t *testing.T) {
	cases := map[string]struct {
		ops      []Op
		kind     errkind.Kind
		wantText []string
	}{
		"valid":            {ops: []Op{op("drains/vm-3", Drain{Reason: "disk"}), op("policy", DefaultPolicy())}},
		"endpoint":         {ops: []Op{op("services/scan", Service{TimeoutMS: 100, MaxBodyBytes: 10}), op("services/scan/endpoints/e-1", Endpoint{FailureDomain: "fd-a", Address: "10.0.0.1:80", Slots: 8, MaxConnections: 64})}},
		"unknown section":  {ops: []Op{op("teams/x", 1)}, kind: errkind.BadInput, wantText: []string{"teams"}},
		"unknown op":       {ops: []Op{{Op: "merge", Path: "policy"}}, kind: errkind.BadInput, wantText: []string{"merge"}},
		"unknown field":    {ops: []Op{{Op: OpSet, Path: "drains/vm-3", Value: []byte(`{"why":1}`)}}, kind: errkind.BadInput, wantText: []string{"why"}},
		"not JSON":         {ops: []Op{{Op: OpSet, Path: "drains/vm-3", Value: []byte(`{`)}}, kind: errkind.BadInput},
		"trailing text":    {ops: []Op{{Op: OpSet, Path: "drains/vm-3", Value: []byte(`{} {}`)}}, kind: errkind.BadInput},
		"remove absent":    {ops: []Op{{Op: OpRemove, Path: "workers/w-9"}}, kind: errkind.BadInput, wantText: []string{"nothing to remove"}},
		"remove policy":    {ops: []Op{{Op: OpRemove, Path: "policy"}}, kind: errkind.BadInput},
		"other name":       {ops: []Op{op("drains/vm-3", Drain{VM: "vm-4"})}, kind: errkind.BadInput, wantText: []string{"vm-4"}},
		"bad name":         {ops: []Op{op("drains/vm 3", Drain{})}, kind: errkind.BadInput},
		"last operator":    {ops: []Op{{Op: OpRemove, Path: "operators/ana"}}, kind: errkind.BadInput, wantText: []string{"operator"}},
		"shared token":     {ops: []Op{op("operators/bo", Operator{TokenDigest: TokenDigest("ana")})}, kind: errkind.BadInput, wantText: []string{"operators/ana"}},
		"used domain":      {ops: []Op{{Op: OpRemove, Path: "failure_domains/fd-a"}}, kind: errkind.BadInput, wantText: []string{"fd-a"}},
		"host name":        {ops: []Op{op("workers/w-9", resource.Worker{FailureDomain: "fd-a", Rack: "r", Address: "host:80", Capacity: resource.Resources{MilliCPU: 1, MemoryMB: 1}})}, kind: errkind.BadInput, wantText: []string{"host:80"}},
		"endpoint only":    {ops: []Op{op("services/scan/endpoints/e-1", Endpoint{})}, kind: errkind.BadInput, wantText: []string{"services/scan"}},
		"fewer than seats": {ops: []Op{op("services/scan", Service{TimeoutMS: 100, MaxBodyBytes: 10}), op("services/scan/endpoints/e-1", Endpoint{FailureDomain: "fd-a", Address: "10.0.0.1:80", Slots: 8, MaxConnections: 5})}, kind: errkind.BadInput, wantText: []string{"seats"}},
		"quota below":      {ops: []Op{op("accounts/orders", Account{TokenDigest: TokenDigest("orders"), Weight: 1, Quota: 3, Guarantees: []Guarantee{{FailureDomain: "fd-a", Shape: gangShape(1, 4, "none"), Count: 1}}})}, kind: errkind.BadInput, wantText: []string{"quota"}},
		"every fault":      {ops: []Op{op("teams/x", 1), op("drains/a b", 1), {Op: OpRemove, Path: "workers/none"}}, kind: errkind.BadInput, wantText: []string{"ops[0]", "ops[1]", "ops[2]"}},
		"unpackable count": {ops: []Op{guaranteeOp(gangShape(1, 8, "none"), 9)}, kind: errkind.Infeasible, wantText: []string{"account orders", "failure domain fd-a"}},
		"unpackable rack":  {ops: []Op{guaranteeOp(gangShape(9, 8, "rack"), 1)}, kind: errkind.Infeasible, wantText: []string{"account orders", "failure domain fd-a"}},
		"unpackable host":  {ops: []Op{guaranteeOp(gangShape(2, 5, "worker"), 1)}, kind: errkind.Infeasible, wantText: []string{"adjacency worker"}},
		"workers removed":  {ops: []Op{guaranteeOp(gangShape(8, 8, "rack"), 1), {Op: OpRemove, Path: "workers/w-001"}}, kind: errkind.Infeasible, wantText: []string{"account orders"}},
		"packable":         {ops: []Op{guaranteeOp(gangShape(8, 8, "rack"), 1)}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			doc := sampleDocument(8)
			before := Digest(doc)
			next, err := Apply(doc, Patch{ID: "p-1", Author: "ana", Reason: "test", Ops: c.ops})
			if Digest(doc) != before {
				t.Error("Apply changed its argument")
			}
			if got := errkind.KindOf(err); got != c.kind {
				t.Fatalf("kind %q, want %q: %v", got, c.kind, err)
			}
			if err == nil {
				if next.Version != 1 {
					t.Errorf("version %d, want 1", next.Version)
				}
				return
			}
			typed := errkind.As(err)
			var faults *FaultsError
			if typed.Remedy == "" || !errors.As(err, &faults) {
				t.Errorf("error has no remedy or does not wrap a FaultsError: %v", err)
			}
			for _, text := range c.wantText {
				if !strings.Contains(typed.Message, text) {
					t.Errorf("message %q does not contain %q", typed.Message, text)
				}
			}
		})
	}
}

// TestApplyRejectsOtherBase guards against applying a patch to a version other than its base.
func TestApplyRejectsOtherBase(t *testing.T) {
	_, err := Apply(sampleDocument(1), Patch{ID: "p", Base: 1, Author: "ana", Reason: "r", Ops: []Op{op("drains/v", Drain{})}})
	if !errkind.Is(err, errkind.Conflict) {
		t.Fatalf("got error %v, want conflict", err)
	}
}

// TestDiff guards against a diff that omits a change or contains one that is not needed: its ops must turn each document
// into the other, and there must be none between equal documents.
func TestDiff(t *testing.T) {
	a := sampleDocument(4)
	b, err := Apply(a, Patch{ID: "p", Author: "ana", Reason: "r", Ops: []Op{
		guaranteeOp(gangShape(1, 1, "none"), 1), op("services/scan", Service{TimeoutMS: 1, MaxBodyBytes: 1}),
		op("services/scan/endpoints/e", Endpoint{FailureDomain: "fd-a", Address: "10.0.0.1:80", Slots: 1, MaxConnections: 8}),
		{Op: OpRemove, Path: "workers/w-003"}}})
	if err != nil {
		t.Fatal(err)
	}
	c := must(Apply(b, Patch{ID: "q", Base: 1, Author: "ana", Reason: "r", Ops: []Op{{Op: OpRemove, Path: "services/scan/endpoints/e"}}}))
	for _, pair := range [][2]*Document{{a, b}, {b, a}, {b, c}, {c, b}, {a, c}, {c, a}} {
		got, err := ApplyOps(pair[0], Diff(pair[0], pair[1]), pair[1].Version)
		if err != nil || Digest(got) != Digest(pair[1]) {
			t.Errorf("diff from version %d does not reproduce version %d: %v", pair[0].Version, pair[1].Version, err)
		}
	}
	if ops := Diff(b, b); len(ops) != 0 {
		t.Errorf("diff of equal documents is not empty: %v", ops)
	}
}

// TestDescribe guards against a description that omits a change or an op that cannot be applied, or exposes a complete token
// digest.
func TestDescribe(t *testing.T) {
	got := strings.Join(Describe(sampleDocument(1), []Op{
		op("accounts/orders", Account{TokenDigest: TokenDigest("new"), Weight: 2}), op("drains/v", Drain{Reason: "disk"}),
		{Op: OpRemove, Path: "workers/w-000"}, {Op: OpRemove, Path: "workers/none"}}), "\n")
	for _, want := range []string{"accounts/orders weight: 1 -> 2", "token_digest: " + TokenDigest("orders")[:8] + "... -> ",
		`drains/v: added, reason "disk"`, "workers/w-000: removed", "workers/none: not possible"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q does not contain %q", got, want)
		}
	}
	if strings.Contains(got, TokenDigest("new")) {
		t.Error("description contains a complete token digest")
	}
}

// TestCanonicalEncoding guards against equal documents with different digests, which would raise a false divergence alarm,
// and against different documents with equal digests, which would hide a divergence.
func TestCanonicalEncoding(t *testing.T) {
	doc := sampleDocument(50)
	raw := must(Encode(doc))
	decoded, err := Decode(raw)
	if err != nil || Digest(decoded) != Digest(doc) {
		t.Fatalf("digest changed after encoding and decoding: %v", err)
	}
	decoded.Policy.MaxWaitMS++
	if Digest(decoded) == Digest(doc) {
		t.Fatal("digest did not change with the document")
	}
}

// TestTokenDigest guards against a token digest that does not match its token or matches another one, and against accepting
// a malformed digest.
func TestTokenDigest(t *testing.T) {
	digest := TokenDigest("secret")
	if !ValidTokenDigest(digest) || !SameTokenDigest(digest, TokenDigest("secret")) || SameTokenDigest(digest, TokenDigest("other")) {
		t.Error("token digest is invalid, does not match its token or matches another token")
	}
	if ValidTokenDigest(strings.ToUpper(digest)) || ValidTokenDigest(digest[1:]) || ValidTokenDigest("") {
		t.Error("malformed token digest was accepted")
	}
}

// must returns value, or panics if err is not nil. It is for calls that only fail if the test itself is wrong.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
