package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// Limits of a patch and of a name.
const (
	// MaxOps is the largest number of ops of one patch.
	MaxOps = 4096
	// MaxNameLength is the largest length of an item name in bytes.
	MaxNameLength = 64
	// MaxTextLength is the largest length of an author or reason in bytes.
	MaxTextLength = 512
)

// OpKind is what an op does to the item at its path.
type OpKind string

// The op kinds.
const (
	// OpSet adds the item or replaces it whole.
	OpSet OpKind = "set"
	// OpRemove deletes the item, which must exist.
	OpRemove OpKind = "remove"
)

// Op changes one item of a document.
type Op struct {
	Op OpKind `json:"op" cbor:"op"`
	// Path is "policy", "<section>/<name>" or "services/<name>/endpoints/<id>".
	Path string `json:"path" cbor:"path"`
	// Value is the JSON form of the item; used by set.
	Value json.RawMessage `json:"value,omitempty" cbor:"value,omitempty"`
}

// Patch is a change against a numbered version.
type Patch struct {
	// ID is chosen by the submitter; a second copy with the same id changes nothing.
	ID string `json:"id" cbor:"id"`
	// Base is the version that the patch was written against.
	Base   uint64 `json:"base" cbor:"base"`
	Author string `json:"author" cbor:"author"`
	Reason string `json:"reason" cbor:"reason"`
	Ops    []Op   `json:"ops" cbor:"ops"`
}

// Apply returns the document that patch makes of doc, one version later. It leaves doc unchanged. The error is a Conflict
// if the base is not the version of doc, else it lists every fault of the patch and of the resulting document.
func Apply(doc *Document, patch Patch) (*Document, error) {
	if patch.Base != doc.Version {
		return nil, errkind.New(errkind.Conflict,
			fmt.Sprintf("read version %d, check the change against it and submit it with base %d", doc.Version, doc.Version),
			"patch %q has base %d, but version %d is in force", patch.ID, patch.Base, doc.Version)
	}
	var faults faultList
	checkPatchHeader(&faults, patch)
	next := clone(doc)
	for i, op := range patch.Ops {
		applyOp(&faults, next, i, op)
	}
	if len(faults) > 0 {
		return nil, faults.err(fmt.Sprintf("patch %q", patch.ID))
	}
	next.Version = doc.Version + 1
	checkDocument(&faults, next)
	if len(faults) == 0 {
		checkGuarantees(&faults, doc, next)
	}
	if len(faults) > 0 {
		return nil, faults.err(fmt.Sprintf("patch %q", patch.ID))
	}
	return next, nil
}

// ApplyOps returns doc with ops applied and the given version, without validation of the result. It serves to rebuild
// versions whose ops were accepted before.
func ApplyOps(doc *Document, ops []Op, version uint64) (*Document, error) {
	var faults faultList
	next := clone(doc)
	for i, op := range ops {
		applyOp(&faults, next, i, op)
	}
	next.Version = version
	return next, faults.err("ops")
}

func checkPatchHeader(faults *faultList, patch Patch) {
	if !validName(patch.ID) {
		faults.add("id", nameRemedy, "patch id %q is not a name", patch.ID)
	}
	if patch.Author == "" || len(patch.Author) > MaxTextLength {
		faults.add("author", fmt.Sprintf("give the author in 1 to %d bytes", MaxTextLength), "author has %d bytes", len(patch.Author))
	}
	if patch.Reason == "" || len(patch.Reason) > MaxTextLength {
		faults.add("reason", fmt.Sprintf("give the reason in 1 to %d bytes", MaxTextLength), "reason has %d bytes", len(patch.Reason))
	}
	if len(patch.Ops) == 0 || len(patch.Ops) > MaxOps {
		faults.add("ops", fmt.Sprintf("give 1 to %d ops", MaxOps), "patch has %d ops", len(patch.Ops))
	}
}

// clone copies the maps of doc; items are shared, since they are replaced whole and never changed.
func clone(doc *Document) *Document {
	next := *doc
	next.FailureDomains = cloneMap(doc.FailureDomains)
	next.Workers = cloneMap(doc.Workers)
	next.Accounts = cloneMap(doc.Accounts)
	next.Services = cloneMap(doc.Services)
	next.Operators = cloneMap(doc.Operators)
	next.Drains = cloneMap(doc.Drains)
	return &next
}

func cloneMap[V any](m map[string]V) map[string]V {
	next := make(map[string]V, len(m)+1)
	for key, value := range m {
		next[key] = value
	}
	return next
}

// applyOp changes doc, whose maps belong to the caller.
func applyOp(faults *faultList, doc *Document, index int, op Op) {
	where := fmt.Sprintf("ops[%d] %s", index, op.Path)
	if op.Op != OpSet && op.Op != OpRemove {
		faults.add(where, `use op "set" or "remove"`, "unknown op %q", op.Op)
		return
	}
	parts := strings.Split(op.Path, "/")
	if op.Path == "policy" {
		applyPolicy(faults, doc, where, op)
		return
	}
	if len(parts) == 4 && parts[0] == "services" && parts[2] == "endpoints" {
		applyEndpoint(faults, doc, where, parts[1], parts[3], op)
		return
	}
	if len(parts) != 2 {
		faults.add(where, pathRemedy, "unknown path")
		return
	}
	name := parts[1]
	switch parts[0] {
	case "failure_domains":
		applyItem(faults, doc.FailureDomains, where, name, op, func(v *FailureDomain) *string { return &v.Name })
	case "workers":
		applyItem(faults, doc.Workers, where, name, op, func(v *resource.Worker) *string { return &v.ID })
	case "accounts":
		applyItem(faults, doc.Accounts, where, name, op, func(v *Account) *string { return &v.Name })
	case "services":
		applyItem(faults, doc.Services, where, name, op, func(v *Service) *string { return &v.Name })
	case "operators":
		applyItem(faults, doc.Operators, where, name, op, func(v *Operator) *string { return &v.Name })
	case "drains":
		applyItem(faults, doc.Drains, where, name, op, func(v *Drain) *string { return &v.VM })
	default:
		faults.add(where, pathRemedy, "unknown section %q", parts[0])
	}
}

const pathRemedy = "use policy, failure_domains/F, workers/W, accounts/A, operators/O, drains/V, services/S or " +
	"services/S/endpoints/E"

func applyPolicy(faults *faultList, doc *Document, where string, op Op) {
	if op.Op == OpRemove {
		faults.add(where, "set the policy to the values wanted", "the policy cannot be removed")
		return
	}
	var policy Policy
	if decodeValue(faults, where, op.Value, &policy) {
		doc.Policy = policy
	}
}

func applyEndpoint(faults *faultList, doc *Document, where, service, id string, op Op) {
	s, ok := doc.Services[service]
	if !ok {
		faults.add(where, "set services/"+service+" first", "service %q is not configured", service)
		return
	}
	s.Endpoints = cloneMap(s.Endpoints)
	applyItem(faults, s.Endpoints, where, id, op, func(v *Endpoint) *string { return &v.ID })
	doc.Services[service] = s
}

// applyItem sets or removes one item; key returns the item's own name, which must be empty or the name in the path.
func applyItem[V any](faults *faultList, items map[string]V, where, name string, op Op, key func(*V) *string) {
	if op.Op == OpRemove {
		if _, ok := items[name]; !ok {
			faults.add(where, "leave the op out or correct the name", "there is nothing to remove")
			return
		}
		delete(items, name)
		return
	}
	var value V
	if !decodeValue(faults, where, op.Value, &value) {
		return
	}
	own := key(&value)
	if *own != "" && *own != name {
		faults.add(where, "make the name in the value equal to that in the path", "value is named %q", *own)
		return
	}
	*own = name
	items[name] = value
}

func decodeValue(faults *faultList, where string, raw json.RawMessage, into any) bool {
	if err := decodeStrict(raw, into); err != nil {
		faults.add(where, "give the item as a JSON object with known fields", "value cannot be read: %v", err)
		return false
	}
	return true
}

// decodeStrict reads exactly one JSON value with known fields only.
func decodeStrict(raw []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if decoder.More() {
		return fmt.Errorf("there is text after the value")
	}
	return nil
}

// DecodeDocument reads a document from JSON, refuses unknown fields, and validates it.
func DecodeDocument(raw []byte) (*Document, error) {
	var doc Document
	if err := decodeStrict(raw, &doc); err != nil {
		return nil, errkind.Wrap(err, errkind.BadInput, "correct the JSON", "document cannot be read")
	}
	normalised := Normalise(&doc)
	return normalised, Validate(normalised)
}

// Normalise returns doc with the names of items filled in from their keys and without nil maps, so that equal
// configurations have equal encodings.
func Normalise(doc *Document) *Document {
	next := clone(doc)
	fillNames(next.FailureDomains, func(v *FailureDomain) *string { return &v.Name })
	fillNames(next.Workers, func(v *resource.Worker) *string { return &v.ID })
	fillNames(next.Accounts, func(v *Account) *string { return &v.Name })
	fillNames(next.Operators, func(v *Operator) *string { return &v.Name })
	fillNames(next.Drains, func(v *Drain) *string { return &v.VM })
	fillNames(next.Services, func(v *Service) *string { return &v.Name })
	for name, s := range next.Services {
		s.Endpoints = cloneMap(s.Endpoints)
		fillNames(s.Endpoints, func(v *Endpoint) *string { return &v.ID })
		next.Services[name] = s
	}
	return next
}

func fillNames[V any](items map[string]V, key func(*V) *string) {
	for name, value := range items {
		if own := key(&value); *own == "" {
			*own = name
		}
		items[name] = value
	}
}
