package configuration

// Factors of the checksum: FNV-1a for bytes, a multiplicative mix with a shift for 64-bit numbers.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mixFactor = 0x9E3779B97F4A7C15
	mixShift  = 29
)

// Checksum distinguishes configurations, apart from their sources. Nodes of different builds
// compare it, so the algorithm must never change.
func (c Config) Checksum() uint64 {
	sum := checksum(fnvOffset)
	sum.addNumbers(c.Sequence, c.Base, uint64(c.Limits.Topics), uint64(c.Limits.Body), bit(c.UseAssignedLanes),
		uint64(len(c.Spaces)))
	for _, space := range c.Spaces {
		sum.addStrings(space.Name, space.Kind, space.Prefix, space.Order)
		sum.addNumbers(bit(space.Urgent)|bit(space.All)<<1, space.RetentionMS, space.DeadlineMS, space.TargetLatencyMS,
			uint64(space.Weight))
		sum.addList(space.Topics)
	}
	sum.addList(c.Lanes.Urgent)
	sum.addList(c.Lanes.Routine)
	return uint64(sum)
}

type checksum uint64

func bit(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (c *checksum) addNumbers(numbers ...uint64) {
	for _, number := range numbers {
		mixed := (uint64(*c) ^ number) * mixFactor
		*c = checksum(mixed ^ mixed>>mixShift)
	}
}

func (c *checksum) addStrings(texts ...string) {
	sum := uint64(*c)
	for _, text := range texts {
		for i := range len(text) {
			sum = (sum ^ uint64(text[i])) * fnvPrime
		}
		sum = (sum ^ uint64(len(text))) * mixFactor
		sum ^= sum >> mixShift
	}
	*c = checksum(sum)
}

func (c *checksum) addList(texts []string) {
	c.addNumbers(uint64(len(texts)))
	c.addStrings(texts...)
}
