//go:build review

package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

func init() { cases["founding"] = founding }

// founding starts the whole system for the first time, kills the process of one of the three seeds
// while the others start, and starts it again a second later, as a machine of a system that was
// started before. Then it waits for the first configuration to be taken and a message to be
// delivered.
func founding(dir string, _ []string) int {
	_ = os.MkdirAll(dir, 0o755)
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer rec.close()
	work, err := os.MkdirTemp("", "stand")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer func() { _ = os.RemoveAll(work) }()
	f := newFleet(work, rec, 3, 2, 3)
	d := &day{rec: rec, book: newBook(rec), fleet: f}
	defer f.stopAll()
	killed := make(chan struct{})
	// All machines start within 0.3 s of each other, in any order; here the other two seeds are last.
	order := append([]*node{f.nodes[0]}, f.nodes[3:]...)
	order = append(order, f.nodes[1], f.nodes[2])
	for i, n := range order {
		if err := f.start(n); err != nil {
			fmt.Println(err)
			return 2
		}
		if i == 0 && !quiet() {
			go func() {
				time.Sleep(200 * time.Millisecond)
				f.kill(n)
				time.Sleep(time.Second)
				_ = f.start(n)
				close(killed)
			}()
		}
		time.Sleep(280 * time.Millisecond / time.Duration(len(f.nodes)-1))
	}
	stop := make(chan struct{})
	defer close(stop)
	go f.probe(stop)
	if !quiet() {
		<-killed
	}
	op := newOperator(f, d.book, rec)
	begun := time.Now()
	status := op.replace(0, document(1, []route{kept("aisle."), live("stop.")}), 1, 60*time.Second)
	took := time.Since(begun).Seconds()
	fmt.Printf("first configuration: status %d after %.1f s, %d access machines ready\n", status, took, f.readyCount())
	if status != 200 {
		rec.log("no node took the first configuration in %.1f s, %d access machines ready", took, f.readyCount())
	}
	c := newClient("u1", "hall-ouest", f, d.book, rec)
	c.topics, c.sends, c.every, c.deadline = []string{"aisle.1"}, []string{"aisle.1"}, 300*time.Millisecond, 5*time.Second
	go c.run()
	time.Sleep(15 * time.Second)
	c.end()
	if d.book.counts["answer "+wAccept] == 0 {
		d.book.mu.Lock()
		d.book.breaks("Fault", "no request is served, %.0f s after the start", time.Since(rec.begun).Seconds())
		d.book.mu.Unlock()
	}
	return d.verdict()
}
