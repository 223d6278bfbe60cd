package wire

// Codec exports codec for tests.
type Codec = codec
