package leader

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
	"postjunction/internal/wire"
)

func letters(r *rand.Rand, n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(r.IntN(16))
	}
	return b
}

// What an owner tells takes little more than half the bytes packed, and comes out as it went in.
func TestPackedBodiesComeOutAsTheyWentIn(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for _, sizes := range [][]int{{700}, {20, 0, 4000, 333}, {900, 900, 900}} {
		a := &PollResponse{}
		for i, n := range sizes {
			a.Entries = append(a.Entries, log.Entry{Offset: uint64(i + 1), Topic: "t", Body: letters(r, n)})
		}
		var want [][]byte
		n := 0
		for _, e := range a.Entries {
			want, n = append(want, e.Body), n+len(e.Body)
		}
		a.Compress()
		b, err := wire.Marshal(a)
		assert.NilError(t, err)
		assert.Assert(t, len(b) < n*7/10+40*len(sizes), "%d bytes for %d", len(b), n)
		var got PollResponse
		assert.NilError(t, wire.Unmarshal(b, &got))
		assert.NilError(t, got.Decompress())
		for i, e := range got.Entries {
			assert.Assert(t, bytes.Equal(e.Body, want[i]), "entry %d", i)
		}
	}
}

func TestWhatIsSmallOrNeverShrinksIsNotPacked(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	noise := make([]byte, 1000)
	for i := range noise {
		noise[i] = byte(r.IntN(256))
	}
	for _, b := range [][]byte{letters(r, packFrom-1), noise, nil} {
		a := &FollowResponse{Backlog: []log.Entry{{Body: b}}}
		a.Compress()
		assert.Assert(t, a.Compressed == nil)
		assert.Assert(t, bytes.Equal(a.Backlog[0].Body, b))
		assert.NilError(t, a.Decompress())
	}
}

func TestDamagedPacksAreNoMessages(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for n, harm := range map[string]func(*FollowResponse){
		"cut short":       func(a *FollowResponse) { a.Compressed.Bytes = a.Compressed.Bytes[:len(a.Compressed.Bytes)/2] },
		"a size too many": func(a *FollowResponse) { a.Compressed.Sizes = append(a.Compressed.Sizes, 1) },
		"a smaller size":  func(a *FollowResponse) { a.Compressed.Sizes[0]-- },
		"a larger size":   func(a *FollowResponse) { a.Compressed.Sizes[0]++ },
		"a huge size":     func(a *FollowResponse) { a.Compressed.Sizes[0] = 1 << 40 },
		"below nothing":   func(a *FollowResponse) { a.Compressed.Sizes[0] = -1 },
	} {
		a := &FollowResponse{Backlog: []log.Entry{{Body: letters(r, 700)}, {Body: letters(r, 700)}}}
		a.Compress()
		assert.Assert(t, a.Compressed != nil)
		harm(a)
		assert.Assert(t, a.Decompress() != nil, n)
	}
}
