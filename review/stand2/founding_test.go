//go:build review

package stand2

import (
	"bytes"
	"syscall"
	"time"
)

func init() { cases["first-acknowledgement"] = firstAcknowledgement }

const (
	// startSpread is less than the 0.3 s within which all machines start.
	startSpread = 200 * time.Millisecond
	// diskLossDown is how long the machine that loses its disk is down.
	diskLossDown = 1400 * time.Millisecond
	// settle is the recovery time, with the seconds that the operator asks for afterwards (contact_ms and more).
	settle = 12*time.Second + 10*time.Second
)

// firstAcknowledgement starts a new deployment. The operator's first configuration is acknowledged
// by a machine that loses its disk right after that. The operator then reads the configuration back.
func firstAcknowledgement(r *run) verdict {
	p := plan{
		zones: []string{"hall-ouest", "hall-est", "quai-expe"}, disks: 1, diskless: 2, storage: 1, machineLosses: 1,
	}
	r.fleet.layOut(p)
	core, diskless := r.fleet.filter(isCore), r.fleet.filter(isDiskless)
	first := core[0]
	// The operator's list at the time when the files were written: three machines that serve management.
	r.fleet.seeds = []*machine{first, diskless[0], diskless[2]}
	for _, m := range r.fleet.machines {
		m.writeSettings(p, true)
	}
	for _, seed := range r.fleet.seeds {
		seed.start()
	}
	started := time.Now()
	go func() {
		time.Sleep(startSpread)
		for _, m := range r.fleet.machines {
			if !r.fleet.isSeed(m) {
				m.start()
			}
		}
	}()
	config := document(3, kept("kafi."), live("kalo."))
	acknowledged := r.replace([]*machine{first}, 0, config, 10*time.Second)
	if acknowledged == nil {
		return couldNt
	}
	r.note("version 3 is acknowledged %v after the start", time.Since(started))
	if r.trouble {
		acknowledged.signal(syscall.SIGKILL)
		<-acknowledged.ended
		acknowledged.wipe()
		time.Sleep(diskLossDown)
		acknowledged.restart(p)
	}
	time.Sleep(time.Until(started.Add(2 * time.Second)))
	answer := r.readBack(r.fleet.filter(isAccess), settle)
	if !bytes.Equal(answer, config) {
		r.note("BROKEN: the acknowledged configuration does not come within %v, the last answer is %.80q", settle, answer)
		return broken
	}
	return held
}
