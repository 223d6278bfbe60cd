package leader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"postjunction/internal/apierror"
	"postjunction/internal/clock"
	"postjunction/internal/membership"
	"postjunction/internal/partitionlog/log"
	"postjunction/internal/partitionlog/replica"
	"postjunction/internal/placement/assignment"
	"postjunction/internal/samza/changelog"
	"postjunction/internal/samza/state"
	"postjunction/internal/settings"
)

// rig is an owner whose disk writes when the test says so, and the fleet around it.
type rig struct {
	*Leader
	t       *testing.T
	members map[string]string
	runs    map[string]string
	said    []string
}

func (r *rig) DiskFailed(int, error)                 {}
func (r *rig) LeadershipLost(int, uint64, error)     {}
func (r *rig) Opened(int, uint64, Recovery)          {}
func (r *rig) StepFailed(int, uint64, string, error) {}
func (r *rig) TombstonesFull(int, uint64, int)       { r.said = append(r.said, "full") }
func (r *rig) ReaderChanged(_ int, _ uint64, n, b string, g bool) {
	r.said = append(r.said, n+" "+b+gone[g])
}

var gone = map[bool]string{true: " given up"}

func (r *rig) Do(q *http.Request) (*http.Response, error) {
	boot, ok := r.runs[q.URL.Host]
	if !ok {
		return nil, apierror.New(apierror.Unreachable, "nobody at %s", q.URL.Host)
	}
	m := http.NewServeMux()
	membership.Identify.Handle(m, func(context.Context, *membership.IdentifyRequest) (*membership.IdentifyResponse, error) {
		return &membership.IdentifyResponse{Info: membership.Info{Name: strings.TrimPrefix(q.URL.Host, "at-"), BootID: boot}}, nil
	})
	w := httptest.NewRecorder()
	m.ServeHTTP(w, q)
	return w.Result(), nil
}

// owning has a test drive an owner; with more than one copy, what it writes comes on no majority by itself.
func owning(t *testing.T, copies int, script func(t *testing.T, r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, members: map[string]string{"s1": "at-s1", "a1": "at-a1", "a2": "at-a2"}, runs: map[string]string{}}
		rec := assignment.Record{Epoch: 1, Leader: "s1"}
		for _, n := range []string{"s1", "s2", "s3"}[:copies] {
			rec.Replicas = append(rec.Replicas, assignment.Replica{Node: n})
			r.members[n] = "at-" + n
		}
		r.Leader = New(Options{
			Self: "s1", Net: r, Clock: clock.Real{}, Timing: settings.DefaultTiming, Replica: replica.New(clock.Real{}), Observer: r,
			Backlog: func() int { return 64 }, CheckLease: func() error { return nil }, LongestRetention: func() time.Duration { return 0 }, LeaseExtension: time.Second,
			Addr: func(n string) (string, bool) { a, ok := r.members[n]; return a, ok },
		}, rec, false)
		r.stage, r.st, r.ctx = StageOpen, state.New(), t.Context()
		r.tracks[log.KindLedger], r.tracks[log.KindChangelog] = newTrack(log.KindLedger, log.New()), newTrack(log.KindChangelog, log.New())
		script(t, r)
	})
}

// lands has all that was pushed written, and committed where a majority is one copy.
func (r *rig) lands() {
	r.mu.Lock()
	t := r.tracks[log.KindLedger]
	t.line.Append(time.Now(), t.pending...)
	t.pending, t.durable = nil, t.last.Offset
	r.settle(t)
	r.mu.Unlock()
	synctest.Wait()
}

func (r *rig) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

// submits gives what becomes of messages that are judged together, once all that they wrote is on a majority.
func (r *rig) submits(qs ...*Message) []Outcome {
	c := make(chan []Outcome, 1)
	go func() { c <- r.SubmitMany(r.t.Context(), qs) }()
	synctest.Wait()
	r.lands()
	return <-c
}

func (r *rig) takes(qs ...*Message) uint64 {
	r.t.Helper()
	for _, v := range r.submits(qs...) {
		assert.Assert(r.t, v.Err == nil, "%v", v.Err)
		if v.Decision != nil {
			return v.Decision.Offset
		}
	}
	return 0
}

func (r *rig) turns(q *Message, k apierror.Code) {
	r.t.Helper()
	v := r.submits(q)[0]
	assert.Assert(r.t, v.Err != nil && v.Err.Code == k, "%+v is not %s", v, k)
}

func says(visitor string, call uint64, topic, key string) *Message {
	return &Message{Client: visitor, CallSeq: call, Topic: topic, Key: key, Body: []byte("b")}
}

func withdraws(visitor string, call uint64, topic, key string) *Message {
	return &Message{Client: visitor, CallSeq: call, Topic: topic, Key: key, Withdraw: true}
}

// reader follows topics under a boot, as a node that minds withdrawals.
func (r *rig) follows(node, boot string, topics ...string) {
	r.t.Helper()
	q := &FollowRequest{Node: node, BootID: boot, Sequence: 1, Full: true, TracksTombstones: true, Topics: map[string]int{}}
	for _, t := range topics {
		q.Topics[t] = 1
	}
	a, err := r.Follow(r.t.Context(), q)
	assert.NilError(r.t, err)
	if a.UnknownFollower {
		q.ReaderToken = a.ReaderToken
		a, err = r.Follow(r.t.Context(), q)
		assert.NilError(r.t, err)
	}
	assert.Assert(r.t, !a.UnknownFollower)
}

// told gives the turn that an owner gave a run, as that run would tell it.
func (r *rig) told(node, boot string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, _ := r.turned(node, boot, 0)
	return n
}

type polled struct {
	a   *PollResponse
	err error
}

func (r *rig) polls(node, boot string, from uint64) chan polled {
	c := make(chan polled, 1)
	turn := r.told(node, boot)
	go func() {
		a, err := r.Poll(r.t.Context(), &PollRequest{Node: node, BootID: boot, Sequence: 1, From: from, Hold: r.d.Timing.Spread, TracksTombstones: true, ReaderToken: turn})
		c <- polled{a, err}
	}()
	synctest.Wait()
	return c
}

func (r *rig) got(c chan polled) []uint64 {
	r.t.Helper()
	p := <-c
	assert.NilError(r.t, p.err)
	assert.Assert(r.t, !p.a.UnknownFollower)
	return offsets(p.a.Entries)
}

func offsets(es []log.Entry) []uint64 {
	os := []uint64{}
	for _, e := range es {
		os = append(os, e.Offset)
	}
	return os
}

// reads makes a node a reader that was given what stands from an offset on.
func (r *rig) becomes(node, boot string, from uint64) {
	r.t.Helper()
	c := r.polls(node, boot, from)
	r.lands()
	assert.Assert(r.t, len(r.got(c)) > 0)
	assert.Equal(r.t, r.st.Readers[node].BootID, boot)
}

func (r *rig) forgotten(at uint64) (*PendingReaders, error) {
	return r.PendingReaders(r.t.Context(), at, r.d.Timing.LongPoll())
}

// What was withdrawn is passed over, what is written anew under its key is not, and a withdrawal that is not on a majority withdraws nothing yet.
func TestCoveredIsPassedOver(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"), says("v", 2, "t", "other"), says("v", 1, "u", "k"))
		r.follows("a1", "b", "t", "u")
		r.becomes("a1", "b", 0)
		go r.SubmitMany(t.Context(), []*Message{withdraws("v", 3, "t", "k")})
		synctest.Wait()
		assert.DeepEqual(t, r.got(r.polls("a1", "b", 0)), []uint64{1, 2, 3})
		r.lands()
		assert.DeepEqual(t, r.got(r.polls("a1", "b", 0)), []uint64{2, 3, 5})
		r.takes(says("v", 4, "t", "k"))
		assert.DeepEqual(t, r.got(r.polls("a1", "b", 0)), []uint64{2, 3, 5, 6})
		a, err := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, TracksTombstones: true, After: map[string]uint64{"t": 0}})
		assert.NilError(t, err)
		assert.DeepEqual(t, offsets(a.Backlog), []uint64{2, 5, 6})
		w := a.Backlog[1]
		assert.Equal(t, [...]string{w.Type, w.Topic, w.Key, w.Client}, [...]string{log.TypeWithdrawal, "t", "k", "v"})
	})
}

// A withdrawal comes at once to a node that follows other topics, and to none that does not mind it.
func TestWithdrawalWakesEveryPoll(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "u")
		c := r.polls("a1", "b", 1)
		_, err := r.Follow(t.Context(), &FollowRequest{Node: "a2", BootID: "b", Sequence: 1, Full: true, Topics: map[string]int{"t": 1}})
		assert.NilError(t, err)
		old := r.polling(t.Context(), 1)
		at := time.Now()
		assert.Equal(t, r.takes(withdraws("w", 1, "t", "k")), uint64(2))
		p := <-c
		assert.NilError(t, p.err)
		assert.DeepEqual(t, offsets(p.a.Entries), []uint64{2})
		assert.Assert(t, time.Since(at) == 0, "woken after %s", time.Since(at))
		assert.Equal(t, p.a.Entries[0].Client, "w")
		assert.NilError(t, <-old)
		a, err := r.Poll(t.Context(), &PollRequest{Node: "a2", BootID: "b", Sequence: 1})
		assert.NilError(t, err)
		assert.Equal(t, len(a.Entries), 0, "a node that minds no withdrawals is given nothing with a key")
		r.takes(says("v", 2, "t", "k"))
		a, err = r.Poll(t.Context(), &PollRequest{Node: "a2", BootID: "b", Sequence: 1})
		assert.NilError(t, err)
		assert.Equal(t, len(a.Entries), 0)
		assert.Equal(t, a.To, uint64(3), "it is held up by nothing with a key")
		assert.Equal(t, len(r.st.Readers), 0, "nobody was given anything with a key")
	})
}

// Nobody is given the first entry under a key before it is on a majority that this run of it reads; what stands before that is not held up.
func TestReaderIsNotedBeforeItIsGivenAKey(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", ""), says("v", 2, "t", "k"), says("v", 3, "t", ""))
		r.follows("a1", "b", "t")
		assert.DeepEqual(t, r.got(r.polls("a1", "b", 0)), []uint64{1})
		c := r.polls("a1", "b", 1)
		assert.Equal(t, len(r.st.Readers), 0)
		assert.Equal(t, len(c), 0)
		r.lands()
		assert.DeepEqual(t, r.got(c), []uint64{2, 3})
		assert.Equal(t, r.st.Readers["a1"], state.Reader{BootID: "b", Offset: 4})
		assert.DeepEqual(t, r.said, []string{"a1 b"})
		assert.DeepEqual(t, r.got(r.polls("a1", "b", 1)), []uint64{2, 3})
		assert.Equal(t, r.tracks[log.KindLedger].last.Offset, uint64(4), "a run is noted once")

		answers := make(chan *FollowResponse, 1)
		go func() {
			a, _ := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "c", Sequence: 1, Full: true, TracksTombstones: true, Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 1}, ReaderToken: r.told("a1", "c")})
			answers <- a
		}()
		synctest.Wait()
		assert.Equal(t, len(answers), 0)
		r.lands()
		assert.DeepEqual(t, offsets((<-answers).Backlog), []uint64{2, 3})
		assert.Equal(t, r.st.Readers["a1"], state.Reader{BootID: "c", Offset: 5, ReplacedBootID: "b"})
		c = r.polls("a1", "b", 9)
		assert.Assert(t, (<-c).a.UnknownFollower, "the run before is none any more")
	})
}

// A node that was noted as a reader is told so, though what it was noted for was withdrawn before it was given.
func TestReaderIsToldThatItIsOne(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		c := r.polls("a1", "b", 0)
		r.takes(withdraws("v", 2, "t", "k"))
		p := <-c
		assert.NilError(t, p.err)
		assert.Assert(t, !slices.ContainsFunc(p.a.Entries, func(e log.Entry) bool { return e.Type == log.TypeMessage }))
		assert.Equal(t, r.st.Readers["a1"].BootID, "b")
		assert.Assert(t, p.a.IsReader)
		a, err := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, TracksTombstones: true, Topics: map[string]int{"t": 0}})
		assert.NilError(t, err)
		assert.Assert(t, a.IsReader)
		r.follows("a2", "b", "t")
		assert.Assert(t, !r.noted("a2", "b"))
	})
}

// What comes late from a run that another one took the place of makes that run no reader again, nor does it say that it is done for the other.
func TestARunThatIsOverTakesNoPlaceBack(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		r.becomes("a1", "b", 0)
		r.follows("a1", "c", "t")
		r.lands()
		r.becomes("a1", "c", 0)
		for _, done := range []bool{false, true} {
			a, err := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", Sequence: 9, Full: true, Finished: done, TracksTombstones: true, Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0}})
			assert.NilError(t, err)
			assert.Assert(t, a.UnknownFollower)
			r.lands()
			assert.Equal(t, r.st.Readers["a1"].BootID, "c")
		}
		p := <-r.polls("a1", "b", 0)
		assert.NilError(t, p.err)
		assert.Assert(t, p.a.UnknownFollower)
	})
}

// What comes late from a run that was over before the last one takes no place back either, and the run that lives is not answered as lost for it. Nor does what
// comes late to an owner that knows none of them, or after the last run was done.
func TestARunOfLongAgoTakesNoPlaceBack(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		for _, b := range []string{"b", "c", "d"} {
			r.follows("a1", b, "t")
			r.lands()
			r.becomes("a1", b, 0)
		}
		late := func(boot string, turn uint64) {
			t.Helper()
			for _, sent := range []uint64{0, turn} {
				a, err := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: boot, Sequence: 90 + sent, Full: true, TracksTombstones: true, Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0}, ReaderToken: sent})
				assert.NilError(t, err)
				assert.Assert(t, a.UnknownFollower && len(a.Backlog) == 0)
				p, err := r.Poll(t.Context(), &PollRequest{Node: "a1", BootID: boot, Sequence: 1, TracksTombstones: true, ReaderToken: sent})
				assert.NilError(t, err)
				assert.Equal(t, len(p.Entries), 0)
				r.lands()
			}
		}
		late("b", 1)
		assert.Equal(t, r.st.Readers["a1"].BootID, "d")
		assert.DeepEqual(t, r.got(r.polls("a1", "d", 0)), []uint64{1})

		given := r.told("a1", "d")
		r.locked(func() { r.fans, r.Leader.turns, r.turn, r.Record.Epoch = nil, map[string]turn{}, 0, r.Record.Epoch+1 })
		late("b", given)
		late("c", given)
		assert.Equal(t, r.st.Readers["a1"].BootID, "d")
		r.follows("a1", "d", "t")
		assert.DeepEqual(t, r.got(r.polls("a1", "d", 0)), []uint64{1})

		given = r.told("a1", "d")
		a, err := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "d", Sequence: 99, Full: true, TracksTombstones: true, Finished: true})
		assert.NilError(t, err)
		assert.Assert(t, !a.UnknownFollower)
		r.lands()
		r.locked(func() { r.fans = nil })
		late("d", given)
		late("b", given)
		late("d", given)
		assert.Equal(t, len(r.st.Readers), 0)
	})
}

// An owner whose entries come on no majority any more can make nobody a reader.
func TestSupersededOwnerAddsNoReader(t *testing.T) {
	owning(t, 3, func(t *testing.T, r *rig) {
		r.submitsTo(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		c := r.polls("a1", "b", 0)
		r.lands()
		assert.DeepEqual(t, r.got(c), []uint64{})
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		_, err := r.Follow(ctx, &FollowRequest{Node: "a2", BootID: "b", Sequence: 1, Full: true, TracksTombstones: true, After: map[string]uint64{"t": 0}, ReaderToken: r.told("a2", "b")})
		assert.Assert(t, apierror.HasCode(err, apierror.Unreachable), "%v", err)
		assert.Equal(t, len(r.st.Readers), 0)
	})
}

// submitsTo has a message committed by the copies that go on holding the line no further.
func (r *rig) submitsTo(q *Message) {
	r.judge(q)
	r.tracks[log.KindLedger].match[""] = 1
	r.lands()
	assert.Equal(r.t, r.tracks[log.KindLedger].commit, uint64(1))
}

// A withdrawal is told again what became of it, whoever asks whatever else under its number is told so, and nothing is withdrawn that is not there.
func TestAnswersToWithdrawals(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.turns(withdraws("v", 2, "t", "other"), apierror.KeyUnknown)
		r.turns(withdraws("v", 2, "u", "k"), apierror.KeyUnknown)
		assert.Equal(t, r.tally.QuorumChecks, uint64(2), "that nothing is held is said once a majority confirmed the epoch")
		assert.Equal(t, r.takes(withdraws("v", 2, "t", "k")), uint64(2))
		v := r.submits(withdraws("v", 2, "t", "k"))[0]
		assert.DeepEqual(t, v.Decision, &Decision{Epoch: 1, Offset: 2, Duplicate: true})
		for _, q := range []*Message{withdraws("v", 2, "t", "l"), says("v", 2, "t", "k"), says("v", 2, "t", ""), {Client: "v", CallSeq: 2, Topic: "t", Key: "k", Withdraw: true, WithdrawSender: "w", WithdrawUpTo: 3}, says("v", 1, "t", "l"), says("v", 1, "t", "")} {
			r.turns(q, apierror.CallAltered)
		}
		v = r.submits(withdraws("w", 1, "t", "k"))[0]
		assert.DeepEqual(t, v.Decision, &Decision{Epoch: 1, Offset: 3, AlreadyWithdrawn: true})
		assert.DeepEqual(t, r.submits(says("w", 2, "t", "k"), withdraws("w", 3, "t", "k"), withdraws("x", 1, "t", "k"))[2].Decision, &Decision{Epoch: 1, Offset: 6, AlreadyWithdrawn: true})
		assert.DeepEqual(t, r.submits(says("w", 4, "t", "k"), withdraws("x", 1, "t", "k"))[1].Decision, &Decision{Epoch: 1, Offset: 6, Duplicate: true})
		assert.Assert(t, !r.st.Covers(log.Entry{Topic: "t", Key: "k", Offset: 7}))
		r.turns(says("v", 1, "t", ""), apierror.CallAltered)
		for _, q := range []*Message{withdraws("v", 9, "t", ""), says("v", 9, "t", "a\x1fb"), says("v", 9, "t", strings.Repeat("k", 129)), {Client: "v", CallSeq: 9, Topic: "t", WithdrawSender: "w", WithdrawUpTo: 1}, {Client: "v", CallSeq: 9, Topic: "t", Key: "k", Withdraw: true, WithdrawSender: "w"}, {Client: "v", CallSeq: 9, Topic: "t", Key: "k", Withdraw: true, Body: []byte("b")}} {
			r.turns(q, apierror.Malformed)
		}
		r.takes(says("v", 9, "t", strings.Repeat("k", 128)))
		assert.Equal(t, r.View().Tombstones, 1)
		assert.Equal(t, r.View().Counters.Withdrawals, uint64(4))
	})
}

// That a mark stood is said once that is on a majority and nobody else can have decided since.
func TestAlreadyRestsOnTheMark(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		c := make(chan []Outcome, 2)
		go func() { c <- r.SubmitMany(t.Context(), []*Message{withdraws("v", 2, "t", "k")}) }()
		synctest.Wait()
		go func() { c <- r.SubmitMany(t.Context(), []*Message{withdraws("w", 1, "t", "k")}) }()
		synctest.Wait()
		assert.Equal(t, len(c), 0)
		r.lands()
		at := []uint64{(<-c)[0].Decision.Offset, (<-c)[0].Decision.Offset}
		slices.Sort(at)
		assert.DeepEqual(t, at, []uint64{2, 3})
	})
	owning(t, 3, func(t *testing.T, r *rig) {
		r.submitsTo(says("v", 1, "t", "k"))
		r.st.Apply(log.Entry{Type: log.TypeWithdrawal, Offset: 1, Topic: "t", Client: "v", CallSeq: 2, Key: "l"})
		v := r.SubmitMany(t.Context(), []*Message{withdraws("w", 1, "t", "m")})
		assert.Equal(t, v[0].Err.Code, apierror.NotPartitionLeader)
	})
}

// The numbers of a sender that a withdrawal names are passed for good, from the withdrawal on, and those taken before stay taken.
func TestNamedSenderIsPassed(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		w := withdraws("w", 1, "t", "k")
		w.WithdrawSender, w.WithdrawUpTo = "v", 5
		vs := r.submits(says("v", 2, "t", "k"), w, says("v", 4, "t", "k"), says("v", 2, "t", "k"), says("v", 6, "t", "k"), says("v", 5, "u", "k"))
		assert.Equal(t, vs[2].Err.Code, apierror.CallPassed)
		assert.Assert(t, vs[3].Decision.Duplicate)
		assert.Assert(t, vs[4].Err == nil && vs[5].Err == nil)
		r.turns(says("v", 5, "t", "k"), apierror.CallPassed)
		r.takes(says("v", 7, "t", "k"))
		assert.Assert(t, r.submits(w)[0].Decision.Duplicate)
	})
	owning(t, 1, func(t *testing.T, r *rig) {
		r.judge(says("v", 2, "t", "k"))
		r.lands()
		w := withdraws("w", 1, "t", "nothing of it came yet")
		w.WithdrawSender, w.WithdrawUpTo = "v", 5
		r.judge(says("v", 3, "t", "k"))
		r.judge(w)
		at := r.tracks[log.KindLedger]
		at.line.Append(time.Now(), at.pending[0])
		at.pending, at.durable = at.pending[1:], 2
		r.settle(at)
		assert.Assert(t, apierror.HasCode(r.judge(says("v", 4, "t", "k")).err, apierror.CallPassed), "the message in flight landed, the withdrawal did not yet")
		r.lands()
		assert.Equal(t, len(r.front), 0)
		assert.Equal(t, len(r.keyed), 0)
		assert.Assert(t, apierror.HasCode(r.judge(says("v", 4, "t", "k")).err, apierror.CallPassed))
		again := withdraws("w", 2, "t", w.Key)
		again.WithdrawSender, again.WithdrawUpTo = "v", 4
		assert.Assert(t, r.judge(again).already)
		again.CallSeq, again.WithdrawUpTo = 3, 6
		assert.Assert(t, !r.judge(again).already, "a higher number is not passed by the mark that stands")
	})
}

// Marks are bounded, and their bound is no bound to withdrawing a key again.
func TestMarksAreBounded(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.d.MaxTombstones = func() int { return 2 }
		r.takes(says("v", 1, "t", "a"), says("v", 2, "t", "b"), says("v", 3, "t", "c"))
		vs := r.submits(withdraws("v", 4, "t", "a"), withdraws("v", 5, "t", "b"), withdraws("v", 6, "t", "c"), says("v", 7, "t", "c"))
		assert.Equal(t, vs[2].Err.Code, apierror.Overloaded)
		assert.Assert(t, vs[3].Err == nil, "messages go on")
		r.turns(withdraws("v", 8, "t", "c"), apierror.Overloaded)
		assert.DeepEqual(t, r.said, []string{"full"})
		r.takes(says("v", 8, "t", "a"))
		r.takes(withdraws("v", 9, "t", "a"))
	})
}

// The yes comes once every reader asked from behind the mark, under the boot it is noted with; until then it names them.
func TestYesWaitsForReaders(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		r.follows("a2", "b", "t")
		r.becomes("a1", "b", 0)
		r.becomes("a2", "b", 0)
		at := r.takes(withdraws("v", 2, "t", "k"))
		begun := time.Now()
		u, err := r.forgotten(at)
		assert.NilError(t, err)
		assert.DeepEqual(t, u.Nodes, []string{"a1", "a2"})
		assert.Equal(t, time.Since(begun), r.d.Timing.LongPoll())
		r.polls("a1", "b", at-1)
		r.polls("a2", "b", at)
		r.polls("a1", "c", at)
		u, err = r.forgotten(at)
		assert.NilError(t, err)
		assert.DeepEqual(t, u.Nodes, []string{"a1"})
		yes := make(chan *PendingReaders, 1)
		go func() {
			u, _ := r.forgotten(at)
			yes <- u
		}()
		synctest.Wait()
		begun = time.Now()
		assert.Equal(t, r.takes(says("v", 3, "t", "k")), at+1, "nothing is held up meanwhile")
		r.polls("a1", "b", at)
		assert.DeepEqual(t, <-yes, &PendingReaders{})
		assert.Equal(t, time.Since(begun), time.Duration(0))
	})
}

// An owner that may have been superseded never says that nobody is left, as another one may have noted a reader.
func TestYesIsAssured(t *testing.T) {
	owning(t, 3, func(t *testing.T, r *rig) {
		r.submitsTo(says("v", 1, "t", "k"))
		_, err := r.forgotten(1)
		assert.Assert(t, apierror.HasCode(err, apierror.NotPartitionLeader), "%v", err)
	})
	owning(t, 1, func(t *testing.T, r *rig) {
		_, err := r.forgotten(1)
		assert.Assert(t, apierror.HasCode(err, apierror.NotReady), "%v", err)
		u, err := r.forgotten(0)
		assert.NilError(t, err)
		assert.DeepEqual(t, u, &PendingReaders{})
		assert.Equal(t, r.tally.QuorumChecks, uint64(1))
	})
}

// trims has the ledger let go of what stands up to an offset.
func (r *rig) trims(to uint64) {
	r.t.Helper()
	l := r.tracks[log.KindLedger].line
	r.st.Prune(l.Slice(r.pruned+1, to, 1<<20, 1<<30)...)
	r.pruned, r.input = to, to
	p, ok := l.Position(to)
	assert.Assert(r.t, ok)
	r.locked(r.release)
	assert.Assert(r.t, len(r.st.Tombstones) > 0 || l.Base().Offset == to, "the line still holds what the mark covers")
	l.TrimTo(p)
	r.locked(r.release)
}

// A mark goes when all readers have read behind it and the ledger holds nothing that it covers.
func TestMarkIsKeptUntilRead(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		r.becomes("a1", "b", 0)
		at := r.takes(withdraws("v", 2, "t", "k"))
		r.takes(says("v", 3, "t", ""))
		assert.DeepEqual(t, r.View().TombstoneView, TombstoneView{Tombstones: 1, OldestAge: 1, Readers: []ReaderView{{Node: "a1"}}})
		r.trims(at)
		assert.Equal(t, len(r.st.Tombstones), 1, "a reader may still hold it")
		r.polls("a1", "b", at)
		assert.DeepEqual(t, r.View().Readers, []ReaderView{{Node: "a1", Read: at}})
		r.locked(r.release)
		assert.Equal(t, len(r.st.Tombstones), 0)
		assert.Equal(t, r.tally.TombstonesDropped, uint64(1))
		r.turns(withdraws("v", 4, "t", "k"), apierror.KeyUnknown)
	})
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.takes(withdraws("v", 2, "t", "k"))
		r.locked(r.release)
		assert.Equal(t, len(r.st.Tombstones), 1, "the ledger still holds what it covers")
		r.trims(2)
		assert.Equal(t, len(r.st.Tombstones), 0)
	})
}

// A reader that was not heard and was no member for long is given up, where it keeps a mark. It is told so when it comes back, and may read under another boot.
func TestReaderIsGivenUp(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		r.becomes("a1", "b", 0)
		tends := func(d time.Duration) {
			for range d / (2 * time.Second) {
				time.Sleep(2 * time.Second)
				r.locked(r.abandon)
				r.lands()
			}
		}
		delete(r.members, "a1")
		tends(2 * r.patience())
		assert.Assert(t, !r.st.Readers["a1"].GivenUp, "it keeps no mark")
		at := r.takes(withdraws("v", 2, "t", "k"))
		r.members["a1"] = "at-a1"
		tends(2 * r.patience())
		assert.Assert(t, !r.st.Readers["a1"].GivenUp, "it is a member")
		delete(r.members, "a1")
		tends(r.patience() - 4*time.Second)
		assert.Assert(t, !r.st.Readers["a1"].GivenUp, "that was not long")
		tends(8 * time.Second)
		assert.Assert(t, r.st.Readers["a1"].GivenUp)
		assert.DeepEqual(t, r.said, []string{"a1 b", "a1 b given up"})
		assert.Equal(t, r.tally.ReadersGivenUp, uint64(1))
		u, err := r.forgotten(at)
		assert.NilError(t, err)
		assert.DeepEqual(t, u, &PendingReaders{GivenUp: []string{"a1"}})

		p := <-r.polls("a1", "b", 0)
		assert.Assert(t, p.a.MustReset && p.a.UnknownFollower && len(p.a.Entries) == 0)
		a, err := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", Sequence: 7, Full: true, TracksTombstones: true, Topics: map[string]int{"t": 1}})
		assert.NilError(t, err)
		assert.Assert(t, a.MustReset && a.UnknownFollower)
		r.follows("a1", "b+1", "t")
		r.lands()
		assert.DeepEqual(t, r.st.Readers["a1"].BootID, "b+1")
		assert.Assert(t, !(<-r.polls("a1", "b+1", 0)).a.MustReset)
	})
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		r.becomes("a1", "b", 0)
		r.takes(withdraws("v", 2, "t", "k"))
		r.locked(func() { r.enter("a1", state.ReaderEntry{BootID: "b", GivenUp: true}) })
		r.lands()
		a, err := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, TracksTombstones: true, Finished: true})
		assert.NilError(t, err)
		assert.Assert(t, !a.MustReset)
		r.lands()
		assert.Equal(t, len(r.st.Readers), 0, "one that let go of all is none")
	})
}

// A reader that says it is done is none from then on, whatever of it comes late; a next first entry under a key makes it one again.
func TestReaderThatIsDoneIsGone(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		r.becomes("a1", "b", 0)
		late := r.polls("a1", "b", 3)
		a, err := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "b", BaseSequence: 1, Sequence: 2, TracksTombstones: true, Finished: true})
		assert.NilError(t, err)
		assert.Assert(t, !a.UnknownFollower)
		assert.Equal(t, len(r.st.Readers), 1, "not on a majority yet")
		again := &FollowRequest{Node: "a1", BootID: "b", BaseSequence: 2, Sequence: 3, TracksTombstones: true, Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0}, ReaderToken: r.told("a1", "b")}
		a, err = r.Follow(t.Context(), again)
		assert.NilError(t, err)
		assert.Assert(t, a.UnknownFollower, "a run that is done goes on under another boot")
		c := make(chan *FollowResponse, 1)
		go func() {
			a, _ := r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "c", Sequence: 1, Full: true, TracksTombstones: true, Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0}, ReaderToken: r.told("a1", "c")})
			c <- a
		}()
		synctest.Wait()
		assert.Equal(t, len(c), 0, "its going is under way, so it is given nothing")
		r.takes(says("v", 2, "t", "k"))
		r.lands()
		r.lands()
		assert.DeepEqual(t, offsets((<-c).Backlog), []uint64{1, 4})
		assert.Equal(t, r.st.Readers["a1"].Offset, uint64(5))
		p := <-late
		assert.Assert(t, p.a.UnknownFollower, "a poll of before its end is none")
		_, err = r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "c", Sequence: 4, Full: true, Finished: true})
		assert.NilError(t, err)
		r.lands()
		assert.Equal(t, len(r.st.Readers), 0)
		a, err = r.Follow(t.Context(), &FollowRequest{Node: "a1", BootID: "c", Sequence: 2, Full: true, TracksTombstones: true, Topics: map[string]int{"t": 1}, After: map[string]uint64{"t": 0}, ReaderToken: r.told("a1", "c")})
		assert.NilError(t, err)
		assert.Assert(t, a.UnknownFollower, "a question of before its end is none")
	})
}

// A reader whose node runs anew and reads nothing here is asked which run it is in, and goes.
func TestReaderOfARunThatIsOverGoes(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		r.becomes("a1", "b", 0)
		r.follows("a2/streams", "b.1", "t")
		r.becomes("a2/streams", "b.1", 0)
		at := r.takes(withdraws("v", 2, "t", "k"))
		r.locked(func() { r.enter("a2/streams", state.ReaderEntry{BootID: "b.1", GivenUp: true}) })
		r.lands()
		tend := func() {
			time.Sleep(r.d.Timing.SessionTimeout() + time.Second)
			r.locked(r.abandon)
			synctest.Wait()
			r.lands()
		}
		r.runs["at-a1"], r.runs["at-a2"] = "b", "b"
		tend()
		assert.Equal(t, len(r.st.Readers), 2, "they are in the run that read")
		r.runs["at-a1"] = "c"
		tend()
		assert.Equal(t, len(r.st.Readers), 1)
		r.runs["at-a2"] = "c"
		tend()
		assert.Equal(t, len(r.st.Readers), 0)
		u, err := r.forgotten(at)
		assert.NilError(t, err)
		assert.DeepEqual(t, u, &PendingReaders{})
	})
}

// A new owner whose copy of the line begins before a mark that was let go passes over what it covers, and hears all readers anew.
func TestMarkStandsAgainAtATakeOver(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"), says("v", 2, "t", ""))
		r.follows("a1", "b", "t")
		r.becomes("a1", "b", 0)
		at := r.takes(withdraws("v", 3, "t", "k"))
		r.takes(says("v", 4, "t", "l"))
		r.polls("a1", "b", at)
		r.st.DropTombstone(state.Key("t", "k"))
		cl := r.tracks[log.KindChangelog]
		for _, e := range append(changelog.EncodeBatch(r.st.Input, r.st.TakeChanges(), false), changelog.EncodeCommit(changelog.Commit{Input: r.st.Input})) {
			cl.push(e, 1)
		}
		cl.line.Append(time.Now(), cl.pending...)
		cl.pending, cl.durable, cl.commit = nil, cl.last.Offset, cl.last.Offset

		n := New(r.d, r.Record, false)
		n.tracks, n.ctx = r.tracks, t.Context()
		assert.NilError(t, n.recover())
		n.stage, r.Leader = StageOpen, n
		assert.Equal(t, len(n.st.Tombstones), 1)
		assert.DeepEqual(t, n.st.Readers, map[string]state.Reader{"a1": {BootID: "b", Offset: 3}})
		u, err := r.forgotten(at)
		assert.NilError(t, err)
		assert.DeepEqual(t, u.Nodes, []string{"a1"})
		r.locked(r.release)
		assert.Equal(t, len(n.st.Tombstones), 1)
		r.follows("a1", "b", "t")
		assert.DeepEqual(t, r.got(r.polls("a1", "b", 0)), []uint64{2, 4, 5})
		r.polls("a1", "b", at)
		u, err = r.forgotten(at)
		assert.NilError(t, err)
		assert.DeepEqual(t, u, &PendingReaders{})
		assert.Assert(t, r.submits(withdraws("v", 3, "t", "k"))[0].Decision.Duplicate)
		r.turns(says("v", 1, "t", ""), apierror.CallAltered)
		r.takes(withdraws("v", 5, "t", "l"))
	})
}

// What a mark covers is passed over until the line lets go of it, though the state counts it as gone before.
func TestPrunedIsNotTrimmed(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		r.takes(says("v", 1, "t", "k"))
		r.follows("a1", "b", "t")
		r.becomes("a1", "b", 0)
		at := r.takes(withdraws("v", 2, "t", "k"))
		r.polls("a1", "b", at)
		l := r.tracks[log.KindLedger].line
		r.st.Prune(l.Slice(1, at, 9, 1<<20)...)
		r.pruned = at
		r.locked(r.release)
		assert.DeepEqual(t, r.got(r.polls("a1", "b", 0)), []uint64{at})
	})
}

// A turn that an owner of another epoch gave is none.
func TestTurnsOfEpochs(t *testing.T) {
	owning(t, 1, func(t *testing.T, r *rig) {
		one := r.told("a1", "b")
		r.locked(func() { r.Leader.turns, r.turn, r.Record.Epoch = map[string]turn{}, 0, r.Record.Epoch+1 })
		r.locked(func() {
			_, ok := r.turned("a1", "b", one)
			assert.Assert(t, !ok)
		})
	})
}
