//go:build review

package stand

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["orders"] = orders }

// hasty sends an order again and again, giving up on answers at random, until one is clear.
func (o *operator) hasty(base uint64, doc []byte, limit time.Duration) int {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		n := o.node()
		client := &http.Client{Timeout: time.Duration(3+rand.IntN(400)) * time.Millisecond,
			Transport: &http.Transport{DisableKeepAlives: true}}
		req, _ := http.NewRequest("POST", "http://"+o.fleet.addr(n, o.fleet.ports.control)+wReplace,
			bytes.NewReader(doc))
		req.Header.Set(wBase, fmt.Sprint(base))
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode < 500 {
			o.rec.log("operator: order on %d at %s: %d %.120s", base, n.name, resp.StatusCode, text)
			return resp.StatusCode
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0
}

// orders has eight operators change the configuration at once, with answers that are lost, while
// control machines are killed and freeze.
func orders(dir string, _ []string) int {
	d := newDay(dir, 3, 2, 3, []route{kept("aisle."), live("stop.")})
	if d == nil {
		return 2
	}
	defer d.end()
	stop := make(chan struct{})
	var troubles sync.WaitGroup
	troubles.Go(func() {
		for core := d.fleet.of("core"); ; {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(300+rand.IntN(1500)) * time.Millisecond):
			}
			n := core[rand.IntN(3)]
			if rand.IntN(2) == 0 {
				d.fleet.kill(n)
				time.Sleep(time.Duration(200+rand.IntN(1000)) * time.Millisecond)
				_ = d.fleet.start(n)
			} else {
				d.fleet.signal(n, syscall.SIGSTOP)
				time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
				d.fleet.signal(n, syscall.SIGCONT)
			}
		}
	})
	base, next := uint64(1), uint64(1)
	taken := map[string]uint64{}
	for begun := time.Now(); time.Since(begun) < 80*time.Second; {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var acked [][]byte
		docs := map[string]int{}
		for i := range 8 {
			version := next + 1 + rand.Uint64N(3)
			routes := []route{kept("aisle."), live("stop."), kept(fmt.Sprintf("idle%d.", i))}
			routes[0].Timeout = 1000 + rand.IntN(10000)
			doc := document(version, routes)
			wg.Go(func() {
				status := d.op.hasty(base, doc, 20*time.Second)
				mu.Lock()
				defer mu.Unlock()
				docs[string(doc)] = status
				if status == 200 {
					acked = append(acked, doc)
					taken[string(doc)] = base
				}
			})
		}
		wg.Wait()
		d.book.mu.Lock()
		d.book.counts["rounds"]++
		if len(acked) > 1 {
			d.book.breaks("CONFIG", "%d changes on %d were acknowledged", len(acked), base)
		}
		d.book.mu.Unlock()
		var body []byte
		for status := 0; status != 200; time.Sleep(50 * time.Millisecond) {
			status, body, _ = d.op.call(d.op.node(), "GET", wRead, "", nil)
		}
		d.book.mu.Lock()
		if status, ok := docs[string(body)]; ok && status >= 400 {
			d.book.breaks("CONFIG", "the change on %d that is in force was refused with %d", base, status)
		} else if len(acked) == 1 && string(body) != string(acked[0]) {
			d.book.breaks("CONFIG", "another change than the acknowledged one on %d is in force: %.90s", base, body)
		}
		d.book.mu.Unlock()
		for doc, on := range taken {
			if rand.IntN(4) == 0 || len(acked) == 1 && doc == string(acked[0]) {
				if status := d.op.hasty(on, []byte(doc), 10*time.Second); status >= 400 {
					d.book.mixed("CONFIG: an acknowledged change on %d is refused with %d", on, status)
				}
			}
		}
		if version, err := versionOf(body); err == nil {
			base = version
		}
		next = max(next, base)
	}
	close(stop)
	troubles.Wait()
	return d.verdict()
}
