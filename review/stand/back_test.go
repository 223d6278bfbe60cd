//go:build review

package stand

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["back"] = back }

// back changes the configuration again and again, so that each version has a space of its own, and
// asks every node for the spaces of the last versions, while control machines are killed and freeze.
// No process may show an older version after a newer one.
func back(dir string, _ []string) int {
	d := newDay(dir, 3, 2, 3, []route{kept("aisle."), live("stop.")})
	if d == nil {
		return 2
	}
	defer d.end()
	stop := make(chan struct{})
	over := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for core := d.fleet.of("core"); !over() && !quiet(); {
			time.Sleep(time.Duration(1000+rand.IntN(3000)) * time.Millisecond)
			n := core[rand.IntN(3)]
			if rand.IntN(2) == 0 {
				d.fleet.kill(n)
				time.Sleep(time.Second)
				_ = d.fleet.start(n)
			} else {
				d.fleet.signal(n, syscall.SIGSTOP)
				time.Sleep(time.Duration(500+rand.IntN(3000)) * time.Millisecond)
				d.fleet.signal(n, syscall.SIGCONT)
			}
		}
	})
	for _, n := range d.fleet.of("access") {
		for worker := range 2 {
			wg.Go(func() {
				var highest uint64
				var since time.Time
				life, seq := 0, 0
				for !over() {
					n.mu.Lock()
					now := n.starts
					n.mu.Unlock()
					if now != life {
						life, highest = now, 0
					}
					current := d.op.current()
					version := current - min(current, rand.Uint64N(3))
					seq++
					begun := time.Now()
					line := fmt.Sprintf(wSubscribe+" v%d.x", version)
					if worker == 1 {
						line = fmt.Sprintf(wPublish+" v%d.x %d 20\r\n01234567890123456789", version, seq)
					}
					got := ask(d.fleet, n, fmt.Sprintf("d%s%d", n.name, worker), line)
					n.mu.Lock()
					same := n.starts == life
					n.mu.Unlock()
					if !same || !strings.HasPrefix(got, wConfirm) && !strings.HasPrefix(got, wAccept) {
						continue
					}
					d.book.count("shown")
					if version > highest {
						highest, since = version, time.Now()
					}
					late := d.op.ackedBefore(begun.Add(-15 * time.Second))
					d.book.mu.Lock()
					if version < highest && begun.After(since.Add(250*time.Millisecond)) {
						d.book.breaks("CONFIG", "%s went back from version %d to %d: %s", n.name, highest, version, got)
					}
					if version < late {
						d.book.breaks("CONFIG", "%s shows version %d, %d is in force for 15 s: %s", n.name, version, late, got)
					}
					d.book.mu.Unlock()
				}
			})
		}
	}
	version := uint64(1)
	for end := time.Now().Add(70 * time.Second); time.Now().Before(end); {
		base := d.op.current()
		version = max(version, base) + 1
		routes := []route{kept("aisle."), live("stop."), kept(fmt.Sprintf("v%d.", version))}
		if d.op.replace(base, document(version, routes), version, 10*time.Second) != 200 {
			_ = d.op.learn(&version)
		}
		time.Sleep(time.Duration(rand.IntN(1500)) * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	return d.verdict()
}
