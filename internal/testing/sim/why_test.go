package sim

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/operator"
)

// A call that one node turned away is explained by any other, beside what the ledger decided.
func TestWhyExplainsACallAfterTheFact(t *testing.T) {
	t.Parallel()
	stand(t, Armor, 320, func(t *testing.T, w *World) {
		described(t, w)
		tok := attach(t, w, "a1", "v").Token
		_, err := w.Transport("a1").Send(w.ctx, tok, "kept/t0", 1, []byte(`"one"`))
		assert.NilError(t, err)
		_, err = w.Transport("a1").Send(w.ctx, tok, "kept/t0", 6, []byte(`"six"`))
		assert.NilError(t, err)
		_, err = w.Transport("a1").Send(w.ctx, tok, "kept/t0", 4, []byte(`"four"`))
		assert.Assert(t, apierror.HasCode(err, apierror.CallPassed), "%v", err)
		_, err = w.Transport("s2").Send(w.ctx, tok, "kept/t0", 1, []byte(`"other"`))
		assert.Assert(t, apierror.HasCode(err, apierror.CallAltered), "%v", err)
		why := func(call uint64) (*operator.Explanation, error) {
			a, err := w.Machines["c2"].Node().Operators.Explain(w.ctx, "v", "kept/t0", call)
			x, _ := a.(*operator.Explanation)
			return x, err
		}
		x, err := why(4)
		assert.NilError(t, err)
		assert.Assert(t, x.Complete && len(x.Rejections) == 1 && !x.CallStatus.Accepted && !x.CallStatus.Forgotten && x.CallStatus.LastCallSeq == 6, "%+v", x)
		assert.Equal(t, x.Rejections[0].Code, string(apierror.CallPassed))
		assert.Equal(t, x.Rejections[0].Node, "a1")
		x, err = why(1)
		assert.NilError(t, err)
		assert.Assert(t, x.CallStatus.Accepted && x.CallStatus.Offset > 0 && len(x.Rejections) == 1 && x.Rejections[0].Node == "s2", "%+v", x)
		_, err = why(9)
		assert.Assert(t, apierror.HasCode(err, apierror.UnknownCall), "%v", err)
		_, err = why(0)
		assert.Assert(t, apierror.HasCode(err, apierror.Malformed), "%v", err)
		w.Kill("s3")
		x, err = why(4)
		assert.NilError(t, err)
		assert.Assert(t, !x.Complete && len(x.Rejections) == 1, "an answer without one node says so: %+v", x)
	})
}
