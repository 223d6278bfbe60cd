package configuration

import (
	"fmt"
	"regexp"
	"unicode/utf8"

	"postjunction/internal/apierror"
)

// Limits of a configuration. MaxBytes bounds a document that is read, and a source. MaxEncodedBytes
// bounds both together as they are stored. MaxTimeMS bounds every time in it, in milliseconds.
const (
	MaxSpaces       = 4096
	MaxTopics       = 10000
	MaxBytes        = 4 << 20
	MaxEncodedBytes = 3 * MaxBytes
	MaxTimeMS       = 1 << 32

	numberLimit = 1 << 31 // every other number is below it
)

var (
	spacePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	topicPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$`)
	prefixPattern = regexp.MustCompile(`^[^\s\p{Cc}]{1,255}$`)
	kinds         = map[string]bool{KindRetained: true, KindLive: true}
	orders        = map[string]bool{"": true, OrderPerSender: true, OrderPerTopic: true}
)

// FaultsError returns one apierror.ConfigurationInvalid with all faults, nil if there are none.
func FaultsError(faults []apierror.Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return apierror.New(
		apierror.ConfigurationInvalid, "the first fault is at %s: %s", faults[0].Path,
		faults[0].Message,
	).
		WithFaults(faults)
}

// Faults returns every fault of a configuration that can be found without any other configuration,
// in the order of the document.
func (c Config) Faults() []apierror.Fault {
	v := validator{names: map[string]bool{}, prefixes: map[string]bool{}}
	v.require(c.Sequence == 0 || c.Sequence > c.Base, "$.sequence", "must be above base (%d) or left out, is %d",
		c.Base, c.Sequence)
	v.require(len(c.Spaces) <= MaxSpaces, "$.spaces", "must be at most %d, are %d", MaxSpaces, len(c.Spaces))
	v.require(len(c.Source) <= MaxBytes, "$.source", "must have at most %d bytes, has %d", MaxBytes, len(c.Source))
	v.require(utf8.ValidString(c.Source), "$.source", "must be UTF-8")
	v.requireNumber("$.limits.topics", c.Limits.Topics)
	v.requireNumber("$.limits.body", c.Limits.Body)
	for i, space := range c.Spaces {
		v.checkSpace(fmt.Sprintf("$.spaces[%d]", i), space)
	}
	v.require(v.topics <= MaxTopics, "$.spaces", "must have at most %d topics in all, have %d", MaxTopics, v.topics)
	if c.UseAssignedLanes {
		return v.faults
	}
	return append(v.faults, c.mixedUrgencyFaults()...)
}

// validator collects the faults of one configuration. It remembers the names, prefixes and number
// of topics of the spaces that it has checked.
type validator struct {
	faults   []apierror.Fault
	names    map[string]bool
	prefixes map[string]bool
	topics   int
}

func (v *validator) require(ok bool, path, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, apierror.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
}

func (v *validator) requireNumber(path string, number int) {
	v.require(number >= 0 && number < numberLimit, path, "must be from 0 to %d, is %d", numberLimit-1, number)
}

func (v *validator) checkSpace(path string, space Space) {
	if space.ByPrefix() {
		v.checkPrefix(path, space)
	} else {
		v.require(spacePattern.MatchString(space.Name), path+".name", "must be 1 to 63 of a-z, 0-9 and -, is %q",
			space.Name)
	}
	v.require(!v.names[space.Name], path+".name", "%q stands twice", space.Name)
	v.names[space.Name] = true
	v.require(kinds[space.Kind], path+".kind", "must be kept or live, is %q", space.Kind)
	v.require(orders[space.Order], path+".order", "must be sender or topic, is %q", space.Order)
	v.require(space.RetentionMS == 0 || space.Kind != KindLive, path+".keep_ms", "must be left out of a live space")
	v.requireNumber(path+".weight", space.Weight)
	for _, duration := range []struct {
		field string
		ms    uint64
	}{{".keep_ms", space.RetentionMS}, {".deadline_ms", space.DeadlineMS}, {".aim_ms", space.TargetLatencyMS}} {
		v.require(duration.ms <= MaxTimeMS, path+duration.field, "must be at most %d, is %d", MaxTimeMS, duration.ms)
	}
	v.checkTopics(path, space)
}

func (v *validator) checkPrefix(path string, space Space) {
	v.require(space.All && space.Name == "" || prefixPattern.MatchString(space.Name), path+".name",
		"must be 1 to 255 characters without spaces, is %q", space.Name)
	v.require(space.All || prefixPattern.MatchString(space.Prefix), path+".prefix",
		"must be 1 to 255 characters without spaces, is %q", space.Prefix)
	v.require(!space.All || space.Prefix == "", path+".prefix", "must be left out beside all")
	v.require(len(space.Topics) == 0, path+".topics", "must be left out of a space by prefix")
	v.require(!v.prefixes[space.Prefix], path+".prefix", "%q stands twice", space.Prefix)
	v.prefixes[space.Prefix] = true
}

func (v *validator) checkTopics(path string, space Space) {
	v.require(space.ByPrefix() || len(space.Topics) > 0, path+".topics", "must name at least one topic")
	seen := map[string]bool{}
	for i, topic := range space.Topics {
		topicPath := fmt.Sprintf("%s.topics[%d]", path, i)
		v.require(topicPattern.MatchString(topic), topicPath, "must be 1 to 127 of letters, digits, ., _ and -, is %q",
			topic)
		v.require(!seen[topic], topicPath, "%q stands twice", topic)
		seen[topic] = true
	}
	v.topics += len(space.Topics)
}

// mixedUrgencyFaults returns a fault for each space that shares topics with another space of a
// different urgency, now or after the other one is removed.
func (c Config) mixedUrgencyFaults() []apierror.Fault {
	var spacesByPath prefixMap[int]
	for i, space := range c.Spaces {
		spacesByPath.add(space.path(), i)
	}
	var faults []apierror.Fault
	for i, space := range c.Spaces {
		spacesByPath.each(space.path(), func(_ string, j int) bool {
			other := c.Spaces[j]
			if other.Urgent == space.Urgent {
				return true
			}
			faults = append(faults, apierror.Fault{
				Path: fmt.Sprintf("$.spaces[%d].urgent", i),
				Message: fmt.Sprintf("must be that of %q, whose topics those of %q are a part of",
					other.Name, space.Name),
			})
			return false
		})
	}
	return faults
}
