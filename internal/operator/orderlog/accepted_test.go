package orderlog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/configuration"
)

func order(base, sequence uint64, source string) Order {
	return OrderOf(configuration.Config{Base: base, Sequence: sequence, Source: source})
}

func TestOrdersDifferByContentNotByLanes(t *testing.T) {
	d := configuration.Config{Base: 1, Sequence: 2, Source: "a"}
	same := d
	same.Lanes = configuration.Lanes{Urgent: []string{"x"}}
	assert.Equal(t, OrderOf(d), OrderOf(same))
	assert.Equal(t, OrderOf(d).ChangeID(), OrderOf(same).ChangeID())
	for _, other := range []Order{order(1, 2, "b"), order(0, 2, "a"), order(1, 3, "a")} {
		assert.Assert(t, other != OrderOf(d))
		assert.Assert(t, other.ChangeID() != OrderOf(d).ChangeID())
	}
}

func TestALogIsReadBackAsWritten(t *testing.T) {
	l := Log{ForgottenThrough: 4}
	for _, o := range []Order{order(4, 5, "a"), order(5, 900, "b"), order(900, 901, "c")} {
		l = l.Append(o)
	}
	got, err := Parse(l.Marshal())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, l)
	empty, err := Parse(Log{}.Marshal())
	assert.NilError(t, err)
	assert.DeepEqual(t, empty, Log{})
}

func TestADamagedLogIsNoEmptyLog(t *testing.T) {
	whole := Log{}.Append(order(0, 1, "a")).Append(order(1, 2, "b")).Marshal()
	for cut := range len(whole) {
		_, err := Parse(whole[:cut])
		assert.Assert(t, err != nil, "cut at %d", cut)
	}
	_, err := Parse(append(whole, 0))
	assert.Assert(t, err != nil)
	_, err = Parse([]byte{9, 0, 0})
	assert.Assert(t, err != nil)
}

// Past its bound a log forgets the oldest orders and says that it knows nothing of them.
func TestALogForgetsTheOldestAndSaysSo(t *testing.T) {
	l := Log{}
	var orders []Order
	for n := uint64(0); n < MaxOrders+10; n++ {
		orders = append(orders, order(n, n+1, fmt.Sprint(n)))
		l = l.Append(orders[n])
	}
	assert.Equal(t, len(l.Orders), MaxOrders)
	for n, o := range orders {
		assert.Equal(t, l.Contains(o), n >= 10, "order %d", n)
		assert.Equal(t, l.Covers(o), n >= 10, "order %d", n)
	}
	assert.Assert(t, !l.Contains(order(20, 21, "other")))
	assert.Assert(t, l.Covers(order(20, 21, "other")), "of a number that it holds it knows that no other order took it")
	assert.Assert(t, len(l.Marshal()) < 64<<10, "a full log has %d bytes", len(l.Marshal()))
}

// A description from before logs were kept is known, and of what came before it nothing is.
func TestALogBeginsAtAnOlderDescription(t *testing.T) {
	d := configuration.Config{Base: 5, Sequence: 8, Source: "a"}
	l := StartAt(d)
	assert.Assert(t, l.Contains(OrderOf(d)))
	assert.Assert(t, l.Covers(order(5, 7, "b")) && !l.Contains(order(5, 7, "b")))
	assert.Assert(t, !l.Covers(order(0, 5, "c")))
	assert.DeepEqual(t, StartAt(configuration.Config{}), Log{})
}
