//go:build review

package stand

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["config"], cases["storm"] = manyRoutes, storm }

// storm sends very large configurations one after the other, as fast as they are taken.
func storm(dir string, _ []string) int {
	d := newDay(dir, 3, 2, 3, []route{kept("aisle."), live("stop.")})
	if d == nil {
		return 2
	}
	defer d.end()
	base, taken := uint64(1), 0
	for version := uint64(2); time.Since(d.rec.begun) < 80*time.Second; version++ {
		routes := []route{kept("aisle."), live("stop.")}
		for i := range 1250 {
			r := kept(fmt.Sprintf("idle%d.", i))
			r.Timeout += int(version)
			routes = append(routes, r)
		}
		if d.op.replace(base, document(version, routes), version, 15*time.Second) != 200 {
			fmt.Printf("version %d was not taken within 15 s\n", version)
			_ = d.op.learn(&base)
			continue
		}
		base = version
		taken++
		d.op.readBack(d.op.node())
	}
	fmt.Printf("%d changes taken\n", taken)
	ok := false
	for range 10 {
		ok = d.op.readBack(d.op.node()) || ok
	}
	if !ok {
		d.book.mixed("the configuration does not come")
	}
	return d.verdict()
}

// ask sends one line after attach to a node and returns what comes back.
func ask(f *fleet, n *node, name, text string) string {
	conn, err := net.DialTimeout("tcp", f.addr(n, f.ports.client), time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, wAttach+" %s\r\n", name)
	r := bufio.NewReader(conn)
	if got, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(got, wConfirm) {
		return "not attached " + got
	}
	_, _ = fmt.Fprintf(conn, "%s\r\n", text)
	got, err := r.ReadString('\n')
	if err != nil {
		return "nothing"
	}
	return strings.TrimSpace(got)
}

// manyRoutes sends configurations with very many routes, and checks at each node that they are in
// force in time.
func manyRoutes(dir string, _ []string) int {
	d := newDay(dir, 3, 2, 3, []route{kept("aisle."), live("stop.")})
	if d == nil {
		return 2
	}
	defer d.end()
	base, version := uint64(1), uint64(1)
	for round := range 8 {
		version += 2
		routes := []route{kept("aisle."), live("stop.")}
		for i := range 1250 {
			r := kept(fmt.Sprintf("idle%d-%d.", round%2, i))
			r.Timeout += round
			routes = append(routes, r)
		}
		doc := document(version, routes)
		begun := time.Now()
		status := d.op.replace(base, doc, version, 8*time.Second)
		fmt.Printf("round %d: %d bytes, status %d after %v\n", round, len(doc), status, time.Since(begun))
		if status != 200 {
			continue
		}
		base = version
		time.Sleep(3 * time.Second)
		var wg sync.WaitGroup
		for _, n := range d.fleet.of("access") {
			wg.Go(func() {
				there := ask(d.fleet, n, "direct", fmt.Sprintf(wSubscribe+" idle%d-%d.x", round%2, 1249))
				gone := ask(d.fleet, n, "direct", fmt.Sprintf(wSubscribe+" idle%d-%d.x", 1-round%2, 1249))
				pub := ask(d.fleet, n, "direct"+n.name, fmt.Sprintf(wPublish+" idle%d-%d.x %d 20\r\n01234567890123456789",
					round%2, 1249, round+1))
				if !strings.HasPrefix(there, wConfirm) || !strings.Contains(gone, wNoDomain) || !strings.HasPrefix(pub, wAccept) {
					d.book.mixed("%s: %s / %s / %s", n.name, there, gone, pub)
				}
				d.op.readBack(n)
			})
		}
		wg.Wait()
	}
	return d.verdict()
}
