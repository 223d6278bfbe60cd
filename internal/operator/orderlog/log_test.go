package orderlog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/configuration"
)

func newOrder(base, sequence uint64, source string) Order {
	return OrderOf(configuration.Config{Base: base, Sequence: sequence, Source: source})
}

func TestOrderOf_OrdersDifferByContentNotByLanes(t *testing.T) {
	config := configuration.Config{Base: 1, Sequence: 2, Source: "a"}
	same := config
	same.Lanes = configuration.Lanes{Urgent: []string{"x"}}
	assert.Equal(t, OrderOf(config), OrderOf(same))
	assert.Equal(t, OrderOf(config).ChangeID(), OrderOf(same).ChangeID())
	for _, other := range []Order{newOrder(1, 2, "b"), newOrder(0, 2, "a"), newOrder(1, 3, "a")} {
		assert.Assert(t, other != OrderOf(config))
		assert.Assert(t, other.ChangeID() != OrderOf(config).ChangeID())
	}
}

func TestParse_ReadsWhatMarshalWrote(t *testing.T) {
	log := Log{ForgottenThrough: 4}
	for _, order := range []Order{newOrder(4, 5, "a"), newOrder(5, 900, "b"), newOrder(900, 901, "c")} {
		log = log.Append(order)
	}
	decoded, err := Parse(log.Marshal())
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, log)
	empty, err := Parse(Log{}.Marshal())
	assert.NilError(t, err)
	assert.DeepEqual(t, empty, Log{})
}

func TestParse_DamagedLogIsAnError(t *testing.T) {
	complete := Log{}.Append(newOrder(0, 1, "a")).Append(newOrder(1, 2, "b")).Marshal()
	for cut := range len(complete) {
		_, err := Parse(complete[:cut])
		assert.Assert(t, err != nil, "cut at %d", cut)
	}
	_, err := Parse(append(complete, 0))
	assert.Assert(t, err != nil)
	_, err = Parse([]byte{9, 0, 0})
	assert.Assert(t, err != nil)
}

// A full log drops the oldest orders, and is no longer conclusive about them.
func TestAppend_ForgetsTheOldestAndSaysSo(t *testing.T) {
	log := Log{}
	var orders []Order
	for base := uint64(0); base < MaxOrders+10; base++ {
		orders = append(orders, newOrder(base, base+1, fmt.Sprint(base)))
		log = log.Append(orders[base])
	}
	assert.Equal(t, len(log.Orders), MaxOrders)
	for i, order := range orders {
		assert.Equal(t, log.Contains(order), i >= 10, "order %d", i)
		assert.Equal(t, log.Covers(order), i >= 10, "order %d", i)
	}
	assert.Assert(t, !log.Contains(newOrder(20, 21, "other")))
	assert.Assert(t, log.Covers(newOrder(20, 21, "other")),
		"another order with the sequence of a contained one is known not to have been accepted")
	assert.Assert(t, len(log.Marshal()) < 64<<10, "a full log has %d bytes", len(log.Marshal()))
}

// A log that starts at a configuration from a build without logs contains that configuration, and
// is not conclusive about earlier ones.
func TestStartAt_OlderConfigurationStartsTheLog(t *testing.T) {
	config := configuration.Config{Base: 5, Sequence: 8, Source: "a"}
	log := StartAt(config)
	assert.Assert(t, log.Contains(OrderOf(config)))
	assert.Assert(t, log.Covers(newOrder(5, 7, "b")) && !log.Contains(newOrder(5, 7, "b")))
	assert.Assert(t, !log.Covers(newOrder(0, 5, "c")))
	assert.DeepEqual(t, StartAt(configuration.Config{}), Log{})
}
