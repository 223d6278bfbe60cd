package wire

// Codec is the codec between nodes.
type Codec = codec
