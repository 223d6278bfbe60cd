package leader

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
)

// An attachment whose answer was lost is asked for again: it is the same one, while it is being written and afterwards.
// Another one under the same name takes over as before.
func TestARepeatedAttachmentIsTheSameOne(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		type answer struct {
			generation uint64
			err        error
		}
		answers := make(chan answer, 2)
		attach := func(secret string) {
			g, err := r.Attach(t.Context(), "v", secret, 0)
			answers <- answer{g, err}
		}
		expect := func(want uint64) {
			t.Helper()
			a := <-answers
			assert.NilError(t, a.err)
			assert.Equal(t, a.generation, want)
		}
		go attach("one")
		synctest.Wait()
		go attach("one")
		synctest.Wait()
		r.lands()
		expect(1)
		expect(1)
		go attach("one")
		synctest.Wait()
		expect(1)
		r.locked(func() { assert.Equal(t, r.tracks[log.KindLedger].last.Offset, uint64(1), "entries that were written") })
		go attach("two")
		synctest.Wait()
		r.lands()
		expect(2)
	})
}
