package state

import (
	"encoding/json"
	"slices"
)

// Item is the latest value of one key.
type Item struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
}

// What the keys of items begin with, one for each map of a State.
const (
	accepted    = "a:"
	progress    = "p:"
	attachments = "t:"
	cursors     = "k:"
	tombstones  = "m:"
	readers     = "r:"
)

// getters return the value of an item by its key's beginning.
var getters = map[string]func(*State, string) any{
	accepted:    func(s *State, name string) any { return s.Accepted[name] },
	progress:    func(s *State, name string) any { return s.Progress[name] },
	attachments: func(s *State, name string) any { return s.Attachments[name] },
	cursors:     func(s *State, name string) any { return s.SavedCursors[name] },
	tombstones:  func(s *State, name string) any { return valueOrNil(s.Tombstones, name) },
	readers:     func(s *State, name string) any { return valueOrNil(s.Readers, name) },
}

// valueOrNil returns what a map holds under a name, and nil where that was dropped.
func valueOrNil[T any](values map[string]T, name string) any {
	if value, ok := values[name]; ok {
		return value
	}
	return nil
}

func (s *State) item(key string) Item {
	value := getters[key[:len(accepted)]](s, key[len(accepted):])
	encoded, _ := json.Marshal(value)
	return Item{key, encoded}
}

// TakeChanges returns the latest value of each key changed since the last call.
func (s *State) TakeChanges() []Item {
	keys := make([]string, 0, len(s.dirty))
	for key := range s.dirty {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	clear(s.dirty)
	items := make([]Item, len(keys))
	for i, key := range keys {
		items[i] = s.item(key)
	}
	return items
}

// MarkAllChanged marks every key as changed, for a compaction of the changelog.
func (s *State) MarkAllChanged() {
	for key := range s.Accepted {
		s.dirty[accepted+key] = true
	}
	for key := range s.Progress {
		s.dirty[progress+key] = true
	}
	for key := range s.Attachments {
		s.dirty[attachments+key] = true
	}
	for key := range s.SavedCursors {
		s.dirty[cursors+key] = true
	}
	for key := range s.Tombstones {
		s.dirty[tombstones+key] = true
	}
	for key := range s.Readers {
		s.dirty[readers+key] = true
	}
}

// Changed reports whether any key changed since the last call of TakeChanges.
func (s *State) Changed() bool { return len(s.dirty) > 0 }

// put sets the value that a map has under a name, and drops it where the value is nothing.
func put[T any](values map[string]T, name string, encoded []byte) error {
	if len(encoded) == 0 || string(encoded) == "null" {
		delete(values, name)
		return nil
	}
	var value T
	err := json.Unmarshal(encoded, &value)
	values[name] = value
	return err
}

// setters set the value of an item by its key's beginning.
var setters = map[string]func(*State, string, []byte) error{
	accepted:    func(s *State, name string, value []byte) error { return put(s.Accepted, name, value) },
	progress:    func(s *State, name string, value []byte) error { return put(s.Progress, name, value) },
	attachments: func(s *State, name string, value []byte) error { return put(s.Attachments, name, value) },
	cursors:     func(s *State, name string, value []byte) error { return put(s.SavedCursors, name, value) },
	tombstones:  func(s *State, name string, value []byte) error { return put(s.Tombstones, name, value) },
	readers:     func(s *State, name string, value []byte) error { return put(s.Readers, name, value) },
}

// Set takes the latest value of a key from the changelog. Keys that this build does not know are
// left out.
func (s *State) Set(item Item) error {
	if len(item.Key) < len(accepted) {
		return nil
	}
	set, ok := setters[item.Key[:len(accepted)]]
	if !ok {
		return nil
	}
	return set(s, item.Key[len(accepted):], item.Value)
}
