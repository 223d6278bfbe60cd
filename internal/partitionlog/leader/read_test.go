package leader

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/partitionlog/log"
)

// partitionReader is a reader of the whole partition. mu guards token.
type partitionReader struct {
	*rig
	bootID string
	mu     sync.Mutex
	token  uint64
}

func (p *partitionReader) read(request ReadRequest) chan *ReadResponse {
	p.mu.Lock()
	request.Node, request.BootID, request.ReaderToken, request.TracksTombstones, request.MaxWait = "a1/streams", p.bootID, p.token, true, p.options.Timing.LongPoll()
	p.mu.Unlock()
	responses := make(chan *ReadResponse, 1)
	go func() {
		response, err := p.Leader.Read(p.t.Context(), &request)
		assert.Check(p.t, err == nil || p.t.Context().Err() != nil, "%v", err)
		if response != nil && response.ReaderToken > 0 {
			p.mu.Lock()
			p.token = response.ReaderToken
			p.mu.Unlock()
		}
		responses <- response
	}()
	synctest.Wait()
	return responses
}

func describe(entries []log.Entry) string {
	var described []string
	for _, entry := range entries {
		if entry.Type == log.TypeMessage {
			described = append(
				described,
				fmt.Sprintf("%d%s%s", entry.Offset, entry.Body, map[bool]string{true: "-"}[entry.BodyDropped]),
			)
		} else {
			described = append(described, fmt.Sprintf("%d%s", entry.Offset, entry.Type))
		}
	}
	return strings.Join(described, " ")
}

// obtainToken makes the reader request its token.
func (p *partitionReader) obtainToken() *partitionReader {
	p.t.Helper()
	response := <-p.read(ReadRequest{From: ^uint64(0)})
	assert.Equal(p.t, response.ReaderToken, p.token)
	assert.Assert(p.t, p.token > 0)
	return p
}

// start makes the node a reader that was sent messages with keys.
func (p *partitionReader) start(from uint64) *partitionReader {
	p.t.Helper()
	p.obtainToken()
	responses := p.read(ReadRequest{From: from})
	p.commitAll()
	assert.Assert(p.t, len((<-responses).Entries) > 0)
	assert.Equal(p.t, p.state.Readers["a1/streams"].BootID, p.bootID)
	return p
}

func (p *partitionReader) pendingAt(offset uint64) []string {
	p.t.Helper()
	pending, err := p.pendingReadersAt(offset)
	assert.NilError(p.t, err)
	return pending.Nodes
}

var readTests = map[string]func(t *testing.T, r *rig){
	"withdrawn bodies are dropped, and offsets have no gap": func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"), message("v", 2, "t", "l"), message("v", 3, "t", ""))
		reader := (&partitionReader{rig: r, bootID: "b.1"}).start(0)
		r.submitAccepted(withdrawal("v", 4, "t", "k"))
		r.submitAccepted(message("v", 5, "t", "k"))
		assert.Equal(t, describe((<-reader.read(ReadRequest{From: 0})).Entries), "1- 2b 3b 4reader 5withdraw 6b")
	},
	"a node that tracks no tombstones is sent nothing with a key": func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"), message("v", 2, "t", ""))
		response, err := r.Leader.Read(t.Context(), &ReadRequest{})
		assert.NilError(t, err)
		assert.Equal(t, describe(response.Entries), "1- 2b")
		assert.Equal(t, len(r.state.Readers), 0)
	},
	"it is committed that a node is a reader before it is sent a message with a key": func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", ""), message("v", 2, "t", "k"))
		reader := (&partitionReader{rig: r, bootID: "b.1"}).obtainToken()
		response := <-reader.read(ReadRequest{From: 0})
		assert.Equal(t, describe(response.Entries), "1b")
		assert.Equal(t, response.To, uint64(1))
		responses := reader.read(ReadRequest{From: 1})
		assert.Equal(t, len(responses), 0)
		r.commitAll()
		assert.Equal(t, describe((<-responses).Entries), "2b 3reader")
		assert.Equal(t, r.logs[log.KindInput].last.Offset, uint64(3))
	},
	"only a request without IgnoreProgress reports what a reader has dropped": func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		reader := (&partitionReader{rig: r, bootID: "b.1"}).start(0)
		offset := r.submitAccepted(withdrawal("v", 2, "t", "k"))
		assert.DeepEqual(t, reader.pendingAt(offset), []string{"a1/streams"})
		reader.read(ReadRequest{From: offset, IgnoreProgress: true})
		reader.read(ReadRequest{From: ^uint64(0)})
		reader.read(ReadRequest{From: offset - 1})
		assert.DeepEqual(t, reader.pendingAt(offset), []string{"a1/streams"})
		reader.read(ReadRequest{From: offset})
		assert.Equal(t, len(reader.pendingAt(offset)), 0)
	},
	"a withdrawal is returned at once": func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		reader := (&partitionReader{rig: r, bootID: "b.1"}).start(0)
		responses, startedAt := reader.read(ReadRequest{From: 2}), time.Now()
		r.submitAccepted(withdrawal("v", 2, "t", "k"))
		assert.Equal(t, describe((<-responses).Entries), "3withdraw")
		assert.Equal(t, time.Since(startedAt), time.Duration(0))
	},
	"a late request of an earlier run adds no reader": func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		old := (&partitionReader{rig: r, bootID: "b.1"}).start(0)
		current := (&partitionReader{rig: r, bootID: "b.2"}).start(0)
		unknownRun := &partitionReader{rig: r, bootID: "unknown.1"}
		for _, reader := range []*partitionReader{old, unknownRun} {
			response := <-reader.read(ReadRequest{From: 0})
			assert.Equal(t, len(response.Entries), 0)
			r.commitAll()
			assert.Equal(t, r.state.Readers["a1/streams"].BootID, "b.2")
		}
		assert.Equal(t, len((<-current.read(ReadRequest{From: 0})).Entries), 0, "another run has obtained the token")
		assert.Equal(t, describe((<-current.read(ReadRequest{From: 0})).Entries), "1b 2reader 3reader")
	},
	"a reader that finished is removed once that is committed, and late requests do not add it again": func(
		t *testing.T, r *rig,
	) {
		r.submitAccepted(message("v", 1, "t", "k"))
		reader := (&partitionReader{rig: r, bootID: "b.1"}).start(0)
		responses := reader.read(ReadRequest{From: ^uint64(0), Finished: true})
		assert.Equal(t, len(responses), 0)
		r.commitAll()
		<-responses
		assert.Equal(t, len(r.state.Readers), 0)
		for range 2 {
			assert.Equal(t, len((<-reader.read(ReadRequest{From: 0})).Entries), 0)
			r.commitAll()
			assert.Equal(t, len(r.state.Readers), 0)
			reader.token = 0
		}
		assert.Equal(t, len(reader.pendingAt(r.submitAccepted(withdrawal("v", 2, "t", "k")))), 0)
	},
	"a node that is not a reader can finish too": func(t *testing.T, r *rig) {
		reader := &partitionReader{rig: r, bootID: "b.1"}
		<-reader.read(ReadRequest{From: ^uint64(0), Finished: true})
		assert.Equal(t, r.logs[log.KindInput].last.Offset, uint64(0))
	},
	"a run that finishes does not remove the run after it": func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		old := (&partitionReader{rig: r, bootID: "b.1"}).start(0)
		current := (&partitionReader{rig: r, bootID: "b.2"}).start(0)
		<-old.read(ReadRequest{From: ^uint64(0), Finished: true})
		r.commitAll()
		assert.Equal(t, r.state.Readers["a1/streams"].BootID, "b.2")
		assert.Assert(t, len((<-current.read(ReadRequest{From: 0})).Entries) > 0)
	},
	"a reader that was given up must reset, and is added under another boot ID or removed for good": func(
		t *testing.T, r *rig,
	) {
		r.submitAccepted(message("v", 1, "t", "k"))
		reader := (&partitionReader{rig: r, bootID: "b.1"}).start(0)
		offset := r.submitAccepted(withdrawal("v", 2, "t", "k"))
		delete(r.members, "a1")
		r.giveUpReaders()
		time.Sleep(r.readerTimeout() + time.Second)
		r.giveUpReaders()
		r.commitAll()
		pending, err := r.pendingReadersAt(offset)
		assert.NilError(t, err)
		assert.DeepEqual(t, pending.GivenUp, []string{"a1/streams"})
		for _, request := range []ReadRequest{{From: 0}, {From: offset}, {From: ^uint64(0)}, {From: 0, IgnoreProgress: true}} {
			response := <-reader.read(request)
			assert.Assert(t, response.MustReset)
			assert.Equal(t, len(response.Entries), 0)
		}
		r.submitAccepted(message("v", 3, "t", "k"))
		responses := reader.read(ReadRequest{From: ^uint64(0), Finished: true})
		r.commitAll()
		<-responses
		assert.Equal(t, len(r.state.Readers), 0)
		(&partitionReader{rig: r, bootID: "b.2"}).start(offset)
		pending, err = r.pendingReadersAt(0)
		assert.NilError(t, err)
		assert.Equal(t, len(pending.GivenUp), 0)
	},
	"a silent member stays a reader until its node runs under another boot ID": func(t *testing.T, r *rig) {
		r.submitAccepted(message("v", 1, "t", "k"))
		reader := (&partitionReader{rig: r, bootID: "b.1"}).start(0)
		offset := r.submitAccepted(withdrawal("v", 2, "t", "k"))
		r.bootIDs["at-a1"] = "b"
		for range 3 {
			time.Sleep(r.readerTimeout())
			r.giveUpReaders()
			synctest.Wait()
			r.commitAll()
		}
		assert.DeepEqual(t, reader.pendingAt(offset), []string{"a1/streams"})
		r.bootIDs["at-a1"] = "c"
		r.giveUpReaders()
		synctest.Wait()
		r.commitAll()
		assert.Equal(t, len(reader.pendingAt(offset)), 0)
	},
}

func TestRead_WholePartition(t *testing.T) {
	for name, script := range readTests {
		t.Run(name, func(t *testing.T) { withLeader(t, 1, script) })
	}
}

// A leader that can't commit sends no message with a key to a node that is not a reader.
func TestRead_SupersededLeaderGivesNoKeys(t *testing.T) {
	withLeader(t, 3, func(t *testing.T, r *rig) {
		r.submitOnce(message("v", 1, "t", "k"))
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		request := &ReadRequest{Node: "a1/streams", BootID: "b.1", TracksTombstones: true, MaxWait: time.Second}
		for range 2 {
			response, err := r.Leader.Read(ctx, request)
			assert.NilError(t, err)
			assert.Equal(t, len(response.Entries), 0)
			request.ReaderToken = response.ReaderToken
		}
		assert.Equal(t, len(r.state.Readers), 0)
	})
}
