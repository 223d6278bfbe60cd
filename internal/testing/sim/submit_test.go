package sim

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
)

func plainReader(doc []byte, _ uint64) (configuration.Config, error) {
	return configuration.Parse(doc)
}

// A document is handed over to a control node; where none reads documents, the node that was asked
// goes on itself. Either way it is taken once.
func TestADocumentIsForwarded(t *testing.T) {
	t.Parallel()
	for _, handed := range []bool{true, false} {
		stand(t, Armor, 77, func(t *testing.T, w *World) {
			w.Watch()
			here := 0
			read := func(doc []byte, base uint64) (configuration.Config, error) {
				here++
				return plainReader(doc, base)
			}
			for _, n := range w.Names {
				if handed {
					w.Machines[n].Node().Operators.SetParser(plainReader)
				}
			}
			o := w.Machines["a1"].Node().Operators
			base := uint64(0)
			for range 4 {
				assert.NilError(t, o.Submit(w.ctx, load.Configuration(base), base, read))
				d, err := o.CurrentConfiguration(w.ctx)
				assert.NilError(t, err)
				assert.Equal(t, d.Sequence, base+1)
				assert.NilError(t, o.Submit(w.ctx, load.Configuration(base), base, read), "the same again")
				base = d.Sequence
			}
			assert.NilError(t, o.Submit(w.ctx, load.Configuration(base-2), base-2, read), "an accepted one again, with another on top of it")
			err := o.Submit(w.ctx, load.NumberedConfiguration(base-2, base-1, "other"), base-2, read)
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
			err = o.Submit(w.ctx, []byte(`{"base":1,"spaces":[{"name":"A"}]}`), base, read)
			assert.Assert(t, err != nil && len(apierror.From(err).Faults) > 0, "%v", err)
			assert.Equal(t, here == 0, handed, "read here %d times", here)
		})
	}
}
