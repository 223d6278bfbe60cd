package sim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/leader"
	"postjunction/internal/partitionlog/router"
)

// Guards against a division by zero: a node that knows no voter set yet, and so has zero
// partitions, gets a request for an attachment.
func TestCallsBeforeTheVoterSetIsKnown(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		w := New(Armor, 1, Logger())
		defer w.Close()
		assert.NilError(t, w.Start("s1", "a1"))
		time.Sleep(time.Second)
		m := w.Machines["a1"]
		_, run := m.node()
		_, err := router.ReadAttachment.Call(w.ctx, &endpoint{w, m, run}, "a1", w.Machines["s1"].Opts.PeerListen, &router.ReadAttachmentRequest{Client: "v"})
		assert.Assert(t, apierror.HasCode(err, apierror.NotPartitionLeader), "%v", err)
		_, err = router.Submit.Call(w.ctx, &endpoint{w, m, run}, "a1", w.Machines["s1"].Opts.PeerListen, &leader.Message{Client: "v", Topic: "kept/t0", CallSeq: 1, Body: []byte("1"), Configuration: 1})
		assert.Assert(t, apierror.HasCode(err, apierror.NotReady), "a storage node without the configuration rejected the call for good: %v", err)
		_, err = w.Transport("a1").Attach(w.ctx, "v")
		assert.Assert(t, apierror.HasCode(err, apierror.NoLease), "%v", err)
	})
}
