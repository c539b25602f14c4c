package operatorclient

import (
	"bytes"
	"encoding/json"
	"sort"

	"github.com/redwingthread/redwingthread/errkind"
)

// Diff returns the ops that turn document a into document b, by section and name. An item that differs is set whole.
func Diff(a, b *Document) ([]Op, error) {
	before, err := items(a)
	if err != nil {
		return nil, err
	}
	after, err := items(b)
	if err != nil {
		return nil, err
	}
	ops := []Op{}
	for path, value := range after {
		if !bytes.Equal(before[path], value) {
			ops = append(ops, Op{Op: OpSet, Path: path, Value: value})
		}
	}
	for path := range before {
		if _, ok := after[path]; !ok {
			ops = append(ops, Op{Op: OpRemove, Path: path})
		}
	}
	sort.Slice(ops, func(i, j int) bool { return ops[i].Path < ops[j].Path })
	return ops, nil
}

// items returns the items of a document by path. Maps are encoded in order of their keys, so equal items have equal
// bytes.
func items(doc *Document) (map[string]json.RawMessage, error) {
	raw, err := json.Marshal(doc)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this", "document of version %d", doc.Version)
	}
	var sections map[string]json.RawMessage
	if err := json.Unmarshal(raw, &sections); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this", "document of version %d", doc.Version)
	}
	items := map[string]json.RawMessage{"policy": sections["policy"]}
	for _, section := range []string{"failure_domains", "workers", "accounts", "services", "operators", "drains"} {
		var byName map[string]json.RawMessage
		if err := json.Unmarshal(sections[section], &byName); err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "report this", "section %s", section)
		}
		for name, value := range byName {
			items[section+"/"+name] = value
		}
	}
	return items, nil
}
