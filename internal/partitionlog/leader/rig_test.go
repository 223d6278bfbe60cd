package leader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/assignment"
	"postjunction/internal/clock"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/samza/state"
	"postjunction/internal/settings"
)

// rig is a leader whose disk writes only when the test calls commitAll, and the other nodes that it
// knows.
type rig struct {
	*Leader
	t        *testing.T
	members  map[string]string
	bootIDs  map[string]string
	observed []string
}

func (r *rig) DiskFailed(int, error)                 {}
func (r *rig) LeadershipLost(int, uint64, error)     {}
func (r *rig) Opened(int, uint64, Recovery)          {}
func (r *rig) StepFailed(int, uint64, string, error) {}
func (r *rig) TombstonesFull(int, uint64, int)       { r.observed = append(r.observed, "full") }

func (r *rig) ReaderChanged(_ int, _ uint64, node, bootID string, givenUp bool) {
	r.observed = append(r.observed, node+" "+bootID+givenUpSuffix[givenUp])
}

var givenUpSuffix = map[bool]string{true: " given up"}

func (r *rig) Do(request *http.Request) (*http.Response, error) {
	bootID, ok := r.bootIDs[request.URL.Host]
	if !ok {
		return nil, apierror.New(apierror.Unreachable, "no node at %s", request.URL.Host)
	}
	mux := http.NewServeMux()
	membership.Identify.Handle(mux, func(
		context.Context, *membership.IdentifyRequest,
	) (*membership.IdentifyResponse, error) {
		return &membership.IdentifyResponse{
			Info: membership.Info{Name: strings.TrimPrefix(request.URL.Host, "at-"), BootID: bootID},
		}, nil
	})
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, request)
	return w.Result(), nil
}

// withLeader runs a test with a leader. With more than one replica, nothing is committed by writing
// to the local disk alone.
func withLeader(t *testing.T, replicas int, run func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{
			t: t, members: map[string]string{"s1": "at-s1", "a1": "at-a1", "a2": "at-a2"},
			bootIDs: map[string]string{},
		}
		record := assignment.Record{Epoch: 1, Leader: "s1"}
		for _, node := range []string{"s1", "s2", "s3"}[:replicas] {
			record.Replicas = append(record.Replicas, assignment.Replica{Node: node})
			r.members[node] = "at-" + node
		}
		r.Leader = New(Options{
			Self: "s1", Net: r, Clock: clock.Real{}, Timing: settings.DefaultTiming, Replica: replica.New(clock.Real{}), Observer: r,
			Backlog: func() int { return 64 }, CheckLease: func() error { return nil },
			LongestRetention: func() time.Duration { return 0 }, LeaseExtension: time.Second,
			Addr: func(node string) (string, bool) { address, ok := r.members[node]; return address, ok },
		}, record, false)
		r.stage, r.state, r.ctx = StageOpen, state.New(), t.Context()
		r.logs[log.KindInput], r.logs[log.KindChangelog] = newLogProgress(log.KindInput, log.New()),
			newLogProgress(log.KindChangelog, log.New())
		run(t, r)
	})
}

// commitAll writes all pending entries to the local disk, which commits them if it is the only
// replica.
func (r *rig) commitAll() {
	r.mu.Lock()
	partitionLog := r.logs[log.KindInput]
	partitionLog.log.Append(time.Now(), partitionLog.pending...)
	partitionLog.pending, partitionLog.durable = nil, partitionLog.last.Offset
	r.advanceCommit(partitionLog)
	r.mu.Unlock()
	synctest.Wait()
}

// locked runs a function under the lock of the leader.
func (r *rig) locked(run func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run()
}

// submit submits messages together, commits what they appended and returns their outcomes.
func (r *rig) submit(messages ...*Message) []Outcome {
	outcomes := make(chan []Outcome, 1)
	go func() { outcomes <- r.SubmitMany(r.t.Context(), messages) }()
	synctest.Wait()
	r.commitAll()
	return <-outcomes
}

func (r *rig) submitAccepted(messages ...*Message) uint64 {
	r.t.Helper()
	for _, outcome := range r.submit(messages...) {
		assert.Assert(r.t, outcome.Err == nil, "%v", outcome.Err)
		if outcome.Decision != nil {
			return outcome.Decision.Offset
		}
	}
	return 0
}

func (r *rig) expectRejected(message *Message, code apierror.Code) {
	r.t.Helper()
	outcome := r.submit(message)[0]
	assert.Assert(r.t, outcome.Err != nil && outcome.Err.Code == code, "%+v is not %s", outcome, code)
}

func message(client string, callSeq uint64, topic, key string) *Message {
	return &Message{Client: client, CallSeq: callSeq, Topic: topic, Key: key, Body: []byte("b")}
}

func withdrawal(client string, callSeq uint64, topic, key string) *Message {
	return &Message{Client: client, CallSeq: callSeq, Topic: topic, Key: key, Withdraw: true}
}

// follow follows topics under a boot ID, as a node that tracks tombstones.
func (r *rig) follow(node, bootID string, topics ...string) {
	r.t.Helper()
	request := &FollowRequest{
		Node: node, BootID: bootID, Sequence: 1, Full: true, TracksTombstones: true, Topics: map[string]int{},
	}
	for _, topic := range topics {
		request.Topics[topic] = 1
	}
	response, err := r.Follow(r.t.Context(), request)
	assert.NilError(r.t, err)
	if response.UnknownFollower {
		request.ReaderToken = response.ReaderToken
		response, err = r.Follow(r.t.Context(), request)
		assert.NilError(r.t, err)
	}
	assert.Assert(r.t, !response.UnknownFollower)
}

// readerToken returns the token of a run, as that run would send it.
func (r *rig) readerToken(node, bootID string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	token, _ := r.readerTokenOf(node, bootID, 0)
	return token
}

type pollResult struct {
	response *PollResponse
	err      error
}

func (r *rig) poll(node, bootID string, from uint64) chan pollResult {
	results := make(chan pollResult, 1)
	token := r.readerToken(node, bootID)
	go func() {
		response, err := r.Poll(r.t.Context(), &PollRequest{
			Node: node, BootID: bootID, Sequence: 1, From: from, MaxWait: r.options.Timing.Spread,
			TracksTombstones: true, ReaderToken: token,
		})
		results <- pollResult{response, err}
	}()
	synctest.Wait()
	return results
}

func (r *rig) polledOffsets(results chan pollResult) []uint64 {
	r.t.Helper()
	result := <-results
	assert.NilError(r.t, result.err)
	assert.Assert(r.t, !result.response.UnknownFollower)
	return offsets(result.response.Entries)
}

func offsets(entries []log.Entry) []uint64 {
	offsets := []uint64{}
	for _, entry := range entries {
		offsets = append(offsets, entry.Offset)
	}
	return offsets
}

// becomeReader makes a node a reader that was sent the entries after an offset.
func (r *rig) becomeReader(node, bootID string, from uint64) {
	r.t.Helper()
	results := r.poll(node, bootID, from)
	r.commitAll()
	assert.Assert(r.t, len(r.polledOffsets(results)) > 0)
	assert.Equal(r.t, r.state.Readers[node].BootID, bootID)
}

func (r *rig) pendingReadersAt(offset uint64) (*PendingReaders, error) {
	return r.PendingReaders(r.t.Context(), offset, r.options.Timing.LongPoll())
}

// submitOnce commits the first message, by setting the match of the other replicas to its offset.
// The match stays there, so no later entry is committed.
func (r *rig) submitOnce(message *Message) {
	r.evaluate(message)
	r.logs[log.KindInput].match[""] = 1
	r.commitAll()
	assert.Equal(r.t, r.logs[log.KindInput].commit, uint64(1))
}
