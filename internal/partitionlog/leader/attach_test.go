package leader

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
)

// A retry of an attachment whose answer was lost returns the same generation, both while the first
// attachment is being written and afterwards. An attachment with another secret gets a new
// generation.
func TestAttach_RetryReturnsTheSameGeneration(t *testing.T) {
	withLeader(t, 1, func(t *testing.T, r *rig) {
		type answer struct {
			generation uint64
			err        error
		}
		answers := make(chan answer, 2)
		attach := func(secret string) {
			generation, err := r.Attach(t.Context(), "v", secret, 0)
			answers <- answer{generation, err}
		}
		expect := func(want uint64) {
			t.Helper()
			got := <-answers
			assert.NilError(t, got.err)
			assert.Equal(t, got.generation, want)
		}
		go attach("one")
		synctest.Wait()
		go attach("one")
		synctest.Wait()
		r.commitAll()
		expect(1)
		expect(1)
		go attach("one")
		synctest.Wait()
		expect(1)
		r.locked(func() { assert.Equal(t, r.logs[log.KindInput].last.Offset, uint64(1), "entries that were written") })
		go attach("two")
		synctest.Wait()
		r.commitAll()
		expect(2)
	})
}
