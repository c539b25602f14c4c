package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"reflect"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/errkind"
)

// encMode sorts map keys and uses the shortest encodings, so that equal values have equal encodings in every process.
var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the canonical CBOR encoding of doc. An error has the kind Internal.
func Encode(doc *Document) ([]byte, error) {
	raw, err := encMode.Marshal(doc)
	return raw, errkind.Wrap(err, errkind.Internal, "report this as a bug", "cannot encode configuration document")
}

// Decode decodes a document encoded by Encode. It does not validate the document. An error has the kind BadInput.
func Decode(raw []byte) (*Document, error) {
	var doc Document
	if err := cbor.Unmarshal(raw, &doc); err != nil {
		return nil, errkind.Wrap(err, errkind.BadInput, "fetch the document from another source",
			"cannot decode configuration document")
	}
	return &doc, nil
}

// Digest returns a 64-bit digest of the canonical encoding of doc, or 0 if doc cannot be encoded. The digest detects
// divergence between processes; it is not cryptographic and does not protect against forgery.
func Digest(doc *Document) uint64 {
	raw, err := Encode(doc)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(raw)
}

// TokenDigest returns the lower-case hex SHA-256 digest of a bearer token.
func TokenDigest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// ValidTokenDigest reports whether s has the form of a token digest.
func ValidTokenDigest(s string) bool {
	if len(s) != sha256.Size*2 {
		return false
	}
	for _, c := range []byte(s) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// SameTokenDigest reports whether two token digests are equal. For digests of equal length, its time does not depend on
// where they differ.
func SameTokenDigest(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// Diff returns the ops that turn document a into document b, ordered by section. Within a section the changed items come
// before the removed ones, each ordered by name. If only endpoints of a service differ, the result has one op for each
// changed endpoint instead of one for the service. Diff ignores the versions of the documents.
func Diff(a, b *Document) []Op {
	var ops []Op
	ops = diffItems(ops, "failure_domains/", a.FailureDomains, b.FailureDomains)
	ops = diffItems(ops, "workers/", a.Workers, b.Workers)
	ops = diffItems(ops, "accounts/", a.Accounts, b.Accounts)
	ops = diffServices(ops, a.Services, b.Services)
	ops = diffItems(ops, "operators/", a.Operators, b.Operators)
	ops = diffItems(ops, "drains/", a.Drains, b.Drains)
	if a.Policy != b.Policy {
		ops = append(ops, setOp("policy", b.Policy))
	}
	return ops
}

// diffItems appends to ops the ops that turn the items a of one section into b. prefix is the path of the section with a
// trailing slash.
func diffItems[V any](ops []Op, prefix string, a, b map[string]V) []Op {
	var changed, removed []string
	for key, value := range b {
		if old, ok := a[key]; !ok || !reflect.DeepEqual(old, value) {
			changed = append(changed, key)
		}
	}
	for key := range a {
		if _, ok := b[key]; !ok {
			removed = append(removed, key)
		}
	}
	for _, key := range sortedStrings(changed) {
		ops = append(ops, setOp(prefix+key, b[key]))
	}
	for _, key := range sortedStrings(removed) {
		ops = append(ops, Op{Op: OpRemove, Path: prefix + key})
	}
	return ops
}

func diffServices(ops []Op, a, b map[string]Service) []Op {
	for _, name := range sortedKeys(b) {
		old, ok := a[name]
		withNewEndpoints := old // the old service with the endpoints of b
		withNewEndpoints.Endpoints = b[name].Endpoints
		if !ok || !reflect.DeepEqual(withNewEndpoints, b[name]) {
			ops = append(ops, setOp("services/"+name, b[name]))
			continue
		}
		ops = diffItems(ops, "services/"+name+"/endpoints/", old.Endpoints, b[name].Endpoints)
	}
	for _, name := range sortedKeys(a) {
		if _, ok := b[name]; !ok {
			ops = append(ops, Op{Op: OpRemove, Path: "services/" + name})
		}
	}
	return ops
}

func setOp(path string, value any) Op {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // cannot happen: items hold no channels, functions or non-finite numbers
	}
	return Op{Op: OpSet, Path: path, Value: raw}
}

func sortedStrings(s []string) []string {
	slices.Sort(s)
	return s
}
