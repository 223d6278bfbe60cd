//go:build review

package stand

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	keepalive     = 2 * time.Second
	answerTimeout = 1500 * time.Millisecond
)

var dumped atomic.Bool

// line is one message of the server.
type line struct {
	fields []string
	body   string
}

// outgoing is a message on its way, with the try that waits for its answer.
type outgoing struct {
	m        *message
	seq      uint64
	try      *try
	sentAt   time.Time
	notYet   time.Time
	deadline time.Time
	renewals int
}

// client is one handset: it follows topics, and sends on some.
type client struct {
	name, zone string
	fleet      *fleet
	book       *book
	rec        *recorder
	topics     []string // that it follows
	sends      []string // that it sends on
	window     int
	every      time.Duration // between two messages
	deadline   time.Duration
	kept       func(topic string) bool
	bodyBytes  int
	node       *node // connects there only, unless nil
	quiet      bool
	commands   chan string
	stop       chan struct{}
	done       chan struct{}

	subs    map[string]*subscription
	seq     uint64
	queues  map[string][]*outgoing
	nextPub time.Time
	turn    int
	paused  bool
	tries   int
	onNode  *node

	conn     net.Conn
	lines    chan line
	lastSaid time.Time
	lastHear time.Time
	asked    map[string]time.Time // subscribe in flight on this connection
	live     map[string]bool      // topics of this connection
	refused  map[string]time.Time
	leaving  map[string]bool
	// stalledUntil is when the client reads again, in nanoseconds.
	stalledUntil atomic.Int64
	after        string // address after a redirect
	away         time.Duration
	churn        bool
	// congestPause is the pause before a message is sent again under a new number.
	congestPause time.Duration
	careful      bool // drops a message whose number got "congested" after another answer
}

func newClient(name, zone string, f *fleet, b *book, rec *recorder) *client {
	return &client{
		name: name, zone: zone, fleet: f, book: b, rec: rec, window: 1, deadline: answerTimeout,
		congestPause: 250 * time.Millisecond,
		kept:         func(string) bool { return true }, bodyBytes: 40,
		commands: make(chan string, 8), stop: make(chan struct{}), done: make(chan struct{}),
		subs: map[string]*subscription{}, queues: map[string][]*outgoing{}, tries: rand.IntN(1000),
	}
}

func (c *client) run() {
	defer close(c.done)
	pause := time.Duration(0)
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
		began := time.Now()
		if c.connect() {
			c.stay()
			_ = c.conn.Close()
		}
		c.tries++
		pause = 200 * time.Millisecond
		if time.Since(began) < time.Second {
			pause = time.Duration(300+rand.IntN(700)) * time.Millisecond
		}
		if c.after != "" {
			pause = 30 * time.Millisecond
		}
		if c.away > 0 {
			pause, c.away = c.away, 0
		}
		for _, queue := range c.queues {
			for _, o := range queue {
				o.try = nil
			}
		}
	}
}

func (c *client) end() {
	close(c.stop)
	<-c.done
}

func (c *client) connect() bool {
	addr, n := c.fleet.pick(c.zone, c.tries)
	if c.node != nil {
		addr, n = c.fleet.addr(c.node, c.fleet.ports.client), c.node
	}
	if c.after != "" {
		addr, c.after = c.after, ""
	}
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		c.book.count("no connection")
		return false
	}
	c.conn, c.onNode, c.lines = conn, n, make(chan line, 1024)
	c.asked, c.live, c.refused = map[string]time.Time{}, map[string]bool{}, map[string]time.Time{}
	c.leaving = map[string]bool{}
	c.lastHear, c.lastSaid = time.Now(), time.Now()
	go c.read(conn, c.lines)
	c.say(wAttach + " " + c.name)
	select {
	case l, ok := <-c.lines:
		if ok && len(l.fields) >= 2 && l.fields[0] == wConfirm && l.fields[1] == wAttach {
			break
		}
		if ok && l.fields[0] == wRedirect {
			c.after = l.fields[1]
		}
		_ = conn.Close()
		return false
	case <-time.After(answerTimeout):
		_ = conn.Close()
		return false
	}
	for _, topic := range c.topics {
		c.subscribe(topic)
	}
	// What was meant for the connection before is void.
	for len(c.commands) > 0 {
		if command := <-c.commands; command == "pause" {
			c.paused = true
		}
	}
	return true
}

func (c *client) subscribe(topic string) {
	s := c.subs[topic]
	if s == nil {
		s = c.book.newSubscription(c.name, topic, c.kept(topic))
		c.subs[topic] = s
	}
	if !c.live[topic] {
		c.book.newConnection(s)
	}
	c.live[topic], c.asked[topic] = true, time.Now()
	if s.cursor == "" {
		c.say(wSubscribe + " " + topic)
	} else {
		c.say(wSubscribe + " " + topic + " " + s.cursor)
	}
}

func (c *client) say(text string) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	begun := time.Now()
	_, err := io.WriteString(c.conn, text+"\r\n")
	c.lastSaid = time.Now()
	if took := c.lastSaid.Sub(begun); took > 500*time.Millisecond {
		c.rec.log("%s: %s took %v to take %d bytes: %v", c.name, c.onNode.name, took, len(text), err)
		if os.Getenv("STAND_DUMP") != "" && dumped.CompareAndSwap(false, true) {
			c.fleet.signal(c.onNode, syscall.SIGQUIT)
		}
	}
	if !c.quiet {
		c.rec.log("%s > %s", c.name, strings.ReplaceAll(shorten(text), "\r\n", " "))
	}
}

func shorten(text string) string {
	if len(text) > 90 {
		return text[:90] + "..."
	}
	return text
}

func (c *client) read(conn net.Conn, out chan<- line) {
	defer close(out)
	r := bufio.NewReaderSize(conn, 64<<10)
	for {
		if until := time.Unix(0, c.stalledUntil.Load()); time.Now().Before(until) {
			time.Sleep(time.Until(until))
		}
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		l := line{fields: strings.Fields(text)}
		if len(l.fields) == 0 || !strings.HasSuffix(text, "\r\n") {
			c.book.mixed("%s got a line that can't be read: %q", c.name, text)
			return
		}
		if l.fields[0] == wDeliver {
			size, err := strconv.Atoi(l.fields[len(l.fields)-1])
			if err != nil || len(l.fields) != 6 {
				c.book.mixed("%s got a line that can't be read: %q", c.name, text)
				return
			}
			body := make([]byte, size+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			l.body = string(body[:size])
		}
		out <- l
	}
}

// stay serves a connection until it ends.
func (c *client) stay() {
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-c.stop:
			return
		case command := <-c.commands:
			switch command {
			case "reset":
				if t, ok := c.conn.(*net.TCPConn); ok {
					_ = t.SetLinger(0)
				}
				return
			case "away":
				c.away = time.Duration(500+rand.IntN(6000)) * time.Millisecond
				return
			case "burst":
				for len(c.queues[c.sends[0]]) < c.window {
					c.compose(c.sends[0], time.Now())
				}
				c.publish(c.sends[0], time.Now())
			case "stall":
				c.stalledUntil.Store(time.Now().Add(3 * time.Second).UnixNano())
			case "long":
				c.away = 33 * time.Second
				return
			case "pause":
				c.paused = true
			case "go":
				c.paused = false
			}
		case l, ok := <-c.lines:
			if !ok {
				c.book.count("connection ended")
				return
			}
			c.lastHear = time.Now()
			if !c.handle(l) {
				return
			}
		case <-tick.C:
			if !c.tick() {
				return
			}
		}
	}
}

func (c *client) handle(l line) bool {
	f := l.fields
	if !c.quiet {
		c.rec.log("%s < %s", c.name, strings.Join(f, " "))
	}
	field := func(i int) string {
		if i < len(f) && f[i] != "-" {
			return f[i]
		}
		return ""
	}
	switch f[0] {
	case wDeliver:
		s := c.subs[f[1]]
		if s == nil && c.leaving[f[1]] {
			return true
		}
		if s == nil || !c.live[f[1]] {
			c.book.mixed("%s got a message on %s, which this connection did not ask for", c.name, f[1])
			return true
		}
		seq, _ := strconv.ParseUint(f[4], 10, 64)
		c.book.delivered(s, f[3], seq, f[2], l.body)
	case wConfirm:
		if field(1) == wSubscribe {
			if _, ok := c.asked[f[2]]; !ok {
				c.book.mixed("%s got %v, which it did not ask for", c.name, f)
				return true
			}
			delete(c.asked, f[2])
			c.book.confirmed(c.subs[f[2]], field(3))
		}
		if field(1) == wUnsubscribe {
			delete(c.leaving, f[2])
			c.live[f[2]] = false
			c.refused[f[2]] = time.Now().Add(time.Duration(rand.IntN(800)) * time.Millisecond)
		}
	case wAccept:
		seq, _ := strconv.ParseUint(f[2], 10, 64)
		c.answer(f[1], seq, wAccept)
	case wReject:
		c.rejected(field(1), field(2), field(3), field(4))
	case wRedirect:
		c.after = f[1]
		c.book.count("redirected")
		return false
	case wAlive, wTally:
	default:
		c.book.mixed("%s got %v, which can't be read", c.name, f)
	}
	return true
}

func (c *client) rejected(word, topic, number, reason string) {
	c.book.count("reject " + word + " " + reason)
	switch word {
	case wPublish:
		seq, _ := strconv.ParseUint(number, 10, 64)
		c.answer(topic, seq, reason)
	case wSubscribe:
		delete(c.asked, topic)
		s := c.subs[topic]
		if s == nil {
			return
		}
		if reason == wExpired {
			c.book.expired(s)
			s = c.book.newSubscription(c.name, topic, c.kept(topic))
			c.subs[topic] = s
		}
		c.refused[topic] = time.Now().Add(500 * time.Millisecond)
	}
}

// answer takes the answer to a publish.
func (c *client) answer(topic string, seq uint64, answer string) {
	queue := c.queues[topic]
	for i, o := range queue {
		if o.seq != seq || o.try == nil {
			continue
		}
		c.book.answered(o.m, o.try, answer)
		o.try = nil
		switch {
		case answer == wAccept:
			c.queues[topic] = append(append([]*outgoing(nil), queue[:i]...), queue[i+1:]...)
		case answer == wCongest && c.careful && c.book.mayStand(o.m, seq):
			c.queues[topic] = append(append([]*outgoing(nil), queue[:i]...), queue[i+1:]...)
		case answer == wCongest && o.renewals < 2:
			o.renewals++
			o.seq, o.notYet = 0, time.Now().Add(c.congestPause)
		case answer == wUnknown:
			o.notYet = time.Now().Add(60 * time.Millisecond)
		default:
			c.queues[topic] = append(append([]*outgoing(nil), queue[:i]...), queue[i+1:]...)
		}
		return
	}
	// An answer to a number that was given up is no answer to nothing.
	if seq > c.seq {
		c.book.mixed("%s got an answer to %s %d, which it never sent", c.name, topic, seq)
	}
}

func (c *client) tick() bool {
	now := time.Now()
	if now.Sub(c.lastHear) > keepalive*5/2 {
		c.book.count("silent server")
		return false
	}
	if now.Sub(c.lastSaid) > keepalive {
		c.say(wProbe)
	}
	for topic, at := range c.asked {
		if now.Sub(at) > answerTimeout {
			c.book.count("no answer to " + wSubscribe)
			c.rec.log("%s: no answer to "+wSubscribe+" %s", c.name, topic)
			return false
		}
	}
	if c.churn && !c.paused && rand.IntN(150) == 0 {
		topic := c.topics[rand.IntN(len(c.topics))]
		if c.live[topic] && c.asked[topic].IsZero() && c.refused[topic].IsZero() && c.subs[topic] != nil {
			c.book.left(c.subs[topic])
			delete(c.subs, topic)
			c.leaving[topic] = true
			c.say(wUnsubscribe + " " + topic)
		}
	}
	for topic, at := range c.refused {
		if now.After(at) {
			delete(c.refused, topic)
			c.subscribe(topic)
		}
	}
	for topic, queue := range c.queues {
		var left []*outgoing
		for _, o := range queue {
			if o.try != nil && now.Sub(o.sentAt) > answerTimeout {
				c.book.count("no answer to " + wPublish)
				return false
			}
			if o.try == nil && now.After(o.deadline) {
				continue
			}
			left = append(left, o)
		}
		c.queues[topic] = left
		c.publish(topic, now)
	}
	if c.every > 0 && !c.paused && now.After(c.nextPub) && len(c.sends) > 0 {
		c.nextPub = now.Add(time.Duration(float64(c.every) * (0.5 + rand.Float64())))
		topic := c.sends[c.turn%len(c.sends)]
		c.turn++
		burst := 1
		if c.window > 1 {
			burst = 1 + rand.IntN(c.window)
		}
		for range burst {
			c.compose(topic, now)
		}
		c.publish(topic, now)
	}
	return true
}

func (c *client) compose(topic string, now time.Time) *message {
	text := fmt.Sprintf("%s/%s/%d/", c.name, topic, rand.Uint64())
	text += strings.Repeat("x", max(0, c.bodyBytes-len(text)))
	m := &message{sender: c.name, topic: topic, body: text, kept: c.kept(topic)}
	c.queues[topic] = append(c.queues[topic], &outgoing{m: m, deadline: now.Add(c.deadline)})
	return m
}

// publish sends what may be in flight on a topic, in its order.
func (c *client) publish(topic string, now time.Time) {
	inFlight := 0
	for _, o := range c.queues[topic] {
		if inFlight++; inFlight > c.window {
			return
		}
		if o.try != nil {
			continue
		}
		if now.Before(o.notYet) {
			return
		}
		if o.seq == 0 {
			c.seq++
			o.seq = c.seq
		}
		o.try, o.sentAt = c.book.sent(o.m, o.seq), now
		c.say(fmt.Sprintf(wPublish+" %s %d %d\r\n%s", topic, o.seq, len(o.m.body), o.m.body))
	}
}
