package idle

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/settings"
)

// copies is a machine that holds lines as they were told, but for some.
type copies struct {
	mu    sync.Mutex
	asked []int
	off   map[int]bool
	deaf  bool
	takes time.Duration
}

func at(p int) replica.IdleLog {
	return replica.IdleLog{
		Partition: p, Kind: log.KindInput, Epoch: 2, Last: log.Position{Offset: uint64(p), Epoch: 1},
	}
}

func (c *copies) still(_ context.Context, q *replica.CompareIdleRequest) (*replica.CompareIdleResponse, error) {
	time.Sleep(c.takes)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked = append(c.asked, len(q.Partitions[log.KindInput]))
	if c.deaf {
		return nil, apierror.New(apierror.WrongDisk, "another disk")
	}
	var ss []replica.IdleLog
	for _, p := range q.Partitions[log.KindInput] {
		s := at(p)
		if c.off[p] {
			s.Epoch++
		}
		ss = append(ss, s)
	}
	return &replica.CompareIdleResponse{Identical: replica.IdleChecksum(ss) == q.Checksum}, nil
}

func (c *copies) Do(q *http.Request) (*http.Response, error) {
	m := http.NewServeMux()
	replica.CompareIdle.Handle(m, c.still)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, q)
	return w.Result(), nil
}

// keep has lines of a disk be silent from now on, each due a little later than the one before.
func (c *copies) keep(t *testing.T, n int, script func(l *Confirmer, said []chan Outcome, news chan struct{})) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		l := New(ctx, "s1", c, clock.Real{}, settings.DefaultTiming)
		said, news := make([]chan Outcome, n), make(chan struct{})
		begun := time.Now()
		for p := range n {
			said[p] = make(chan Outcome, 1)
			mine := news
			if p > 0 {
				mine = nil
			}
			go func() {
				said[p] <- l.Wait(
					ctx, Disk{"at-s2", "disk"}, at(p),
					begun.Add(time.Second+time.Duration(p)*time.Millisecond), mine, nil,
				)
			}()
		}
		synctest.Wait()
		script(l, said, news)
		stop()
		synctest.Wait()
		l.mu.Lock()
		defer l.mu.Unlock()
		assert.Equal(t, len(l.groups), 0)
	})
}

func count(said []chan Outcome) map[Outcome]int {
	n := map[Outcome]int{}
	for _, c := range said {
		n[<-c]++
	}
	return n
}

// All silent lines of a disk are confirmed in one call, once the first is due.
func TestSilentLinesGoTogether(t *testing.T) {
	c := &copies{}
	c.keep(t, 100, func(_ *Confirmer, said []chan Outcome, _ chan struct{}) {
		time.Sleep(time.Second)
		synctest.Wait()
		assert.DeepEqual(t, c.asked, []int{100})
		assert.DeepEqual(t, count(said), map[Outcome]int{Identical: 100})
	})
}

// A line that is due before all that wait is confirmed when it is due, and they with it.
func TestALineThatIsDueSoonerIsNotHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		c := &copies{}
		l := New(ctx, "s1", c, clock.Real{}, settings.DefaultTiming)
		begun, said := time.Now(), make(chan Outcome, 2)
		for p, due := range []time.Duration{2 * time.Second, time.Second} {
			go func() { said <- l.Wait(ctx, Disk{"at-s2", "disk"}, at(p), begun.Add(due), nil, nil) }()
			synctest.Wait()
		}
		for range 2 {
			assert.Equal(t, <-said, Identical)
		}
		assert.Equal(t, time.Since(begun), time.Second)
		assert.DeepEqual(t, c.asked, []int{2})
	})
}

// Where a copy differs its owner is told so, and of others no more than stand beside it; the sums
// of halves find it.
func TestWhatDiffersIsFound(t *testing.T) {
	c := &copies{off: map[int]bool{37: true}}
	c.keep(t, 100, func(_ *Confirmer, said []chan Outcome, _ chan struct{}) {
		n := map[Outcome]int{}
		for p, s := range said {
			v := <-s
			n[v]++
			assert.Assert(t, v == Uncertain || p != 37)
		}
		assert.Assert(t, n[Uncertain] <= maxUnsplit && n[Identical] == 100-n[Uncertain], "%v", n)
		assert.Assert(t, len(c.asked) <= 12, "%v", c.asked)
	})
}

// A line with news leaves at once, also while the others are asked about; a disk that is another
// one, or gives no answer, leaves all in doubt.
func TestNewsAndSilence(t *testing.T) {
	c := &copies{takes: 500 * time.Millisecond}
	c.keep(t, 10, func(_ *Confirmer, said []chan Outcome, news chan struct{}) {
		time.Sleep(1200 * time.Millisecond)
		close(news)
		synctest.Wait()
		assert.Equal(t, len(said[0]), 1)
		assert.DeepEqual(t, count(said), map[Outcome]int{Superseded: 1, Identical: 9})
	})
	c = &copies{deaf: true}
	c.keep(t, 10, func(_ *Confirmer, said []chan Outcome, _ chan struct{}) {
		assert.DeepEqual(t, count(said), map[Outcome]int{Uncertain: 10})
		assert.DeepEqual(t, c.asked, []int{10})
	})
}
