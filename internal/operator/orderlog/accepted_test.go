package orderlog

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"postjunction/internal/configuration"
)

func order(base, sequence uint64, source string) Order {
	return Of(configuration.Config{Base: base, Sequence: sequence, Source: source})
}

func TestOrdersDifferByContentNotByLanes(t *testing.T) {
	d := configuration.Config{Base: 1, Sequence: 2, Source: "a"}
	same := d
	same.Lanes = configuration.Lanes{Urgent: []string{"x"}}
	assert.Equal(t, Of(d), Of(same))
	assert.Equal(t, Of(d).Name(), Of(same).Name())
	for _, other := range []Order{order(1, 2, "b"), order(0, 2, "a"), order(1, 3, "a")} {
		assert.Assert(t, other != Of(d))
		assert.Assert(t, other.Name() != Of(d).Name())
	}
}

func TestALogIsReadBackAsWritten(t *testing.T) {
	l := Log{Forgotten: 4}
	for _, o := range []Order{order(4, 5, "a"), order(5, 900, "b"), order(900, 901, "c")} {
		l = l.With(o)
	}
	got, err := Parse(l.Pack())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, l)
	empty, err := Parse(Log{}.Pack())
	assert.NilError(t, err)
	assert.DeepEqual(t, empty, Log{})
}

func TestADamagedLogIsNoEmptyLog(t *testing.T) {
	whole := Log{}.With(order(0, 1, "a")).With(order(1, 2, "b")).Pack()
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
	for n := uint64(0); n < Most+10; n++ {
		orders = append(orders, order(n, n+1, fmt.Sprint(n)))
		l = l.With(orders[n])
	}
	assert.Equal(t, len(l.Orders), Most)
	for n, o := range orders {
		assert.Equal(t, l.Holds(o), n >= 10, "order %d", n)
		assert.Equal(t, l.Knows(o), n >= 10, "order %d", n)
	}
	assert.Assert(t, !l.Holds(order(20, 21, "other")))
	assert.Assert(t, l.Knows(order(20, 21, "other")), "of a number that it holds it knows that no other order took it")
	assert.Assert(t, len(l.Pack()) < 64<<10, "a full log has %d bytes", len(l.Pack()))
}

// A description from before logs were kept is known, and of what came before it nothing is.
func TestALogBeginsAtAnOlderDescription(t *testing.T) {
	d := configuration.Config{Base: 5, Sequence: 8, Source: "a"}
	l := Since(d)
	assert.Assert(t, l.Holds(Of(d)))
	assert.Assert(t, l.Knows(order(5, 7, "b")) && !l.Holds(order(5, 7, "b")))
	assert.Assert(t, !l.Knows(order(0, 5, "c")))
	assert.DeepEqual(t, Since(configuration.Config{}), Log{})
}
