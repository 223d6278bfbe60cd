//go:build review

package stand2

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["seeds-know-nobody"] = isolatedSeeds }

const (
	// savedTopics is the number of topics of the case, each with one acknowledged message.
	savedTopics = 16
	// killedDown is how long the killed processes are down.
	killedDown = 700 * time.Millisecond
	// coreFirst is by how much the processes of the core are back earlier than the others.
	coreFirst = 250 * time.Millisecond
	// recovery is the recovery time. takeUpLimit is how long a client that takes up a saved place waits then.
	recovery    = 12 * time.Second
	takeUpLimit = 15 * time.Second
	orderAck    = 5 * time.Second
)

// isolatedSeeds kills all processes at once. They return within a second, with the settings files
// that they had. Clients then take up the places that they saved.
//
// The seeds are three machines that serve management and have no disk. With VARIANT=replaced they
// are one machine of the core, which was replaced by another one before, and two without a disk. With
// VARIANT=rolling only the seeds are killed, and the stores are restarted one after the other later.
func isolatedSeeds(r *run) verdict {
	p := plan{
		zones: []string{"hall-ouest", "hall-est", "quai-expe"}, disks: 1, diskless: 2, storage: 1,
		seedsWithoutDisk: true, machineLosses: 1,
	}
	r.fleet.layOut(p)
	isReplaced := os.Getenv("VARIANT") == "replaced"
	if isReplaced {
		r.fleet.seeds[0] = r.fleet.filter(isCore)[0]
		for _, m := range r.fleet.machines {
			m.writeSettings(p, true)
		}
	}
	for _, m := range r.fleet.machines {
		m.start()
	}
	if r.replace(r.fleet.filter(isCore), 0, document(1, kept("kafi."), live("kalo.")), 10*time.Second) == nil {
		return couldNt
	}
	time.Sleep(5 * time.Second)
	if isReplaced {
		r.replaceMachine(p, r.fleet.filter(isCore)[0])
	}
	places, ok := r.savePlaces()
	if !ok {
		return couldNt
	}
	if r.replace(r.fleet.filter(isCore), 1, document(4, kept("kafi."), live("kalo."), kept("more.")), orderAck) == nil {
		return couldNt
	}
	isRolling := os.Getenv("VARIANT") == "rolling"
	if r.trouble && !isRolling {
		r.killAll(p)
	}
	if isRolling {
		r.killSeedsAndRestartStores(p)
	}
	time.Sleep(recovery)
	return r.takeUp(places)
}

// replaceMachine adds an empty machine at another address, and then takes one of the core away.
func (r *run) replaceMachine(p plan, old *machine) {
	added := r.fleet.add("access", old.zone, 9, true)
	r.fleet.checkFree(added)
	added.writeSettings(p, false)
	added.start()
	time.Sleep(time.Second)
	old.signal(syscall.SIGTERM)
	<-old.ended
	r.fleet.remove(old)
	r.note("%s is gone for good", old.name)
	time.Sleep(8 * time.Second)
}

// killAll kills every process at the same moment and starts all of them again, those of the core
// first.
func (r *run) killAll(p plan) {
	for _, m := range r.fleet.machines {
		m.signal(syscall.SIGKILL)
	}
	time.Sleep(killedDown)
	for _, m := range r.fleet.machines {
		<-m.ended
	}
	for _, m := range r.fleet.filter(isCore) {
		m.restart(p)
	}
	time.Sleep(coreFirst)
	for _, m := range r.fleet.machines {
		if !isCore(m) {
			m.restart(p)
		}
	}
}

// killSeedsAndRestartStores kills the seeds at the same moment, unless the run has no trouble, and
// starts them again. Later it stops and starts the stores in turn.
func (r *run) killSeedsAndRestartStores(p plan) {
	if r.trouble {
		for _, m := range r.fleet.seeds {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(killedDown)
		for _, m := range r.fleet.seeds {
			<-m.ended
			m.restart(p)
		}
	}
	time.Sleep(5 * time.Second)
	for _, m := range r.fleet.filter(isStorage) {
		m.signal(syscall.SIGTERM)
		<-m.ended
		m.restart(p)
		time.Sleep(time.Second)
	}
}

// place is where a client stood in a topic, before a message that was acknowledged after it.
type place struct {
	topic, cursor, body string
	// at is when the place was saved.
	at time.Time
}

// savePlaces subscribes to topics and sends one message on each of them, which must be acknowledged.
func (r *run) savePlaces() ([]place, bool) {
	at := r.fleet.filter(isCore)[0]
	reader, err := dial(at, "reader", nil)
	must(err)
	defer reader.close()
	sender, err := dial(at, "sender", nil)
	must(err)
	defer sender.close()
	var places []place
	for i := range savedTopics {
		topic := fmt.Sprintf("kafi.t%d", i)
		word, cursor, err := reader.subscribe(topic, "")
		r.note("reader: %s %s: %s %s %v", wordSubscribe, topic, word, cursor, err)
		if word != wordConfirm {
			return nil, false
		}
		places = append(places, place{topic, cursor, fmt.Sprintf("message-%02d-aaaaaaaaaaa", i), time.Now()})
	}
	for i, saved := range places {
		word, reason, err := sender.publish(saved.topic, uint64(i+1), saved.body, 1500*time.Millisecond)
		r.note("sender: %s %s %d %s: %s %s %v", wordPublish, saved.topic, i+1, saved.body, word, reason, err)
		if word != wordAccept {
			return nil, false
		}
	}
	return places, true
}

// takeUp has a client take up the saved places, at every machine in turn, until it has all messages
// or the time is over.
func (r *run) takeUp(places []place) verdict {
	var mu sync.Mutex
	got := map[string]string{}
	onDeliver := func(m message) {
		r.note("%s %s %s: %s", wordDeliver, m.field(0), m.field(2), m.body)
		mu.Lock()
		defer mu.Unlock()
		got[m.field(0)] = m.body
	}
	missing := func() int {
		mu.Lock()
		defer mu.Unlock()
		count := 0
		for _, saved := range places {
			if got[saved.topic] != saved.body {
				count++
			}
		}
		return count
	}
	until := time.Now().Add(takeUpLimit)
	access := r.fleet.filter(isAccess)
	for i := 0; missing() > 0 && time.Now().Before(until); i++ {
		m := access[i%len(access)]
		c, err := dial(m, "reader", onDeliver)
		if err != nil {
			r.note("reader at %s: %v", m.name, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for _, saved := range places {
			word, detail, err := c.subscribe(saved.topic, saved.cursor)
			r.note("reader at %s: %s %s %s: %s %s %v", m.name, wordSubscribe, saved.topic, saved.cursor, word, detail, err)
			if err != nil {
				break
			}
		}
		for wait := time.Now().Add(3 * time.Second); missing() > 0 && time.Now().Before(wait); {
			time.Sleep(20 * time.Millisecond)
		}
		c.close()
	}
	if count := missing(); count > 0 {
		r.note("BROKEN: %d of %d acknowledged messages did not come, %v after all processes were back",
			count, len(places), recovery+takeUpLimit)
		return broken
	}
	return held
}
