//go:build review

package stand2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// message is one line that a client received, with the body of a delivery.
type message struct {
	at   time.Time
	word string
	// fields are those after the word. A field "-" is empty.
	fields []string
	body   string
}

func (m message) field(i int) string {
	if i < len(m.fields) && m.fields[i] != "-" {
		return m.fields[i]
	}
	return ""
}

// client is one client on one connection.
type client struct {
	name string
	m    *machine
	conn net.Conn

	// mu guards the fields below. waiting has the requests that wait for an answer, by word, topic and
	// number.
	mu        sync.Mutex
	waiting   map[string]chan message
	onDeliver func(message)
	ended     chan struct{}
	err       error
}

// dial connects a client to a machine's client port and attaches it.
func dial(m *machine, name string, onDeliver func(message)) (*client, error) {
	conn, err := net.DialTimeout("tcp", m.address(clientPort), time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{
		name: name, m: m, conn: conn, waiting: map[string]chan message{}, onDeliver: onDeliver,
		ended: make(chan struct{}),
	}
	go c.read()
	go c.sendHeartbeats()
	answer, err := c.ask(wordAttach, "", 0, fmt.Sprintf("%s %s\r\n", wordAttach, name), 1500*time.Millisecond)
	if err == nil && answer.word != wordConfirm {
		err = fmt.Errorf("%s: %s %v", wordAttach, answer.word, answer.fields)
	}
	if err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// sendHeartbeats sends heartbeats while the connection stands.
func (c *client) sendHeartbeats() {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-c.ended:
			return
		case <-ticker.C:
			_, _ = io.WriteString(c.conn, wordHeartbeat+"\r\n")
		}
	}
}

func key(word, topic string, seq uint64) string { return fmt.Sprintf("%s %s %d", word, topic, seq) }

// ask sends a request and waits for its answer.
func (c *client) ask(word, topic string, seq uint64, text string, limit time.Duration) (message, error) {
	answer, k := make(chan message, 1), key(word, topic, seq)
	c.mu.Lock()
	c.waiting[k] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.waiting[k] == answer {
			delete(c.waiting, k)
		}
	}()
	if _, err := io.WriteString(c.conn, text); err != nil {
		return message{}, err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case got := <-answer:
		return got, nil
	case <-c.ended:
		return message{}, fmt.Errorf("the connection ended: %v", c.err)
	case <-timer.C:
		return message{}, fmt.Errorf("no answer in %v", limit)
	}
}

// subscribe subscribes to a topic, behind a cursor unless it is empty. It returns the word
// of the answer with the cursor or the reason.
func (c *client) subscribe(topic, cursor string) (word, detail string, err error) {
	text := wordSubscribe + " " + topic
	if cursor != "" {
		text += " " + cursor
	}
	answer, err := c.ask(wordSubscribe, topic, 0, text+"\r\n", 1500*time.Millisecond)
	if answer.word == wordConfirm {
		return answer.word, answer.field(2), err
	}
	return answer.word, answer.field(3), err
}

// publish sends a message. It returns the word of the answer and the reason.
func (c *client) publish(topic string, seq uint64, body string, limit time.Duration) (word, reason string, err error) {
	text := fmt.Sprintf("%s %s %d %d\r\n%s\r\n", wordPublish, topic, seq, len(body), body)
	answer, err := c.ask(wordPublish, topic, seq, text, limit)
	return answer.word, answer.field(3), err
}

// read passes what arrives to whom it is for, until the connection ends.
func (c *client) read() {
	r := bufio.NewReader(c.conn)
	for {
		got, err := readMessage(r)
		if err != nil {
			c.err = err
			close(c.ended)
			_ = c.conn.Close()
			return
		}
		c.handle(got)
	}
}

func readMessage(r *bufio.Reader) (message, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return message{}, err
	}
	fields := strings.Split(strings.TrimRight(line, "\r\n"), " ")
	got := message{at: time.Now(), word: fields[0], fields: fields[1:]}
	if got.word != wordDeliver {
		return got, nil
	}
	size, err := strconv.Atoi(fields[len(fields)-1])
	if err != nil {
		return got, err
	}
	body := make([]byte, size+2)
	if _, err := io.ReadFull(r, body); err != nil {
		return got, err
	}
	got.at, got.body = time.Now(), string(body[:size])
	return got, nil
}

func (c *client) handle(got message) {
	var k string
	switch got.word {
	case wordDeliver:
		if c.onDeliver != nil {
			c.onDeliver(got)
		}
		return
	case wordConfirm:
		k = key(got.field(0), got.field(1), 0)
	case wordAccept:
		seq, _ := strconv.ParseUint(got.field(1), 10, 64)
		k = key(wordPublish, got.field(0), seq)
	case wordReject:
		seq, _ := strconv.ParseUint(got.field(2), 10, 64)
		k = key(got.field(0), got.field(1), seq)
	case wordRedirect:
		// The client closes and returns. Who waits for an answer finds the connection ended.
		_ = c.conn.Close()
		return
	default:
		return
	}
	c.mu.Lock()
	waiting := c.waiting[k]
	delete(c.waiting, k)
	c.mu.Unlock()
	if waiting != nil {
		waiting <- got
	}
}
