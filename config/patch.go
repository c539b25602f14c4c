package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/redwingthread/redwingthread/errkind"
	"github.com/redwingthread/redwingthread/resource"
)

// Size limits of a patch and of its parts.
const (
	// MaxOps is the largest number of ops of one patch.
	MaxOps = 4096
	// MaxNameLength is the largest length of an item name in bytes.
	MaxNameLength = 64
	// MaxTextLength is the largest length of an author or a reason in bytes.
	MaxTextLength = 512
)

// OpKind specifies what an op does to the item at its path.
type OpKind string

// The op kinds.
const (
	// OpSet adds the item or replaces it completely.
	OpSet OpKind = "set"
	// OpRemove deletes the item, which must exist.
	OpRemove OpKind = "remove"
)

// Op changes one item of a document.
type Op struct {
	Op OpKind `json:"op" cbor:"op"`
	// Path is "policy", "<section>/<name>" or "services/<name>/endpoints/<id>".
	Path string `json:"path" cbor:"path"`
	// Value is the JSON form of the item. Only OpSet uses it.
	Value json.RawMessage `json:"value,omitempty" cbor:"value,omitempty"`
}

// Patch is a list of changes to one version of the configuration.
type Patch struct {
	// ID is chosen by the submitter. A second patch with the same id has no effect.
	ID string `json:"id" cbor:"id"`
	// Base is the version that the patch applies to.
	Base   uint64 `json:"base" cbor:"base"`
	Author string `json:"author" cbor:"author"`
	Reason string `json:"reason" cbor:"reason"`
	Ops    []Op   `json:"ops" cbor:"ops"`
}

// Apply applies patch to doc and returns the resulting document, whose version is one higher. It leaves doc unchanged. The
// error is a Conflict if the base is not the version of doc. Otherwise it wraps a FaultsError with every fault of the patch
// or, if the patch itself is valid, of the resulting document.
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

// ApplyOps returns a copy of doc with ops applied and the given version. It does not validate the result: it rebuilds
// versions whose ops were accepted before. If an op cannot be applied, the error wraps a FaultsError and the returned
// document lacks the change of that op.
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

// clone copies doc and its maps. The items are shared, since they are replaced as a whole and never modified.
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

// applyOp modifies doc in place; the caller must own its maps. index is the position of the op in its patch.
func applyOp(faults *faultList, doc *Document, index int, op Op) {
	opPath := fmt.Sprintf("ops[%d] %s", index, op.Path)
	if op.Op != OpSet && op.Op != OpRemove {
		faults.add(opPath, `use op "set" or "remove"`, "unknown op %q", op.Op)
		return
	}
	parts := strings.Split(op.Path, "/")
	if op.Path == "policy" {
		applyPolicy(faults, doc, opPath, op)
		return
	}
	if len(parts) == 4 && parts[0] == "services" && parts[2] == "endpoints" {
		applyEndpoint(faults, doc, opPath, parts[1], parts[3], op)
		return
	}
	if len(parts) != 2 {
		faults.add(opPath, pathRemedy, "unknown path")
		return
	}
	name := parts[1]
	switch parts[0] {
	case "failure_domains":
		applyItem(faults, doc.FailureDomains, opPath, name, op, func(v *FailureDomain) *string { return &v.Name })
	case "workers":
		applyItem(faults, doc.Workers, opPath, name, op, func(v *resource.Worker) *string { return &v.ID })
	case "accounts":
		applyItem(faults, doc.Accounts, opPath, name, op, func(v *Account) *string { return &v.Name })
	case "services":
		applyItem(faults, doc.Services, opPath, name, op, func(v *Service) *string { return &v.Name })
	case "operators":
		applyItem(faults, doc.Operators, opPath, name, op, func(v *Operator) *string { return &v.Name })
	case "drains":
		applyItem(faults, doc.Drains, opPath, name, op, func(v *Drain) *string { return &v.VM })
	default:
		faults.add(opPath, pathRemedy, "unknown section %q", parts[0])
	}
}

const pathRemedy = "use policy, failure_domains/F, workers/W, accounts/A, operators/O, drains/V, services/S or " +
	"services/S/endpoints/E"

func applyPolicy(faults *faultList, doc *Document, opPath string, op Op) {
	if op.Op == OpRemove {
		faults.add(opPath, "set the policy to the values wanted", "the policy cannot be removed")
		return
	}
	var policy Policy
	if decodeValue(faults, opPath, op.Value, &policy) {
		doc.Policy = policy
	}
}

func applyEndpoint(faults *faultList, doc *Document, opPath, service, id string, op Op) {
	s, ok := doc.Services[service]
	if !ok {
		faults.add(opPath, "set services/"+service+" first", "service %q is not configured", service)
		return
	}
	s.Endpoints = cloneMap(s.Endpoints)
	applyItem(faults, s.Endpoints, opPath, id, op, func(v *Endpoint) *string { return &v.ID })
	doc.Services[service] = s
}

// applyItem sets or removes one item. nameField returns a pointer to the item's name, which must be empty or equal to the
// name in the path.
func applyItem[V any](faults *faultList, items map[string]V, opPath, name string, op Op, nameField func(*V) *string) {
	if op.Op == OpRemove {
		if _, ok := items[name]; !ok {
			faults.add(opPath, "leave the op out or correct the name", "there is nothing to remove")
			return
		}
		delete(items, name)
		return
	}
	var value V
	if !decodeValue(faults, opPath, op.Value, &value) {
		return
	}
	itemName := nameField(&value)
	if *itemName != "" && *itemName != name {
		faults.add(opPath, "make the name in the value equal to that in the path", "value is named %q", *itemName)
		return
	}
	*itemName = name
	items[name] = value
}

// decodeValue decodes the value of an op into the variable that into points to. It adds a fault and returns false if that
// fails.
func decodeValue(faults *faultList, opPath string, raw json.RawMessage, into any) bool {
	if err := decodeStrict(raw, into); err != nil {
		faults.add(opPath, "give the item as a JSON object with known fields", "value cannot be read: %v", err)
		return false
	}
	return true
}

// decodeStrict decodes raw, which must hold exactly one JSON value without unknown fields.
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

// DecodeDocument decodes a document from JSON, rejects unknown fields, and normalises and validates the document. An error
// has the kind BadInput or one that Validate returns; an invalid document is returned with its error.
func DecodeDocument(raw []byte) (*Document, error) {
	var doc Document
	if err := decodeStrict(raw, &doc); err != nil {
		return nil, errkind.Wrap(err, errkind.BadInput, "correct the JSON", "cannot decode configuration document")
	}
	normalised := Normalise(&doc)
	return normalised, Validate(normalised)
}

// Normalise returns a copy of doc in which empty item names are set from the map keys and nil maps are replaced by empty
// ones, so that equal configurations have equal encodings.
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

func fillNames[V any](items map[string]V, nameField func(*V) *string) {
	for name, value := range items {
		if itemName := nameField(&value); *itemName == "" {
			*itemName = name
		}
		items[name] = value
	}
}
