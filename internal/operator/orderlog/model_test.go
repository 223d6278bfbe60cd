package orderlog

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Compares a log with a plain list of all accepted orders. After each step the log contains exactly
// the newest orders, is conclusive about those above the last dropped one, and decodes to what was
// encoded.
func TestLog_AgainstAPlainList(t *testing.T) {
	var full Log
	for n := range uint64(MaxOrders - 5) {
		full.Orders = append(full.Orders, Order{Base: n, Sequence: n + 1, Digest: Digest{byte(n), byte(n >> 8)}})
	}
	rapid.Check(t, func(t *rapid.T) {
		var log Log
		var orders []Order
		if rapid.Bool().Draw(t, "nearly full") {
			log, orders = full, slices.Clone(full.Orders)
		}
		t.Repeat(map[string]func(*rapid.T){
			"an order is accepted": func(t *rapid.T) {
				base := uint64(0)
				if len(orders) > 0 {
					base = orders[len(orders)-1].Sequence
				}
				rise := rapid.Uint64Range(1, 1<<40).Draw(t, "rise")
				accepted := newOrder(base, base+rise, fmt.Sprint("accepted ", len(orders)))
				orders = append(orders, accepted)
				log = log.Append(accepted)
			},
			"": func(t *rapid.T) {
				decoded, err := Parse(log.Marshal())
				if err != nil {
					t.Fatal(err)
				}
				if !slices.Equal(decoded.Orders, log.Orders) || decoded.ForgottenThrough != log.ForgottenThrough {
					t.Fatal("the decoded log differs from the encoded one")
				}
				remembered := orders[max(0, len(orders)-MaxOrders):]
				if len(log.Orders) != len(remembered) {
					t.Fatalf("%d orders are contained, want %d", len(log.Orders), len(remembered))
				}
				forgotten := len(orders) - len(remembered)
				for _, i := range []int{0, forgotten - 1, forgotten, len(orders) - 1} {
					if i < 0 || i >= len(orders) {
						continue
					}
					contained := i >= forgotten
					if log.Contains(orders[i]) != contained || log.Covers(orders[i]) != contained {
						t.Fatalf("order %d of %d: contained %v, covered %v",
							i, len(orders), log.Contains(orders[i]), log.Covers(orders[i]))
					}
				}
			},
		})
	})
}
