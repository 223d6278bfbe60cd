package history

import (
	"fmt"
	"time"
)

// Decision is one decision that a node answered for a partition: what it was, under which epoch,
// and when it was begun and told.
type Decision struct {
	Node         string
	Partition    int
	Epoch        uint64
	What         string
	Begun        time.Time
	Answered time.Time
}

// DecisionOpen is the verdict by which an owner opens its partition under a new epoch.
const DecisionOpen = "open"

type term struct {
	partition int
	epoch     uint64
}

// Decide notes a verdict.
func (h *History) Decide(v Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.verdicts = append(h.verdicts, v)
}

// Lead notes who an ownership record names for an epoch.
func (h *History) Lead(partition int, epoch uint64, owner string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := term{partition, epoch}
	if o, ok := h.leaders[t]; ok && o != owner {
		h.violate(Fenced, "partition %d has two owners under epoch %d: %s and %s", partition, epoch, o, owner)
	}
	h.leaders[t] = owner
}

// Terms gives how many epochs of all partitions were seen.
func (h *History) Terms() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.leaders)
}

func (h *History) judgeVerdicts(r *Report) {
	opened := map[int][]Decision{}
	for _, v := range h.verdicts {
		if v.What == DecisionOpen {
			opened[v.Partition] = append(opened[v.Partition], v)
		}
	}
	r.Decisions = map[string]int{}
	for _, v := range h.verdicts {
		r.Decisions[v.What]++
		if o, ok := h.leaders[term{v.Partition, v.Epoch}]; ok && o != v.Node {
			h.violate(Fenced, "%s said %q for partition %d under epoch %d, which is %s's", v.Node, v.What, v.Partition,
				v.Epoch, o)
		}
		for _, o := range opened[v.Partition] {
			if o.Epoch > v.Epoch && v.Begun.After(o.Answered) {
				h.violate(Fenced,
					"%s said %q for partition %d under epoch %d, asked at %s, after %s had opened it under epoch %d at %s",
					v.Node, v.What, v.Partition, v.Epoch, v.Begun.Format("04:05.000000"), o.Node, o.Epoch,
					o.Answered.Format("04:05.000000"))
			}
		}
	}
}

// Rank orders promises: by number, then by node.
type Rank struct {
	Number uint64
	Node   string
}

func (r Rank) less(o Rank) bool {
	return r.Number < o.Number || r.Number == o.Number && r.Node < o.Node
}

type promise struct {
	rank Rank
	at   time.Time
	more bool
}

// Promise notes that a disk, under its random name, answered yes to something under a rank; what
// names the register or partition. A yes to a lower rank, asked after a yes to a higher one was
// told, shows a disk that forgot and was trusted all the same.
func (h *History) Promise(disk, what string, r Rank, begun, answered time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := disk + " " + what
	h.promises++
	if v, ok := h.promised[k]; ok && r.less(v.rank) && begun.After(v.at) {
		h.violate(Disk, "disk %s said yes to %s under %v at %s, after yes under %v at %s", disk, what, r,
			answered.Format("04:05.000000"), v.rank, v.at.Format("04:05.000000"))
	}
	if v, ok := h.promised[k]; !ok || v.rank.less(r) {
		h.promised[k] = promise{r, answered, ok}
	}
}

// Reading is what a fresh subscriber read back at the end.
type Reading struct {
	Through string
	Topics  map[string]bool
	Since   time.Time
	Got     []Receipt
}

// Reread notes what a fresh subscriber read back through a node, resuming from a cursor taken at
// Since.
func (h *History) ReadMessages(r Reading) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readBacks = append(h.readBacks, r)
}

func (h *History) judgeRereads(cut time.Time) {
	for _, x := range h.readBacks {
		at, last := map[Message]string{}, map[int]uint64{}
		for _, g := range x.Got {
			if g.Offset <= last[g.Partition] {
				h.violate(Order, "through %s, %v was read back at %d/%d after offset %d", x.Through, g.Message, g.Partition,
					g.Offset, last[g.Partition])
			}
			last[g.Partition] = g.Offset
			if _, ok := at[g.Message]; ok {
				h.violate(Twice, "through %s, %v was read back twice", x.Through, g.Message)
			}
			at[g.Message] = fmt.Sprintf("%d/%d", g.Partition, g.Offset)
			if s := h.sent[g.Message]; s == nil || s.body != g.Body {
				h.violate(Foreign, "through %s, %v was read back, which nobody sent so", x.Through, g.Message)
			}
		}
		for m, s := range h.sent {
			if !x.Topics[m.Topic] || s.outcome != Accepted || s.done.After(cut) {
				continue
			}
			p, ok := at[m]
			if !ok && s.at.After(x.Since) {
				h.violate(Lost, "through %s, %v was not read back, told taken at %d/%d on %s", x.Through, m, s.partition,
					s.offset, s.done.Format("04:05.000"))
			}
			if ok && p != fmt.Sprintf("%d/%d", s.partition, s.offset) {
				h.violate(Order, "through %s, %v was read back at %s, told taken at %d/%d", x.Through, m, p, s.partition, s.offset)
			}
		}
	}
}
