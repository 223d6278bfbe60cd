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

// A document is forwarded to a control node. Where no control node parses documents, the node that
// received it does so itself. Either way the document is accepted once.
func TestADocumentIsForwarded(t *testing.T) {
	t.Parallel()
	for _, isForwarded := range []bool{true, false} {
		runFleet(t, Armor, 77, func(t *testing.T, w *World) {
			w.Watch()
			localParses := 0
			parseLocally := func(doc []byte, base uint64) (configuration.Config, error) {
				localParses++
				return parseDocument(doc, base)
			}
			for _, node := range w.Names {
				if isForwarded {
					w.Machines[node].Node().Operators.SetParser(parseDocument)
				}
			}
			operators := w.Machines["a1"].Node().Operators
			base := uint64(0)
			for range 4 {
				assert.NilError(t, operators.Submit(w.ctx, load.Configuration(base), base, parseLocally))
				config, err := operators.CurrentConfiguration(w.ctx)
				assert.NilError(t, err)
				assert.Equal(t, config.Sequence, base+1)
				assert.NilError(t, operators.Submit(w.ctx, load.Configuration(base), base, parseLocally), "the same document again")
				base = config.Sequence
			}
			assert.NilError(t, operators.Submit(w.ctx, load.Configuration(base-2), base-2, parseLocally), "an accepted document again, after a later one")
			err := operators.Submit(w.ctx, load.NumberedConfiguration(base-2, base-1, "other"), base-2, parseLocally)
			assert.Assert(t, apierror.HasCode(err, apierror.ConfigurationConflict), "%v", err)
			err = operators.Submit(w.ctx, []byte(`{"base":1,"spaces":[{"name":"A"}]}`), base, parseLocally)
			assert.Assert(t, err != nil && len(apierror.From(err).Faults) > 0, "%v", err)
			assert.Equal(t, localParses == 0, isForwarded, "parsed locally %d times", localParses)
		})
	}
}
