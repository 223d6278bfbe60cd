package settings

import (
	"bytes"
	"encoding/json"
	"sort"
)

// Reloadable holds the fields that may change while a node runs, each with a function that copies
// it from src to dst.
var Reloadable = map[string]func(dst *Options, src Options){
	"log_level": func(dst *Options, src Options) { dst.LogLevel = src.LogLevel },
	"backlog":   func(dst *Options, src Options) { dst.Backlog = src.Backlog },
	"marks":     func(dst *Options, src Options) { dst.MaxTombstones = src.MaxTombstones },
	"changelog": func(dst *Options, src Options) { dst.Changelog = src.Changelog },
}

// Changed returns the names of the fields in which two settings differ, sorted.
func Changed(a, b Options) []string {
	before, after := fields(a), fields(b)
	var changed []string
	for name := range before {
		if !bytes.Equal(before[name], after[name]) {
			changed = append(changed, name)
		}
	}
	sort.Strings(changed)
	return changed
}

func fields(o Options) map[string]json.RawMessage {
	b, _ := json.Marshal(o) // numbers, strings and lists of these: neither can fail
	byName := map[string]json.RawMessage{}
	_ = json.Unmarshal(b, &byName)
	return byName
}
