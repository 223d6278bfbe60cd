//go:build review

package stand2

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

func init() { cases["full-stores"] = fullStores }

const (
	// The clients of the site send 197 messages a second in this space.
	floodRate = 197
	// floodBody is the longest body that PROTOCOL.md allows.
	floodBody    = 16 << 10
	floodSenders = 80
	floodTopics  = 600
	// floodLimit ends the sending if the stores have not refused anything by then.
	floodLimit = 62 * time.Second
	// refusedLimit is how many refusals end the sending.
	refusedLimit = 100
	// saveAfter is when, from the begin of the sending, a client saves its places.
	saveAfter = 47 * time.Second
	// floodTakeUp is how long it waits for the messages when it takes them up.
	floodTakeUp = 12 * time.Second
	// usualBody is the usual size of a body at the site.
	usualBody = 200
	// storePeriod is for how long the space keeps messages.
	storePeriod = 35 * time.Second
	// watchedTopics are the topics whose places a client saves.
	watchedTopics = 40
)

// flood is what the senders of a run have got.
type flood struct {
	run *run
	// mu guards the fields below.
	mu       sync.Mutex
	accepted map[string][]acceptance
	refused  int
	count    int
	ended    bool
}

// acceptance is one acknowledged message.
type acceptance struct {
	sender string
	seq    uint64
	at     time.Time
}

// fullStores has clients send until the stores refuse messages. The clients then stop. Everything
// that was kept has been kept for its time soon after, and the deployment is given the recovery time more.
func fullStores(r *run) verdict {
	p := plan{zones: []string{"hall-ouest", "hall-est", "quai-expe"}, disks: 1, diskless: 1, storage: 1, machineLosses: 1}
	r.fleet.layOut(p)
	for _, m := range r.fleet.machines {
		m.start()
	}
	if r.replace(r.fleet.filter(isCore), 0, document(1, kept("kafi."), live("kalo.")), 20*time.Second) == nil {
		return couldNt
	}
	time.Sleep(time.Second)
	body := usualBody
	if r.trouble {
		body = floodBody
	}
	f := &flood{run: r, accepted: map[string][]acceptance{}}
	places := make(chan []place, 1)
	go func() {
		time.Sleep(saveAfter)
		places <- r.saveFloodPlaces()
	}()
	f.send(r.fleet.filter(isAccess), body)
	stopped := time.Now()
	r.note("%d messages were accepted, %d refused or not answered; the clients stop", f.count, f.refused)
	time.Sleep(recovery)
	lost := r.takeUpFlood(f, <-places)
	time.Sleep(time.Until(stopped.Add(storePeriod + recovery)))
	return max(lost, r.sendAgain(stopped))
}

// send sends at the rate of the flood until its limit, or until so many were refused.
func (f *flood) send(at []*machine, body int) {
	var group sync.WaitGroup
	until := time.Now().Add(floodLimit)
	for i := range floodSenders {
		group.Go(func() { f.sender(fmt.Sprintf("u%d", i), at, strings.Repeat("a", body), until) })
	}
	group.Wait()
}

func (f *flood) sender(name string, at []*machine, body string, until time.Time) {
	interval := time.Second * floodSenders / floodRate
	next := time.Now().Add(time.Duration(rand.Int64N(int64(interval))))
	var c *client
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for seq := uint64(1); time.Now().Before(until) && !f.isOver(); seq++ {
		if c == nil {
			var err error
			if c, err = dial(at[rand.IntN(len(at))], name, nil); err != nil {
				c = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		time.Sleep(time.Until(next))
		next = next.Add(interval)
		topic := fmt.Sprintf("kafi.t%d", rand.IntN(floodTopics))
		word, reason, err := c.publish(topic, seq, body, 1500*time.Millisecond)
		f.record(name, topic, seq, word, reason, err)
		if err != nil {
			c.close()
			c = nil
		}
	}
}

func (f *flood) isOver() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused >= refusedLimit
}

// record counts an answer. Every hundredth is written to the record.
func (f *flood) record(name, topic string, seq uint64, word, reason string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if word == wordAccept {
		f.count++
		f.accepted[topic] = append(f.accepted[topic], acceptance{name, seq, time.Now()})
	} else {
		f.refused++
	}
	if (f.count+f.refused)%100 == 0 {
		f.run.note("%s: %s %s %d: %s %s %v (%d accepted, %d not)", name, wordPublish, topic, seq, word, reason, err, f.count, f.refused)
	}
}

// sendAgain sends messages of the usual size, one a topic, each up to the deadline of its client. The
// deployment hangs if fewer than a quarter are accepted.
func (r *run) sendAgain(stopped time.Time) verdict {
	access := r.fleet.filter(isAccess)
	var mu sync.Mutex
	accepted := 0
	var group sync.WaitGroup
	for i := range watchedTopics {
		group.Go(func() {
			m := access[i%len(access)]
			c, err := dial(m, fmt.Sprintf("late%d", i), nil)
			if err != nil {
				r.note("late%d at %s: %v", i, m.name, err)
				return
			}
			defer c.close()
			topic := fmt.Sprintf("kafi.t%d", i)
			for try := range 2 {
				word, reason, err := c.publish(topic, 1, strings.Repeat("b", usualBody), 1500*time.Millisecond)
				r.note("late%d at %s: %s %s, try %d: %s %s %v", i, m.name, wordPublish, topic, try+1, word, reason, err)
				if word == wordAccept {
					mu.Lock()
					accepted++
					mu.Unlock()
					return
				}
				if err != nil {
					return
				}
			}
		})
	}
	group.Wait()
	r.note("%v after the clients stopped %d of %d messages are accepted", time.Since(stopped).Round(time.Second), accepted, watchedTopics)
	if accepted < watchedTopics/4 {
		r.note("BROKEN: the stores are still full, though nothing was sent for so long")
		return broken
	}
	return held
}

// saveFloodPlaces subscribes to topics and returns where the client stands in them. The client then
// departs.
func (r *run) saveFloodPlaces() []place {
	at := r.fleet.filter(isAccess)[0]
	reader, err := dial(at, "reader", nil)
	must(err)
	defer reader.close()
	var places []place
	for i := range watchedTopics {
		topic := fmt.Sprintf("kafi.t%d", i)
		word, cursor, err := reader.subscribe(topic, "")
		r.note("reader: %s %s: %s %s %v", wordSubscribe, topic, word, cursor, err)
		if word == wordConfirm {
			places = append(places, place{topic: topic, cursor: cursor, at: time.Now()})
		}
	}
	return places
}

// takeUpFlood has the client return with its cursors. All messages that were accepted after it saved
// a place, and that are younger than the store period, must come.
func (r *run) takeUpFlood(f *flood, places []place) verdict {
	var mu sync.Mutex
	got := map[string]bool{}
	reader, err := dial(r.fleet.filter(isAccess)[1], "reader", func(m message) {
		mu.Lock()
		defer mu.Unlock()
		got[m.field(0)+" "+m.field(2)+" "+m.field(3)] = true
	})
	if err != nil {
		r.note("reader: %v", err)
		return held
	}
	defer reader.close()
	for _, saved := range places {
		word, detail, err := reader.subscribe(saved.topic, saved.cursor)
		r.note("reader: %s %s %s: %s %s %v", wordSubscribe, saved.topic, saved.cursor, word, detail, err)
	}
	time.Sleep(floodTakeUp)
	mu.Lock()
	defer mu.Unlock()
	owed, missing := 0, 0
	for _, saved := range places {
		for _, a := range f.accepted[saved.topic] {
			if a.at.Before(saved.at.Add(time.Second)) || time.Since(a.at) > storePeriod {
				continue
			}
			owed++
			if !got[fmt.Sprintf("%s %s %d", saved.topic, a.sender, a.seq)] {
				missing++
			}
		}
	}
	r.note("the reader is owed %d messages that are younger than %v, %d did not come", owed, storePeriod, missing)
	if missing > 0 {
		r.note("BROKEN: acknowledged messages did not come to a client that takes up its places")
		return broken
	}
	return held
}
