// This file is partial changes by names, such as one route of many, and the document's own revision.

package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// NamedChange is a partial change by names: items to add or replace whole, and names to remove, by the
// kind of the item (services, routes, policies, aims).
type NamedChange struct {
	Revision uint64                                `json:"revision,omitempty"`
	Set      map[string]map[string]json.RawMessage `json:"set,omitempty"`
	Drop     map[string][]string                   `json:"drop,omitempty"`
}

// IsNamedChange reports whether a partial change is one by names; others are merge patches.
func IsNamedChange(patch []byte) bool {
	var probe struct{ Set, Drop json.RawMessage }
	return json.Unmarshal(patch, &probe) == nil && (probe.Set != nil || probe.Drop != nil)
}

// Apply returns the document that the change makes of doc. It is not checked yet. Names to remove
// that are not there are no fault: what is asked for holds already.
func (n *NamedChange) Apply(doc []byte) ([]byte, []Fault, error) {
	parts := map[string]json.RawMessage{}
	if err := json.Unmarshal(doc, &parts); err != nil {
		return nil, nil, errors.Mark(err, ErrNotJSON)
	}
	var faults []Fault
	kinds := map[string]map[string]json.RawMessage{}
	part := func(k string) map[string]json.RawMessage {
		if kinds[k] == nil {
			m := map[string]json.RawMessage{}
			if raw, ok := parts[k]; ok && (json.Unmarshal(raw, &m) != nil || m == nil) {
				faults = append(faults, Fault{k, "is not a set of named items"})
				m = map[string]json.RawMessage{}
			}
			kinds[k] = m
		}
		return kinds[k]
	}
	for _, k := range slices.Sorted(maps.Keys(n.Drop)) {
		for _, name := range n.Drop[k] {
			delete(part(k), name)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(n.Set)) {
		maps.Copy(part(k), n.Set[k])
	}
	for k, m := range kinds {
		b, err := json.Marshal(m)
		if err != nil {
			return nil, nil, err
		}
		parts[k] = b
	}
	delete(parts, "revision") // the earlier document's own
	if n.Revision != 0 {
		parts["revision"] = json.RawMessage(fmt.Sprint(n.Revision))
	}
	out, err := json.Marshal(parts)
	return out, faults, err
}

// ParseNamedChange reads a partial change by names. Anything in it that is not part of one is a fault; an
// error, marked ErrNotJSON, says that it cannot be read at all.
func ParseNamedChange(patch []byte) (*NamedChange, []Fault, error) {
	if _, err := object(patch); err != nil {
		return nil, nil, err
	}
	c, n := &checker{}, &NamedChange{}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(patch, &parts); err != nil {
		return nil, nil, errors.Mark(err, ErrNotJSON)
	}
	read := func(at string, raw []byte, out any, wants string) {
		if err := json.Unmarshal(raw, out); err != nil || string(raw) == "null" {
			c.add(at, "must be %s", wants)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(parts)) {
		switch k {
		case "revision":
			if read(k, parts[k], &n.Revision, "a whole number over 0"); len(c.faults) == 0 && n.Revision == 0 {
				c.add(k, "must be a whole number over 0")
			}
		case "set":
			var kinds map[string]json.RawMessage
			read(k, parts[k], &kinds, "an object of kinds")
			n.Set = map[string]map[string]json.RawMessage{}
			for _, kind := range slices.Sorted(maps.Keys(kinds)) {
				var items map[string]json.RawMessage
				read(join(k, kind), kinds[kind], &items, "an object of named items")
				n.Set[kind] = items
			}
		case "drop":
			var kinds map[string]json.RawMessage
			read(k, parts[k], &kinds, "an object of kinds")
			n.Drop = map[string][]string{}
			for _, kind := range slices.Sorted(maps.Keys(kinds)) {
				var names []string
				read(join(k, kind), kinds[kind], &names, "a list of names")
				n.Drop[kind] = names
			}
		default:
			c.add(k, "unknown field")
		}
	}
	return n, c.faults, nil
}

// WithoutRevision returns a document without its own revision, to make another one of it.
func WithoutRevision(doc []byte) ([]byte, error) {
	return renumber(doc, func(parts map[string]json.RawMessage) { delete(parts, "revision") })
}

// WithRevision returns a document with a revision inside: its own, or else rev.
func WithRevision(doc []byte, rev uint64) ([]byte, error) {
	return renumber(doc, func(parts map[string]json.RawMessage) {
		if parts["revision"] == nil {
			parts["revision"] = json.RawMessage(fmt.Sprint(rev))
		}
	})
}

// renumber returns doc as it is if change leaves its keys and revision as they are.
func renumber(doc []byte, change func(map[string]json.RawMessage)) ([]byte, error) {
	parts := map[string]json.RawMessage{}
	if err := json.Unmarshal(doc, &parts); err != nil {
		return nil, errors.Mark(err, ErrNotJSON)
	}
	n, was := len(parts), parts["revision"]
	change(parts)
	if len(parts) == n && string(was) == string(parts["revision"]) {
		return doc, nil
	}
	return json.Marshal(parts)
}
