//go:build review

package stand

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["retire"] = retire }

// retire empties storage machines and takes them away as soon as that is said to be done, with a
// new machine for each, and has another machine lose its disk right after.
func retire(dir string, _ []string) int {
	d := newDay(dir, 3, 2, 4, []route{kept("aisle."), live("stop.")})
	if d == nil {
		return 2
	}
	defer d.end()
	zones := []string{"hall-ouest", "hall-est", "quai-expe"}
	for i := range 30 {
		c := newClient(fmt.Sprintf("u%d", i), zones[i%3], d.fleet, d.book, d.rec)
		c.kept = func(topic string) bool { return !strings.HasPrefix(topic, "stop.") }
		c.topics = []string{fmt.Sprintf("aisle.%d", i), fmt.Sprintf("aisle.%d", (i+1)%30)}
		c.sends = []string{fmt.Sprintf("aisle.%d", i)}
		c.every, c.bodyBytes, c.deadline, c.careful = 150*time.Millisecond, 400, 3*time.Second, true
		d.clients = append(d.clients, c)
		go c.run()
	}
	time.Sleep(3 * time.Second)
	f := d.fleet
	for k := range 4 {
		n := &node{name: fmt.Sprintf("storage-new-%d", k), zone: zones[k%3], class: "storage", disk: true,
			ip: f.ipBase + fmt.Sprint(100+k)}
		n.dir = filepath.Join(f.dir, n.name)
		f.nodes = append(f.nodes, n)
		_ = f.start(n)
		time.Sleep(4200 * time.Millisecond)
		var old *node
		for _, m := range f.of("storage") {
			if m.wanted && old == nil {
				old = m
			}
		}
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			status, body, err := d.op.call(d.op.node(), "POST", wRetire+old.name, "", []byte(`{"duration_s":10}`))
			d.rec.log("operator: retire %s: %d %s %v", old.name, status, body, err)
			if err == nil && status == 200 {
				break
			}
		}
		if rand.IntN(2) == 0 {
			core := f.of("core")
			m := core[rand.IntN(3)]
			go func() {
				time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
				f.kill(m)
				time.Sleep(time.Second)
				_ = f.start(m)
			}()
		}
		for end := time.Now().Add(25 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			status, body, err := d.op.call(d.op.node(), "GET", wRetireRead+old.name, "", nil)
			if err == nil && status == 200 && strings.Contains(string(body), wCompleted) {
				d.rec.log("operator: %s is empty", old.name)
				f.kill(old)
				f.wipe(old)
				break
			}
		}
		var rest []*node
		for _, m := range f.of("storage") {
			if m.wanted {
				rest = append(rest, m)
			}
		}
		m := rest[rand.IntN(len(rest))]
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		f.kill(m)
		time.Sleep(500 * time.Millisecond)
		f.wipe(m)
		_ = f.start(m)
		time.Sleep(5 * time.Second)
	}
	for _, c := range d.clients {
		c.commands <- "pause"
	}
	time.Sleep(6 * time.Second)
	d.book.judge()
	return d.verdict()
}
