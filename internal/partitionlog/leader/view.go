package leader

import (
	"postjunction/internal/apierror"
	"postjunction/internal/partitionlog/log"
)

// View is a leader's status.
type View struct {
	Partition        int      `json:"partition"`
	Epoch            uint64   `json:"epoch"`
	Stage            string   `json:"stage"`
	Commit           uint64   `json:"commit"`
	Last             uint64   `json:"last"`
	Input            uint64   `json:"input_offset"`
	ChangelogEntries int      `json:"changelog_entries"`
	LogEntries       int      `json:"ledger_entries"`
	Keys             int      `json:"state_keys"`
	Recovery         Recovery `json:"recovery"`
	Counters         Counters `json:"tally"`
	TombstoneView
}

// View returns the leader's status.
func (l *Leader) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	view := View{
		Partition: l.Record.Partition,
		Epoch:     l.Record.Epoch,
		Stage:     l.stage,
		Input:     l.savedInput,
		Recovery:  l.recovery,
		Counters:  l.counters,
	}
	if partitionLog := l.logs[log.KindInput]; partitionLog != nil {
		view.Commit, view.Last, view.LogEntries = partitionLog.commit, partitionLog.last.Offset, partitionLog.log.Len()
		view.ChangelogEntries = l.logs[log.KindChangelog].log.Len()
	}
	if l.state != nil {
		view.Keys = l.state.Size()
		view.TombstoneView = l.tombstoneView(view.Commit)
	}
	return view
}

// Stage returns the leader's stage.
func (l *Leader) Stage() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stage
}

// AcceptedTotals returns how many messages were accepted so far, and the total size of their
// bodies.
func (l *Leader) AcceptedTotals() (messages, bytes uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters.Accepted, l.counters.Bytes
}

// TopicUsage is the usage of a topic.
type TopicUsage struct {
	Topic    string `json:"t"`
	Messages uint64 `json:"m"`
	Senders  int    `json:"s"`
	Offset   uint64 `json:"o"`
}

// Usage returns the usage of the partition's topics, in no order. It returns NotReady unless the
// leader is open or closing.
func (l *Leader) Usage() ([]TopicUsage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.checkReadable(); err != nil {
		return nil, err
	}
	var usages []TopicUsage
	senders := l.state.Senders()
	for topic, progress := range l.state.Progress {
		usages = append(usages, TopicUsage{
			Topic:    topic,
			Messages: progress.Count,
			Senders:  senders[topic],
			Offset:   progress.Offset,
		})
	}
	return usages, nil
}

// checkReadable returns an error unless the state is recovered and the leadership is not lost.
func (l *Leader) checkReadable() error {
	if l.stage != StageOpen && l.stage != StageClosing {
		return apierror.New(apierror.NotReady, "partition %d is %s", l.Record.Partition, l.stage)
	}
	return nil
}

// checkReady returns why the leader can't decide on new calls, nil if it can.
func (l *Leader) checkReady() error {
	if l.stage == StageLost {
		return l.errLost()
	}
	if l.stage == StageClosing {
		return apierror.New(apierror.ShuttingDown, "partition %d is being transferred", l.Record.Partition)
	}
	if err := l.checkMajorityOfMembers(); err != nil {
		return err
	}
	if l.stage != StageOpen {
		return apierror.New(apierror.NotReady, "partition %d is being recovered at epoch %d",
			l.Record.Partition, l.Record.Epoch)
	}
	return l.options.CheckLease()
}

// checkMajorityOfMembers returns an error while too few of the replicas are on nodes that are
// members.
func (l *Leader) checkMajorityOfMembers() error {
	members := 0
	for _, replica := range l.Record.Replicas {
		if _, ok := l.options.Addr(replica.Node); ok || replica.Node == l.options.Self {
			members++
		}
	}
	if members < l.Record.Majority() {
		return apierror.New(apierror.NoPartitionLeader, "%d of %d replicas of partition %d are on members",
			members, len(l.Record.Replicas), l.Record.Partition)
	}
	return nil
}

// checkBacklog returns Overloaded while too many entries of the partition log are uncommitted.
func (l *Leader) checkBacklog() error {
	partitionLog := l.logs[log.KindInput]
	if uncommitted := partitionLog.last.Offset - partitionLog.commit; uncommitted >= uint64(l.options.Backlog()) {
		return apierror.New(apierror.Overloaded, "%d entries of partition %d are uncommitted",
			uncommitted, l.Record.Partition)
	}
	return nil
}

// checkWritable returns why no entry can be written now, nil if one can.
func (l *Leader) checkWritable() error {
	if err := l.checkReady(); err != nil {
		return err
	}
	return l.checkBacklog()
}
