// Package membership knows the nodes of the fleet: a node is a member while its session with a control node stands.
package membership

import (
	"slices"
	"strings"
	"sync"
	"time"

	"postjunction/internal/clock"
	"postjunction/internal/settings"
	"postjunction/internal/wire"
)

// Stages of a node.
const (
	Serving = "serving"
	Leaving = "leaving"
)

// Info is what a node says of itself.
type Info struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Listen string `json:"listen"`
	Peers  string `json:"fellows"`
	// Visits is where visitors' line sessions are taken.
	Visits      string `json:"visits,omitempty"`
	Disk        string `json:"disk"`
	Incarnation string `json:"incarnation,omitempty"`
	Boot        string `json:"boot"`
	Stage       string `json:"stage"`
	// Description is which one the node has. Control nodes alone are told that of others, the others that one is Behind: it has had an older one than is
	// confirmed for longer than a lease.
	Description uint64 `json:"description,omitempty"`
	Behind      bool   `json:"behind,omitempty"`
	Roster      uint64 `json:"roster"`
	Partitions  int    `json:"partitions"`
	// Loads is what each partition owned here takes a second.
	Loads   map[int]float64 `json:"loads,omitempty"`
	Fitness string          `json:"fitness,omitempty"`
	Deaf    bool            `json:"deaf,omitempty"`
	Build   string          `json:"build,omitempty"`
	Wire    int             `json:"wire"`
	// Lag is how long this node's heartbeats take, in microseconds, the second shortest of the last few; all that are far from slow are told as one.
	Lag int64 `json:"lag_us,omitempty"`
	// Homes tells that this build keeps attachments in an urgent partition too.
	Homes bool `json:"homes,omitempty"`
	// Keys tells that this build knows keys of messages and their withdrawal.
	Keys bool `json:"keys,omitempty"`
	// Processor is what the node has of one for visitors, in thousandths of a core, less where its link is narrow beside it; 0 when that isn't known.
	Processor int `json:"processor,omitempty"`
}

// Heard is a session: what a node said and how long ago.
type Heard struct {
	Info Info          `json:"info"`
	Age  time.Duration `json:"age"`
}

// SessionsRequest gives a control node another's sessions.
type SessionsRequest struct {
	From     string  `json:"from"`
	Sessions []Heard `json:"sessions,omitempty"`
	// Story tells the sessions by difference, Have how far the story of the receiver is known; Sessions then holds nothing.
	Story *Story `json:"s,omitempty"`
	Have  *Mark  `json:"h,omitempty"`
}

// SessionsResponse gives the receiver's sessions back.
type SessionsResponse struct {
	From     string  `json:"f,omitempty"`
	Sessions []Heard `json:"sessions,omitempty"`
	Story    *Story  `json:"s,omitempty"`
	Have     *Mark   `json:"h,omitempty"`
}

// HelloRequest asks a seed who it is. A control node that knows no roster says who it is itself, so that others find it through the seed.
type HelloRequest struct {
	From *Info `json:"from,omitempty"`
}

// HelloResponse says who a node is and whom it knows.
type HelloResponse struct {
	Info  Info   `json:"info"`
	Known []Info `json:"known"`
}

// The calls of membership.
var (
	Sessions = wire.NewProcedure[SessionsRequest, SessionsResponse]("Member", "Sessions", wire.Monotonic, "sessions carry ages, and what was heard later stands")
	Hello    = wire.NewProcedure[HelloRequest, HelloResponse]("Member", "Hello", wire.Monotonic, "what is said of the sender is kept for a session at most")
)

type seen struct {
	info Info
	at   time.Time
}

// Table holds sessions: those of this control node and those that others told of.
type Table struct {
	mu     sync.Mutex
	clk    clock.Clock
	bounds settings.Timing
	m      map[string]seen
	news   chan struct{}
}

// NewTable makes an empty table.
func NewTable(c clock.Clock, b settings.Timing) *Table {
	return &Table{clk: c, bounds: b, m: map[string]seen{}, news: make(chan struct{})}
}

const forgetAfter = 10

// Note takes in what was heard of a node some time ago. News of another run of the
// same node counts only when it is younger.
func (t *Table) Note(i Info, age time.Duration) {
	now := t.clk.Now()
	at := now.Add(-age)
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.m[i.Name]
	if ok && !at.After(s.at) {
		return
	}
	t.m[i.Name] = seen{info: i, at: at}
	if !ok || now.Sub(s.at) >= t.bounds.SessionTimeout() || s.info.Differs(i) {
		close(t.news)
		t.news = make(chan struct{})
	}
}

// Differs tells whether two sayings of one node differ in what control and placement act on.
func (i Info) Differs(k Info) bool {
	return i.Boot != k.Boot || i.Disk != k.Disk || i.Incarnation != k.Incarnation || i.Stage != k.Stage || i.Fitness != k.Fitness || i.Deaf != k.Deaf || i.Peers != k.Peers || i.Roster != k.Roster
}

// Changed is closed when a node joins, comes back, or says something new of its disk, stage, lease, address or roster.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.news
}

// Live gives the members by name.
func (t *Table) Live() []Info {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var is []Info
	for n, s := range t.m {
		age := now.Sub(s.at)
		if age < t.bounds.SessionTimeout() {
			is = append(is, s.info)
		} else if age > forgetAfter*t.bounds.SessionTimeout() {
			delete(t.m, n)
		}
	}
	slices.SortFunc(is, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	return is
}

// Heard gives all live sessions with their ages.
func (t *Table) Heard() []Heard {
	now := t.clk.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var hs []Heard
	for _, s := range t.m {
		if age := now.Sub(s.at); age < t.bounds.SessionTimeout() {
			hs = append(hs, Heard{Info: s.info, Age: age})
		}
	}
	return hs
}

const lastMost = 1 << 13

// View is the list of members as a node was last told.
type View struct {
	mu sync.Mutex
	is []Info
	by map[string]Info
	// last holds who was a member once, so that calls to a machine do not hang on what one control node knows.
	last map[string]Info
}

// NewView makes an empty view.
func NewView() *View { return &View{by: map[string]Info{}, last: map[string]Info{}} }

// Set replaces the list.
func (v *View) Set(is []Info) {
	by := make(map[string]Info, len(is))
	for _, i := range is {
		by[i.Name] = i
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.is, v.by = is, by
	if len(v.last) > lastMost {
		v.last = map[string]Info{}
	}
	for n, i := range by {
		v.last[n] = i
	}
}

// Add takes members in and keeps those that the list does not name.
func (v *View) Add(is []Info) {
	all, have := slices.Clone(is), make(map[string]bool, len(is))
	for _, i := range is {
		have[i.Name] = true
	}
	for _, i := range v.All() {
		if !have[i.Name] {
			all = append(all, i)
		}
	}
	slices.SortFunc(all, func(a, b Info) int { return strings.Compare(a.Name, b.Name) })
	v.Set(all)
}

// Last finds a member, or a node that was one once.
func (v *View) Last(n string) (Info, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i, ok := v.last[n]
	return i, ok
}

// All gives the members.
func (v *View) All() []Info {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.is
}

// Get finds a member.
func (v *View) Get(n string) (Info, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	i, ok := v.by[n]
	return i, ok
}

// Pick gives the members that f keeps.
func Pick(is []Info, f func(Info) bool) []Info {
	var r []Info
	for _, i := range is {
		if f(i) {
			r = append(r, i)
		}
	}
	return r
}
