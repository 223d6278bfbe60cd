package leader

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/wire"
)

func compressibleBytes(rng *rand.Rand, size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = 'a' + byte(rng.IntN(16))
	}
	return b
}

// Compressed bodies of text have little more than half the bytes, and are restored unchanged.
func TestCompressedBodies_RoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, sizes := range [][]int{{700}, {20, 0, 4000, 333}, {900, 900, 900}} {
		response := &PollResponse{}
		for i, size := range sizes {
			response.Entries = append(response.Entries, log.Entry{
				Offset: uint64(i + 1), Topic: "t", Body: compressibleBytes(rng, size),
			})
		}
		var want [][]byte
		size := 0
		for _, entry := range response.Entries {
			want, size = append(want, entry.Body), size+len(entry.Body)
		}
		response.Compress()
		encoded, err := wire.Marshal(response)
		assert.NilError(t, err)
		assert.Assert(t, len(encoded) < size*7/10+40*len(sizes), "%d bytes for %d", len(encoded), size)
		var got PollResponse
		assert.NilError(t, wire.Unmarshal(encoded, &got))
		assert.NilError(t, got.Decompress())
		for i, entry := range got.Entries {
			assert.Assert(t, bytes.Equal(entry.Body, want[i]), "entry %d", i)
		}
	}
}

func TestCompress_SkipsSmallAndIncompressibleBodies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	noise := make([]byte, 1000)
	for i := range noise {
		noise[i] = byte(rng.IntN(256))
	}
	for _, body := range [][]byte{compressibleBytes(rng, minCompressBytes-1), noise, nil} {
		response := &FollowResponse{Backlog: []log.Entry{{Body: body}}}
		response.Compress()
		assert.Assert(t, response.Compressed == nil)
		assert.Assert(t, bytes.Equal(response.Backlog[0].Body, body))
		assert.NilError(t, response.Decompress())
	}
}

func TestDecompress_RejectsDamagedBodies(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for name, damage := range map[string]func(*FollowResponse){
		"cut short": func(response *FollowResponse) {
			response.Compressed.Bytes = response.Compressed.Bytes[:len(response.Compressed.Bytes)/2]
		},
		"a size too many": func(response *FollowResponse) {
			response.Compressed.Sizes = append(response.Compressed.Sizes, 1)
		},
		"a smaller size":  func(response *FollowResponse) { response.Compressed.Sizes[0]-- },
		"a larger size":   func(response *FollowResponse) { response.Compressed.Sizes[0]++ },
		"a huge size":     func(response *FollowResponse) { response.Compressed.Sizes[0] = 1 << 40 },
		"a negative size": func(response *FollowResponse) { response.Compressed.Sizes[0] = -1 },
	} {
		response := &FollowResponse{
			Backlog: []log.Entry{{Body: compressibleBytes(rng, 700)}, {Body: compressibleBytes(rng, 700)}},
		}
		response.Compress()
		assert.Assert(t, response.Compressed != nil)
		damage(response)
		assert.Assert(t, response.Decompress() != nil, name)
	}
}
