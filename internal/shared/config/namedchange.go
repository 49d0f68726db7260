package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// NamedChange is a partial change of a configuration that adds, replaces and removes single items by name, such as one
// route among many. The kind of an item is its section of the document: services, routes, policies or aims.
type NamedChange struct {
	// Revision is the operator's number for the changed document. Default: 0, which means the current revision plus one.
	Revision uint64 `json:"revision,omitempty"`
	// Set holds items to add or to replace, by kind and name. Default: none.
	Set map[string]map[string]json.RawMessage `json:"set,omitempty"`
	// Drop holds the names of items to remove, by kind. Default: none.
	Drop map[string][]string `json:"drop,omitempty"`
}

// IsNamedChange reports whether a partial change is a named change. Other partial changes are merge patches.
func IsNamedChange(patch []byte) bool {
	var probe struct{ Set, Drop json.RawMessage }
	return json.Unmarshal(patch, &probe) == nil && (probe.Set != nil || probe.Drop != nil)
}

// ParseNamedChange parses a named change and returns its faults, unknown fields included. Its error, marked ErrNotJSON,
// means that patch is not exactly one JSON object.
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
			check.unmarshal(key, raw[key], &change.Revision, "a whole number greater than 0")
			if len(check.faults) == 0 && change.Revision == 0 {
				check.add(key, "must be a whole number greater than 0")
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

// unmarshal decodes raw into out. If raw is null or has the wrong type, it adds a fault that names the wanted type.
func (c *checker) unmarshal(path string, raw []byte, out any, wanted string) {
	if err := json.Unmarshal(raw, out); err != nil || string(raw) == "null" {
		c.add(path, "must be %s", wanted)
	}
}

// unmarshalByKind decodes an object that maps kinds of items to values of type T.
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

// Apply applies the change to doc and returns the result without validating it. Removing an item that does not exist is
// not a fault, so that a change can be applied again. Faults are reported for sections of doc that do not hold named
// items. An error marked ErrNotJSON means that doc is not a JSON object.
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
	delete(document, "revision") // it is that of the document before the change
	if n.Revision != 0 {
		document["revision"] = json.RawMessage(fmt.Sprint(n.Revision))
	}
	changed, err := json.Marshal(document)
	return changed, editor.faults, err
}

// sectionEditor edits the sections of a document that hold named items.
type sectionEditor struct {
	document map[string]json.RawMessage
	items    map[string]map[string]json.RawMessage // items of the sections that are edited, by section and name
	faults   []Fault
}

// section returns the items of a section, to be edited in place. It returns an empty map if the section does not exist
// and, with a fault, if the section does not hold named items.
func (s *sectionEditor) section(kind string) map[string]json.RawMessage {
	if s.items[kind] != nil {
		return s.items[kind]
	}
	items := map[string]json.RawMessage{}
	if raw, ok := s.document[kind]; ok && (json.Unmarshal(raw, &items) != nil || items == nil) {
		s.faults = append(s.faults, Fault{Path: kind, Text: "must be an object of named items"})
		items = map[string]json.RawMessage{}
	}
	s.items[kind] = items
	return items
}

// store writes the edited sections back into the document.
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
