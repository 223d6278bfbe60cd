package journal

import (
	"slices"
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/disk/frame"
	"postjunction/internal/recordtype"
)

// room is how much of a bounded disk the journal takes. Writing anew needs place for the live records beside the old ones, so it comes
// long before the disk is full; past a share large puts are turned away, past a higher one
// all that bring entries; small ones, which trim and forget, go on.
type room struct {
	most, used, live int64
	pace             time.Duration
	tried            time.Time
	tight            bool
}

const (
	anewPercent  = 40
	fullPercent  = 70
	healPercent  = 60
	entryPercent = 80
	lastPercent  = 95
	anewGrowth   = 3
	anewParts    = 2
	smallBytes   = 4096
	lengthBefore = 3
)

// SetCapacity bounds the bytes that the journal takes on its disk, before Run; pace is the least pause between two tries to make place.
func (j *Journal) SetCapacity(most int64, pace time.Duration) { j.room.most, j.room.pace = most, pace }

func size(body int) int64 { return int64(body) + frame.Size + lengthBefore }

func total(rs []Record) int64 {
	n := int64(0)
	for _, r := range rs {
		n += size(len(r.Body))
	}
	return n
}

func (r *room) over(n int64, percent int64) bool { return r.most > 0 && n > r.most*percent/100 }

// grown tells whether it is time to write anew.
func (r *room) grown() bool {
	return r.over(r.used, anewPercent) && r.used > r.live*anewGrowth/anewParts
}

func (r *room) fits(anew int64) bool { return !r.over(r.used+anew, lastPercent) }

var keeps = map[uint16]bool{recordtype.Entry: true, recordtype.Snapshot: true}

func brings(rs []Record) bool {
	return slices.ContainsFunc(rs, func(r Record) bool { return keeps[r.Kind] })
}

// admit turns away what has no room, and tries to make place then.
func (j *Journal) admit(ps []put) []put {
	if j.room.most == 0 {
		return ps
	}
	n := j.room.used
	var in, out []put
	for _, p := range ps {
		k := total(p.recs)
		if k >= smallBytes && (j.room.tight || j.room.over(n+k, fullPercent)) || brings(p.recs) && j.room.over(n+k, entryPercent) || k > 0 && j.room.over(n+k, lastPercent) {
			out = append(out, p)
			continue
		}
		n += k
		in = append(in, p)
	}
	if len(out) == 0 {
		return ps
	}
	err := apierror.New(apierror.DiskFull, "the journal takes %d of the %d bytes that the settings give it", j.room.used, j.room.most)
	j.room.tight = true
	j.mu.Lock()
	j.fault = err
	j.tally.Failures++
	j.mu.Unlock()
	for _, p := range out {
		p.end(err)
	}
	if now := j.clk.Now(); now.Sub(j.room.tried) >= j.room.pace {
		j.room.tried = now
		if err := j.mend(); err == nil {
			if j.anew == nil {
				j.count()
				j.begin(nil)
			}
			for j.anew != nil {
				j.step()
			}
		}
	}
	return in
}
