package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// NamedChange is a partial change of a configuration by the names of items, such as one route of many.
// Its maps are by the kind of the items, which is their section: services, routes, policies or aims.
type NamedChange struct {
	// Revision is the operator's own number for the changed document. Default: 0, the present revision
	// plus one.
	Revision uint64 `json:"revision,omitempty"`
	// Set are items to add or to replace, by kind and name. Default: none.
	Set map[string]map[string]json.RawMessage `json:"set,omitempty"`
	// Drop are names of items to remove, by kind. Default: none.
	Drop map[string][]string `json:"drop,omitempty"`
}

// IsNamedChange reports whether a partial change is a named one; others are merge patches.
func IsNamedChange(patch []byte) bool {
	var probe struct{ Set, Drop json.RawMessage }
	return json.Unmarshal(patch, &probe) == nil && (probe.Set != nil || probe.Drop != nil)
}

// ParseNamedChange reads a named change. What is not part of one is a fault; an error, marked ErrNotJSON,
// says that it can't be read at all.
func ParseNamedChange(patch []byte) (*NamedChange, []Fault, error) {
	if _, err := parseObject(patch); err != nil {
		return nil, nil, err
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(patch, &raw); err != nil {
		return nil, nil, errors.Mark(err, ErrNotJSON)
	}
	check, change := &checker{}, &NamedChange{}
	for _, key := range slices.Sorted(maps.Keys(raw)) {
		switch key {
		case "revision":
			check.unmarshal(key, raw[key], &change.Revision, "a whole number over 0")
			if len(check.faults) == 0 && change.Revision == 0 {
				check.add(key, "must be a whole number over 0")
			}
		case "set":
			change.Set = unmarshalByKind[map[string]json.RawMessage](check, key, raw[key], "an object of named items")
		case "drop":
			change.Drop = unmarshalByKind[[]string](check, key, raw[key], "a list of names")
		default:
			check.add(key, "unknown field")
		}
	}
	return change, check.faults, nil
}

// unmarshal reads raw into out, and adds a fault that describes what is wanted if that fails.
func (c *checker) unmarshal(path string, raw []byte, out any, wanted string) {
	if err := json.Unmarshal(raw, out); err != nil || string(raw) == "null" {
		c.add(path, "must be %s", wanted)
	}
}

// unmarshalByKind reads an object with a T for each kind of items.
func unmarshalByKind[T any](c *checker, path string, raw []byte, wanted string) map[string]T {
	var kinds map[string]json.RawMessage
	c.unmarshal(path, raw, &kinds, "an object of kinds")
	values := map[string]T{}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		var value T
		c.unmarshal(joinPath(path, kind), kinds[kind], &value, wanted)
		values[kind] = value
	}
	return values
}

// Apply returns the document that the change makes of doc, unchecked. Removing a name that is not there is
// no fault: the change can be applied again. The faults are sections of doc that hold no named items; an
// error, marked ErrNotJSON, says that doc can't be read.
func (n *NamedChange) Apply(doc []byte) ([]byte, []Fault, error) {
	document := map[string]json.RawMessage{}
	if err := json.Unmarshal(doc, &document); err != nil {
		return nil, nil, errors.Mark(err, ErrNotJSON)
	}
	editor := sectionEditor{document: document, items: map[string]map[string]json.RawMessage{}}
	for _, kind := range slices.Sorted(maps.Keys(n.Drop)) {
		for _, name := range n.Drop[kind] {
			delete(editor.section(kind), name)
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(n.Set)) {
		maps.Copy(editor.section(kind), n.Set[kind])
	}
	if err := editor.store(); err != nil {
		return nil, nil, err
	}
	delete(document, "revision") // the earlier document's own
	if n.Revision != 0 {
		document["revision"] = json.RawMessage(fmt.Sprint(n.Revision))
	}
	changed, err := json.Marshal(document)
	return changed, editor.faults, err
}

// sectionEditor edits the sections of a document that hold named items.
type sectionEditor struct {
	document map[string]json.RawMessage
	items    map[string]map[string]json.RawMessage // of the sections that were asked for
	faults   []Fault
}

// section returns the items of a section, to be edited in place; a section that is missing or holds no
// named items is empty.
func (s *sectionEditor) section(kind string) map[string]json.RawMessage {
	if s.items[kind] != nil {
		return s.items[kind]
	}
	items := map[string]json.RawMessage{}
	if raw, ok := s.document[kind]; ok && (json.Unmarshal(raw, &items) != nil || items == nil) {
		s.faults = append(s.faults, Fault{Path: kind, Text: "is not a set of named items"})
		items = map[string]json.RawMessage{}
	}
	s.items[kind] = items
	return items
}

// store puts the edited sections into the document.
func (s *sectionEditor) store() error {
	for kind, items := range s.items {
		raw, err := json.Marshal(items)
		if err != nil {
			return err
		}
		s.document[kind] = raw
	}
	return nil
}
