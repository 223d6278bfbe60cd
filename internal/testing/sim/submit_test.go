package sim

import (
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/configuration"
)

func parseDocument(doc []byte, _ uint64) (configuration.Config, error) {
	return configuration.Parse(doc)
}

// A document is handed over to a control node; where none reads documents, the node that was asked
// goes on itself. Either way it is taken once.
func TestADocumentIsForwarded(t *testing.T) {
	t.Parallel()
	for _, isForwarded := range []bool{true, false} {
		runFleet(t, Armor, 77, func(t *testing.T, w *World) {
			w.Watch()
			localReads := 0
			read := func(doc []byte, base uint64) (configuration.Config, error) {
				localReads++
				return parseDocument(doc, base)
			}
			for _, node := range w.Names {
				if isForwarded {
					w.Machines[node].Node().Operators.Read(parseDocument)
				}
			}
			operators := w.Machines["a1"].Node().Operators
			base := uint64(0)
			for range 4 {
				assert.NilError(t, operators.Submit(w.ctx, load.Describe(base), base, read))
				config, err := operators.CurrentConfiguration(w.ctx)
				assert.NilError(t, err)
				assert.Equal(t, config.Sequence, base+1)
				assert.NilError(t, operators.Submit(w.ctx, load.Describe(base), base, read), "the same again")
				base = config.Sequence
			}
			assert.NilError(t, operators.Submit(w.ctx, load.Describe(base-2), base-2, read), "an accepted one again, with another on top of it")
			err := operators.Submit(w.ctx, load.Numbered(base-2, base-1, "other"), base-2, read)
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
			err = operators.Submit(w.ctx, []byte(`{"base":1,"spaces":[{"name":"A"}]}`), base, read)
			assert.Assert(t, err != nil && len(apierror.From(err).Faults) > 0, "%v", err)
			assert.Equal(t, localReads == 0, isForwarded, "read here %d times", localReads)
		})
	}
}
