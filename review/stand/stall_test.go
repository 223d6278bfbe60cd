//go:build review

package stand

import (
	"fmt"
	"time"
)

func init() { cases["stall"] = stall }

// stall has subscribers of a busy topic with long messages stop reading for some seconds, again and
// again.
func stall(dir string, _ []string) int {
	d := newDay(dir, 3, 2, 3, []route{kept("aisle."), live("stop.")})
	if d == nil {
		return 2
	}
	defer d.end()
	zones := []string{"hall-ouest", "hall-est", "quai-expe"}
	for i := range 12 {
		c := newClient(fmt.Sprintf("u%d", i), zones[i%3], d.fleet, d.book, d.rec)
		c.window, c.bodyBytes, c.deadline, c.careful = 8, 16<<10, 3*time.Second, true
		if i < 6 {
			c.sends, c.every = []string{"aisle.hot"}, 90*time.Millisecond
		} else {
			c.topics = []string{"aisle.hot"}
		}
		d.clients = append(d.clients, c)
		go c.run()
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Second) {
		for _, c := range d.clients[6:11] {
			if !quiet() {
				c.commands <- "stall"
			}
		}
	}
	for _, c := range d.clients {
		c.commands <- "pause"
	}
	time.Sleep(15 * time.Second)
	d.book.judge()
	return d.verdict()
}
