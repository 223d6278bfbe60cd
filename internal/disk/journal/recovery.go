package journal

import (
	"postjunction/internal/apierror"
	"postjunction/internal/disk/frame"
	"postjunction/internal/recordtype"
)

// scan reads all frames that can be trusted. firstBad is the first index that can't be read, 0 for
// none, and last the last index of the log. The error is apierror.DiskDamaged where a record that
// was synced is damaged or missing.
func (j *Journal) scan() (frames []frame.Frame, firstBad, last uint64, err error) {
	first, last, err := j.log.Bounds()
	if err != nil {
		return nil, 0, 0, err
	}
	synced, bad := j.log.Synced(), uint64(0)
	var cause error
	for index := first; index <= last; index++ {
		b, err := j.log.Read(index)
		var decoded frame.Frame
		if err == nil {
			decoded, err = frame.Decode(index, b)
		}
		if err != nil {
			if apierror.HasCode(err, apierror.DiskNewer) || apierror.HasCode(err, apierror.DiskForeign) {
				return nil, 0, 0, err
			}
			if bad == 0 {
				bad, cause = index, err
			}
			continue
		}
		synced = max(synced, decoded.SyncedIndex)
		if bad == 0 {
			frames = append(frames, decoded)
		}
	}
	if bad != 0 && bad <= synced {
		return nil, bad, synced, apierror.Wrap(
			apierror.DiskDamaged, cause, "record %d is damaged though synced up to %d", bad, synced,
		)
	}
	if bad == 0 && last < synced {
		return nil, last + 1, synced, apierror.New(
			apierror.DiskDamaged, "the log ends at %d though synced up to %d", last, synced,
		)
	}
	return frames, bad, last, nil
}

// unfinishedCompaction returns where an incomplete slice of a compaction begins, len(frames) when
// there is none. Such a slice is left when power was lost during its write. The records that it
// replaces are still in the log before it.
func unfinishedCompaction(frames []frame.Frame) int {
	start := len(frames)
	for i, f := range frames {
		switch f.Kind {
		case recordtype.CompactionBegins:
			start = i
		case recordtype.CompactionEnds:
			start = len(frames)
		}
	}
	return start
}

// restore reads the log back into the parts, and truncates what was not written completely.
func (j *Journal) restore() (Report, error) {
	frames, bad, last, err := j.scan()
	if apierror.HasCode(err, apierror.DiskDamaged) {
		report := Report{Damaged: true, Cause: err}
		if err := j.log.SetAside(); err != nil {
			return report, err
		}
		_, last, err := j.log.Bounds()
		j.nextIndex, j.synced, j.compactedTo = last+1, last, last
		return report, err
	}
	if err != nil {
		return Report{Cause: err}, err
	}
	if start := unfinishedCompaction(frames); start < len(frames) {
		bad, frames = frames[start].Index, frames[:start]
	}
	report := Report{Records: uint64(len(frames))}
	if bad != 0 {
		report.Torn = last - bad + 1
		if err := j.log.CutBack(bad - 1); err != nil {
			return report, err
		}
		last = bad - 1
	}
	if err := j.log.Sync(); err != nil {
		return report, err
	}
	for _, f := range frames {
		part, ok := j.partsByType[f.Kind]
		if !ok {
			continue
		}
		body := append([]byte(nil), f.Body...)
		if err := part.Restore(Record{Kind: f.Kind, Epoch: f.Epoch, Offset: f.Offset, Body: body}); err != nil {
			return report, err
		}
	}
	j.nextIndex, j.synced = last+1, last
	j.compactedTo = last - uint64(len(frames))
	for _, f := range frames {
		j.space.used += recordBytes(len(f.Body))
	}
	return report, nil
}
