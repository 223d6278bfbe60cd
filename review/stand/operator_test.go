//go:build review

package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// route is a space of topics.
type route struct {
	Name, Prefix, Type        string
	Timeout, Target, Priority int
	Store                     float64
	Order                     string
}

func kept(prefix string) route {
	return route{Name: "r-" + prefix, Prefix: prefix, Type: wKept, Timeout: 1500, Target: 150, Priority: 1,
		Store: 35, Order: wPerSender}
}

func live(prefix string) route {
	return route{Name: "r-" + prefix, Prefix: prefix, Type: wLive, Timeout: 1200, Target: 100, Priority: 2,
		Order: wPerSender}
}

func document(version uint64, routes []route) []byte {
	return filled("configuration.json.tmpl", map[string]any{"Version": version, "Routes": routes})
}

// versionOf returns the version of a document.
func versionOf(doc []byte) (uint64, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(doc, &fields); err != nil {
		return 0, err
	}
	var version uint64
	err := json.Unmarshal(fields[wVersion], &version)
	return version, err
}

// operator calls the nodes that serve management.
type operator struct {
	fleet *fleet
	book  *book
	rec   *recorder
	http  *http.Client

	mu      sync.Mutex
	version uint64 // the newest that was acknowledged
	acks    []ack
	docs    map[uint64][]string // what was sent under a number
	maybe   map[uint64]bool     // no clear answer
}

type ack struct {
	version uint64
	at      time.Time
}

func newOperator(f *fleet, b *book, rec *recorder) *operator {
	return &operator{fleet: f, book: b, rec: rec, docs: map[uint64][]string{}, maybe: map[uint64]bool{},
		http: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true},
			CheckRedirect: func(_ *http.Request, via []*http.Request) error {
				if len(via) > 2 {
					return http.ErrUseLastResponse
				}
				return nil
			}}}
}

func (o *operator) node() *node {
	nodes := o.fleet.of("access")
	return nodes[rand.IntN(len(nodes))]
}

func (o *operator) call(n *node, method, path, base string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+o.fleet.addr(n, o.fleet.ports.control)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if base != "" {
		req.Header.Set(wBase, base)
	}
	resp, err := o.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// replace sends a change until it has a clear answer or the time is over. It returns the status, 0
// for none.
func (o *operator) replace(base uint64, doc []byte, version uint64, limit time.Duration) int {
	o.mu.Lock()
	o.docs[version] = append(o.docs[version], string(doc))
	o.mu.Unlock()
	end := time.Now().Add(limit)
	for pause := 50 * time.Millisecond; time.Now().Before(end); pause = min(2*pause, time.Second) {
		n := o.node()
		status, text, err := o.call(n, "POST", wReplace, fmt.Sprint(base), doc)
		o.rec.log("operator: version %d on %d at %s: %d %v %.200s", version, base, n.name, status, err, text)
		if err == nil && status == 200 {
			o.acked(version)
			return status
		}
		if err == nil && status >= 400 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(pause)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.maybe[version] = true
	return 0
}

func (o *operator) acked(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = max(o.version, version)
	o.acks = append(o.acks, ack{version, time.Now()})
}

func (o *operator) current() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// ackedBefore returns the newest version acknowledged before a time.
func (o *operator) ackedBefore(t time.Time) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	newest := uint64(0)
	for _, a := range o.acks {
		if a.at.Before(t) {
			newest = max(newest, a.version)
		}
	}
	return newest
}

// readBack reads the configuration at a node and judges it; false for no answer.
func (o *operator) readBack(n *node) bool {
	begun := time.Now()
	status, body, err := o.call(n, "GET", wRead, "", nil)
	if err != nil || status != 200 {
		return false
	}
	o.book.mu.Lock()
	defer o.book.mu.Unlock()
	o.book.counts["reads"]++
	version, err := versionOf(body)
	if err != nil {
		o.book.breaks("CONFIG", "%s gave a configuration that can't be read: %.100s", n.name, body)
		return true
	}
	if least := o.ackedBefore(begun.Add(-3 * time.Second)); version < least {
		o.book.breaks("CONFIG", "%s gave version %d, %d was acknowledged over 3 s before", n.name, version, least)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	same := false
	for _, doc := range o.docs[version] {
		same = same || doc == string(body)
	}
	if !same {
		o.book.breaks("CONFIG", "%s gave something else than was sent as version %d", n.name, version)
	}
	return true
}

// learn reads the newest configuration and takes its version for acknowledged.
func (o *operator) learn(next *uint64) error {
	status, body, err := o.call(o.node(), "GET", wRead, "", nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("status %d", status)
	}
	version, err := versionOf(body)
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version = max(o.version, version)
	*next = max(*next, o.version)
	return nil
}
