//go:build review

package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["promise"] = promise }

// day is what most cases begin with: a fleet that serves, with its clients.
type day struct {
	rec     *recorder
	book    *book
	fleet   *fleet
	op      *operator
	clients []*client
	end     func()
}

// quiet reports whether the case is to run without its disruption.
func quiet() bool { return os.Getenv("TROUBLE") == "0" }

// newDay starts a fleet and has it take its first configuration; nil where that fails.
func newDay(dir string, access, diskless, storage int, routes []route) *day {
	_ = os.MkdirAll(dir, 0o755)
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return nil
	}
	work, err := os.MkdirTemp("", "stand")
	if err != nil {
		fmt.Println(err)
		return nil
	}
	d := &day{rec: rec, book: newBook(rec), fleet: newFleet(work, rec, access, diskless, storage)}
	stop := make(chan struct{})
	d.end = func() {
		close(stop)
		d.fleet.stopAll()
		rec.close()
		_ = os.RemoveAll(work)
	}
	d.op = newOperator(d.fleet, d.book, rec)
	for _, n := range d.fleet.nodes {
		if err := d.fleet.start(n); err != nil {
			fmt.Println(err)
			d.end()
			return nil
		}
	}
	go d.fleet.probe(stop)
	if d.op.replace(0, document(1, routes), 1, 20*time.Second) != 200 {
		fmt.Println("the first configuration was not taken")
		d.end()
		return nil
	}
	for end := time.Now().Add(10 * time.Second); d.fleet.readyCount() < access+diskless && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	return d
}

// verdict prints what was seen and returns the exit code.
func (d *day) verdict() int {
	d.rec.log("totals: %s", d.book.summary())
	fmt.Println(d.book.summary())
	for i, text := range d.book.broken {
		if i == 12 {
			fmt.Printf("and %d more\n", len(d.book.broken)-i)
			break
		}
		fmt.Println(text)
	}
	if len(d.book.broken) > 0 {
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

// promise has clients send while the processes of all storage machines are killed at once and come
// back within a second, and looks for messages that arrive twice.
func promise(dir string, _ []string) int {
	d := newDay(dir, 3, 2, 3, []route{kept("aisle."), live("stop.")})
	if d == nil {
		return 2
	}
	defer d.end()
	d.handsets()
	time.Sleep(4 * time.Second)
	for range 3 {
		d.burst()
		if !quiet() {
			var wg sync.WaitGroup
			for _, n := range d.fleet.nodes {
				if n.class == "storage" {
					wg.Go(func() {
						d.fleet.kill(n)
						time.Sleep(500 * time.Millisecond)
						_ = d.fleet.start(n)
					})
				}
			}
			wg.Wait()
		}
		time.Sleep(13 * time.Second)
	}
	for _, c := range d.clients {
		c.commands <- "pause"
	}
	time.Sleep(6 * time.Second)
	d.book.judge()
	return d.verdict()
}

func init() { cases["promise-one"] = promiseOne }

// promiseOne kills one storage machine after the other, each only when the one before counts as
// whole again.
func promiseOne(dir string, _ []string) int {
	d := newDay(dir, 3, 2, 3, []route{kept("aisle."), live("stop.")})
	if d == nil {
		return 2
	}
	defer d.end()
	d.handsets()
	time.Sleep(4 * time.Second)
	storage := d.fleet.of("storage")
	for k := range 11 {
		d.burst()
		if !quiet() {
			n := storage[k%3]
			d.fleet.kill(n)
			time.Sleep(2800 * time.Millisecond)
			_ = d.fleet.start(n)
		}
		time.Sleep(5 * time.Second)
	}
	for _, c := range d.clients {
		c.commands <- "pause"
	}
	time.Sleep(6 * time.Second)
	d.book.judge()
	return d.verdict()
}

// handsets starts the clients: each follows two topics, and sends on one.
func (d *day) handsets() {
	zones := []string{"hall-ouest", "hall-est", "quai-expe"}
	for i := range 40 {
		c := newClient(fmt.Sprintf("u%d", i), zones[i%3], d.fleet, d.book, d.rec)
		c.kept = func(topic string) bool { return !strings.HasPrefix(topic, "stop.") }
		c.topics = []string{fmt.Sprintf("aisle.%d", i), fmt.Sprintf("aisle.%d", (i+1)%40)}
		c.sends = []string{fmt.Sprintf("aisle.%d", i)}
		c.every, c.bodyBytes = 250*time.Millisecond, 200
		if i%3 == 0 {
			c.window = 8
		}
		d.clients = append(d.clients, c)
		go c.run()
	}
}

// burst has every client send at once, and returns when that is under way.
func (d *day) burst() {
	d.rec.log("every client sends")
	for _, c := range d.clients {
		c.commands <- "burst"
	}
	time.Sleep(3 * time.Millisecond)
}
