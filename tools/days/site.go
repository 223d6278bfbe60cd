package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// site is what a drawn day takes from a site file.
type site struct {
	Name    string           `toml:"name"`
	LengthS float64          `toml:"length_s"`
	Days    []map[string]any `toml:"day"`
}

// day is a day in the bench's format. base has the fields of the standard day that a drawn day
// keeps.
type day struct {
	base    map[string]any
	name    string
	seed    uint64
	closing *closing
	plan    []fault
	faults  []fault
}

// fault is one entry of a day. Times are in seconds from the start of traffic. X is the strength of
// the fault.
type fault struct {
	At    float64 `toml:"at"`
	Kind  string  `toml:"kind"`
	On    string  `toml:"on,omitempty,omitzero"`
	Count int     `toml:"count,omitempty,omitzero"`
	Share float64 `toml:"share,omitempty,omitzero"`
	X     float64 `toml:"x,omitempty,omitzero"`
	ForS  float64 `toml:"for_s,omitempty,omitzero"`
	GapS  float64 `toml:"gap_s,omitempty,omitzero"`
	How   string  `toml:"how,omitempty,omitzero"`
}

// closing is the fault that ends a day.
type closing struct {
	Kind  string  `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how,omitempty,omitzero"`
}

// droppedFields are the fields of a standard day that belong to its own faults.
var droppedFields = []string{"faults", "plan", "closing", "small", "light", "wall", "labels", "seed", "name"}

func readSite(path string) (site, error) {
	var site site
	if _, err := toml.DecodeFile(path, &site); err != nil {
		return site, fmt.Errorf("read the site file: %w", err)
	}
	if len(site.Days) == 0 {
		return site, errors.New("the site file has no standard day to take the traffic from")
	}
	return site, nil
}

func writeDay(path string, day day) error {
	fields := map[string]any{"name": day.name, "seed": day.seed, "slot": "trouble", "plan": day.plan,
		"faults": day.faults}
	for name, value := range day.base {
		if _, ok := fields[name]; !ok {
			fields[name] = value
		}
	}
	if day.closing != nil {
		fields["closing"] = *day.closing
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("write a day: %w", err)
	}
	if err := errors.Join(toml.NewEncoder(file).Encode(fields), file.Close()); err != nil {
		return fmt.Errorf("write a day: %w", err)
	}
	return nil
}

func splitKinds(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}
