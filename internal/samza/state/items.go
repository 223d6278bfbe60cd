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

// Prefixes of the items' keys, one for each map of a State.
const (
	acceptedPrefix   = "a:"
	progressPrefix   = "p:"
	attachmentPrefix = "t:"
	cursorPrefix     = "k:"
	tombstonePrefix  = "m:"
	readerPrefix     = "r:"
)

// getters return the value of an item by its key's prefix.
var getters = map[string]func(*State, string) any{
	acceptedPrefix:   func(s *State, name string) any { return s.Accepted[name] },
	progressPrefix:   func(s *State, name string) any { return s.Progress[name] },
	attachmentPrefix: func(s *State, name string) any { return s.Attachments[name] },
	cursorPrefix:     func(s *State, name string) any { return s.SavedCursors[name] },
	tombstonePrefix:  func(s *State, name string) any { return valueOrNil(s.Tombstones, name) },
	readerPrefix:     func(s *State, name string) any { return valueOrNil(s.Readers, name) },
}

// valueOrNil returns the value that a map has under a name, and nil if there is none.
func valueOrNil[T any](values map[string]T, name string) any {
	if value, ok := values[name]; ok {
		return value
	}
	return nil
}

func (s *State) item(key string) Item {
	value := getters[key[:len(acceptedPrefix)]](s, key[len(acceptedPrefix):])
	encoded, _ := json.Marshal(value)
	return Item{key, encoded}
}

// TakeChanges returns the latest value of each key that changed since the last call.
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
		s.dirty[acceptedPrefix+key] = true
	}
	for key := range s.Progress {
		s.dirty[progressPrefix+key] = true
	}
	for key := range s.Attachments {
		s.dirty[attachmentPrefix+key] = true
	}
	for key := range s.SavedCursors {
		s.dirty[cursorPrefix+key] = true
	}
	for key := range s.Tombstones {
		s.dirty[tombstonePrefix+key] = true
	}
	for key := range s.Readers {
		s.dirty[readerPrefix+key] = true
	}
}

// Changed reports whether any key changed since the last call of TakeChanges.
func (s *State) Changed() bool { return len(s.dirty) > 0 }

// put sets the value that a map has under a name. An empty value or null deletes it.
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

// setters set the value of an item by its key's prefix.
var setters = map[string]func(*State, string, []byte) error{
	acceptedPrefix:   func(s *State, name string, value []byte) error { return put(s.Accepted, name, value) },
	progressPrefix:   func(s *State, name string, value []byte) error { return put(s.Progress, name, value) },
	attachmentPrefix: func(s *State, name string, value []byte) error { return put(s.Attachments, name, value) },
	cursorPrefix:     func(s *State, name string, value []byte) error { return put(s.SavedCursors, name, value) },
	tombstonePrefix:  func(s *State, name string, value []byte) error { return put(s.Tombstones, name, value) },
	readerPrefix:     func(s *State, name string, value []byte) error { return put(s.Readers, name, value) },
}

// Set sets the latest value of a key, which comes from the changelog. Keys that this build does not
// know are ignored.
func (s *State) Set(item Item) error {
	if len(item.Key) < len(acceptedPrefix) {
		return nil
	}
	set, ok := setters[item.Key[:len(acceptedPrefix)]]
	if !ok {
		return nil
	}
	return set(s, item.Key[len(acceptedPrefix):], item.Value)
}
