//go:build review

package stand

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["chaos"] = chaos }

// chaos plays troubles at random for a time, and judges everything.
func chaos(dir string, args []string) int {
	seconds, kinds := 60, ""
	if len(args) > 0 {
		seconds, _ = strconv.Atoi(args[0])
	}
	if len(args) > 1 {
		kinds = args[1]
	}
	_ = os.MkdirAll(dir, 0o755)
	rec, err := newRecorder(filepath.Join(dir, "record.txt"))
	if err != nil {
		return 2
	}
	defer rec.close()
	b := newBook(rec)
	f := newFleet(dir, rec, 3, 2, 3)
	if os.Getenv("STAND_FOUR") != "" {
		f = newFleet(dir, rec, 4, 1, 4)
	}
	if os.Getenv("STAND_LOSSES") == "2" {
		f = newFleet(dir, rec, 5, 0, 5)
		f.losses = 2
	}
	defer f.stopAll()
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	stopProbe := make(chan struct{})
	go f.probe(stopProbe)
	defer close(stopProbe)
	op := newOperator(f, b, rec)
	routes := []route{kept("aisle."), live("stop.")}
	ordered := kept("order.")
	ordered.Order = wPerTopic
	routes = append(routes, ordered)
	if op.replace(0, document(1, routes), 1, 15*time.Second) != 200 {
		fmt.Println("no first configuration")
		return 2
	}
	for end := time.Now().Add(10 * time.Second); f.readyCount() < 5 && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
	}
	zones := []string{"hall-ouest", "hall-est", "quai-expe"}
	var clients []*client
	for i := range 36 {
		c := newClient(fmt.Sprintf("u%d", i), zones[i%3], f, b, rec)
		c.kept = func(topic string) bool { return !strings.HasPrefix(topic, "stop.") }
		c.topics = []string{fmt.Sprintf("aisle.%d", i%12), fmt.Sprintf("aisle.%d", (i*5+1)%12), fmt.Sprintf("stop.%d", i%4),
			fmt.Sprintf("order.%d", i%3)}
		c.sends = []string{fmt.Sprintf("aisle.%d", i%12), fmt.Sprintf("aisle.%d", (i*7+3)%12), fmt.Sprintf("order.%d", i%3)}
		if i%4 == 0 {
			c.sends = append(c.sends, fmt.Sprintf("stop.%d", i%4))
		}
		if i%3 == 0 {
			c.window = 8
		}
		if i%2 == 0 {
			c.deadline = 5 * time.Second
		}
		c.every = 250 * time.Millisecond
		c.careful = os.Getenv("STAND_CAREFUL") != ""
		c.churn = os.Getenv("STAND_CHURN") != ""
		if os.Getenv("STAND_LARGE") != "" && i%3 == 0 {
			c.bodyBytes = 16 << 10
			c.every = time.Second
		}
		clients = append(clients, c)
		go c.run()
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { reads(op, stop) })
	wg.Go(func() { changes(op, routes, stop) })
	trouble(f, clients, time.Now().Add(time.Duration(seconds)*time.Second), kinds, rec)
	close(stop)
	wg.Wait()
	for _, c := range clients {
		c.commands <- "pause"
	}
	time.Sleep(12 * time.Second)
	// New clients take places that were given to others.
	var late []*client
	b.mu.Lock()
	subs := append([]*subscription(nil), b.subs...)
	for i := range 60 {
		s := subs[rand.IntN(len(subs))]
		if len(s.got) < 2 || !s.kept {
			continue
		}
		k := rand.IntN(len(s.got) - 1)
		for k < len(s.got) && time.Since(s.got[k].at) > 25*time.Second {
			k++
		}
		if k >= len(s.got) {
			continue
		}
		c := newClient(fmt.Sprintf("late%d", i), zones[i%3], f, b, rec)
		c.topics = []string{s.topic}
		n := &subscription{client: c.name, topic: s.topic, kept: true, cursor: s.got[k].cursor,
			seen: map[*message]bool{}, last: map[string]uint64{}}
		for _, g := range s.got[k+1:] {
			if !g.m.ackedAt.IsZero() {
				n.must = append(n.must, g.m)
			}
		}
		b.subs = append(b.subs, n)
		c.subs[s.topic] = n
		late = append(late, c)
	}
	b.mu.Unlock()
	for _, c := range late {
		go c.run()
	}
	time.Sleep(5 * time.Second)
	b.judge()
	for _, n := range f.nodes {
		if n.ownEnds > 0 {
			b.breaks("Fault", "%s ended by itself %d times", n.name, n.ownEnds)
		}
	}
	ok := false
	for range 20 {
		ok = op.readBack(op.node()) || ok
	}
	if !ok {
		b.breaks("CONFIG", "the configuration does not come")
	}
	fmt.Println(b.summary())
	for i, text := range b.broken {
		if i < 40 {
			fmt.Println(text)
		}
	}
	if len(b.broken) > 0 {
		return 1
	}
	return 0
}

func reads(op *operator, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
			op.readBack(op.node())
		}
	}
}

// changes sends one change after another, some of them in a race.
func changes(op *operator, routes []route, stop <-chan struct{}) {
	next := uint64(2)
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1000+rand.IntN(2500)) * time.Millisecond):
		}
		base := op.current()
		next = max(next, base) + 1 + rand.Uint64N(3)
		more := append(append([]route(nil), routes...), kept(fmt.Sprintf("idle%d.", rand.IntN(5))))
		more[0].Timeout = 1500 + rand.IntN(100)
		if rand.IntN(2) == 0 {
			op.replace(base, document(next, more), next, 8*time.Second)
			continue
		}
		other := append([]route(nil), more...)
		other[1].Timeout = 2000 + rand.IntN(1000)
		v2 := next + rand.Uint64N(2)
		var a, b int
		var wg sync.WaitGroup
		wg.Go(func() { a = op.replace(base, document(next, more), next, 8*time.Second) })
		wg.Go(func() { b = op.replace(base, document(v2, other), v2, 8*time.Second) })
		wg.Wait()
		if a == 200 && b == 200 {
			op.book.mu.Lock()
			op.book.breaks("CONFIG", "two changes on %d were both acknowledged", base)
			op.book.mu.Unlock()
		}
		next = max(next, v2)
		if a == 0 || b == 0 {
			// Which one is in force is read back.
			for op.learn(&next) != nil {
				time.Sleep(300 * time.Millisecond)
			}
		}
	}
}

func trouble(f *fleet, clients []*client, end time.Time, only string, rec *recorder) {
	storage, core := f.of("storage"), f.of("core")
	any := func(nodes []*node) *node { return nodes[rand.IntN(len(nodes))] }
	down := func(n *node, wipe bool) {
		f.kill(n)
		time.Sleep(time.Duration(300+rand.IntN(3000)) * time.Millisecond)
		if wipe {
			f.wipe(n)
		}
		_ = f.start(n)
	}
	acts := map[string]func(){
		"kill-storage": func() { down(any(storage), false) },
		"kill-access":  func() { down(any(f.of("access")), false) },
		"wipe-storage": func() { down(any(storage), true); time.Sleep(5 * time.Second) },
		"wipe-core":    func() { down(any(core), true); time.Sleep(5 * time.Second) },
		"stop": func() {
			n := any(f.nodes)
			f.signal(n, syscall.SIGSTOP)
			time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
			f.signal(n, syscall.SIGCONT)
		},
		"term": func() { n := any(f.nodes); f.term(n); time.Sleep(500 * time.Millisecond); _ = f.start(n) },
		"herd": func() {
			var wg sync.WaitGroup
			for _, n := range append(append([]*node(nil), core...), storage...) {
				wg.Go(func() {
					f.kill(n)
					time.Sleep(time.Duration(200+rand.IntN(700)) * time.Millisecond)
					_ = f.start(n)
				})
			}
			wg.Wait()
			time.Sleep(3 * time.Second)
		},
		"halves": func() {
			for _, n := range []*node{core[0], storage[0], storage[1]} {
				f.signal(n, syscall.SIGSTOP)
			}
			time.Sleep(time.Duration(1000+rand.IntN(3000)) * time.Millisecond)
			for _, n := range []*node{core[0], storage[0], storage[1]} {
				f.signal(n, syscall.SIGCONT)
			}
		},
		"roll-wipe-storage": func() { rollWipe(f, storage) },
		"roll-wipe-core":    func() { rollWipe(f, core) },
		"roll-wipe-both":    func() { rollWipe(f, append(append([]*node(nil), core...), storage...)) },
		"roll-long": func() {
			for i, c := range clients {
				if i%2 == 0 {
					c.commands <- "long"
				}
			}
			for end := time.Now().Add(34 * time.Second); time.Now().Before(end); {
				down(any(storage), rand.IntN(2) == 0)
				time.Sleep(5 * time.Second)
			}
			time.Sleep(3 * time.Second)
		},
		"roll-two": func() {
			nodes := append(append([]*node(nil), core...), storage...)
			rand.Shuffle(len(nodes), func(i, k int) { nodes[i], nodes[k] = nodes[k], nodes[i] })
			var wg sync.WaitGroup
			for _, n := range nodes[:2] {
				wg.Go(func() {
					f.kill(n)
					time.Sleep(500 * time.Millisecond)
					f.wipe(n)
					_ = f.start(n)
				})
			}
			wg.Wait()
			time.Sleep(6100 * time.Millisecond)
		},
		"roll-overlap": func() {
			nodes := append(append([]*node(nil), core...), storage...)
			rand.Shuffle(len(nodes), func(i, k int) { nodes[i], nodes[k] = nodes[k], nodes[i] })
			var wg sync.WaitGroup
			for i, n := range nodes[:2+rand.IntN(len(nodes)-1)] {
				wg.Go(func() {
					time.Sleep(time.Duration(rand.IntN(4000)) * time.Millisecond)
					f.kill(n)
					time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
					if i == 0 {
						f.wipe(n)
					}
					_ = f.start(n)
				})
			}
			wg.Wait()
			time.Sleep(13 * time.Second)
		},
		"away": func() {
			for _, c := range clients {
				if rand.IntN(3) > 0 {
					select {
					case c.commands <- "away":
					default:
					}
				}
			}
		},
		"reset": func() {
			for _, c := range clients {
				if rand.IntN(3) > 0 {
					select {
					case c.commands <- "reset":
					default:
					}
				}
			}
		},
	}
	var names []string
	for name := range acts {
		if only == "" && !strings.HasPrefix(name, "roll") || only != "" && strings.Contains(only, name) {
			names = append(names, name)
		}
	}
	for time.Now().Before(end) {
		name := names[rand.IntN(len(names))]
		rec.log("trouble: %s", name)
		acts[name]()
		time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
	}
}

// rollWipe has one machine after the other lose its disk, each as soon as the one before counts as
// whole again.
func rollWipe(f *fleet, nodes []*node) {
	for _, n := range nodes {
		f.kill(n)
		time.Sleep(500 * time.Millisecond)
		f.wipe(n)
		_ = f.start(n)
		time.Sleep(4150 * time.Millisecond)
	}
}
