package sim

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/operator"
)

// A call that one node rejected is explained by any other node, together with the state in the
// partition log.
func TestWhyExplainsACallAfterTheFact(t *testing.T) {
	t.Parallel()
	runFleet(t, Armor, 320, func(t *testing.T, w *World) {
		applyConfiguration(t, w)
		token := attach(t, w, "a1", "v").Token
		_, err := w.Transport("a1").Send(w.ctx, token, "kept/t0", 1, []byte(`"one"`))
		assert.NilError(t, err)
		_, err = w.Transport("a1").Send(w.ctx, token, "kept/t0", 6, []byte(`"six"`))
		assert.NilError(t, err)
		_, err = w.Transport("a1").Send(w.ctx, token, "kept/t0", 4, []byte(`"four"`))
		assert.Assert(t, apierror.HasCode(err, apierror.CallPassed), "%v", err)
		_, err = w.Transport("s2").Send(w.ctx, token, "kept/t0", 1, []byte(`"other"`))
		assert.Assert(t, apierror.HasCode(err, apierror.CallAltered), "%v", err)
		explain := func(call uint64) (*operator.Explanation, error) {
			answer, err := w.Machines["c2"].Node().Operators.Explain(w.ctx, "v", "kept/t0", call)
			explanation, _ := answer.(*operator.Explanation)
			return explanation, err
		}
		explanation, err := explain(4)
		assert.NilError(t, err)
		assert.Assert(t, explanation.Complete && len(explanation.Rejections) == 1 && !explanation.CallStatus.Accepted && !explanation.CallStatus.Forgotten && explanation.CallStatus.LastCallSeq == 6, "%+v", explanation)
		assert.Equal(t, explanation.Rejections[0].Code, string(apierror.CallPassed))
		assert.Equal(t, explanation.Rejections[0].Node, "a1")
		explanation, err = explain(1)
		assert.NilError(t, err)
		assert.Assert(t, explanation.CallStatus.Accepted && explanation.CallStatus.Offset > 0 && len(explanation.Rejections) == 1 && explanation.Rejections[0].Node == "s2", "%+v", explanation)
		_, err = explain(9)
		assert.Assert(t, apierror.HasCode(err, apierror.UnknownCall), "%v", err)
		_, err = explain(0)
		assert.Assert(t, apierror.HasCode(err, apierror.Malformed), "%v", err)
		w.Kill("s3")
		explanation, err = explain(4)
		assert.NilError(t, err)
		assert.Assert(t, !explanation.Complete && len(explanation.Rejections) == 1, "an explanation without one node must be incomplete: %+v", explanation)
	})
}
