package nodelease

import (
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/event"
	"postjunction/internal/membership"
)

// CheckLease returns nil while this node may serve, and otherwise an error with code NoLease. The
// lease extension of the settings counts unless a newer configuration than this node's was
// confirmed.
func (m *Manager) CheckLease() error {
	now := m.Clock.Now()
	extension := time.Duration(m.Settings.LeaseExtension)
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.leaseUntil) {
		return nil
	}
	extended := !m.configurationBehind && !m.leaseUntil.IsZero()
	if extended && now.Before(m.leaseUntil.Add(extension)) {
		return nil
	}
	return apierror.New(apierror.NoLease, "no control node confirmed the description within %s",
		m.Settings.Timing().LeaseDuration()+extension)
}

// LeaseConfirmed reports whether the lease stands without its extension.
func (m *Manager) LeaseConfirmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Before(m.leaseUntil)
}

// renewLease renews the lease by the answer to a heartbeat that was sent at a time. An error means
// that this control node can't vouch for the lease; one with code NotReady, that it may soon.
func (m *Manager) renewLease(control membership.Info, sentAt time.Time, response *HeartbeatResponse) error {
	if !response.Confirmed && response.WarmingUp {
		return apierror.New(apierror.NotReady, "%s began lately and has not confirmed the description yet",
			control.Name)
	}
	if !response.Confirmed {
		return apierror.New(apierror.NoLease, "%s could not confirm the description", control.Name)
	}
	behind := m.Store.Configuration().Sequence < response.Sequence
	m.mu.Lock()
	m.configurationBehind = behind
	m.mu.Unlock()
	if behind {
		return apierror.New(apierror.NoLease, "description %d did not arrive yet", response.Sequence)
	}
	m.extendLease(sentAt.Add(m.Settings.Timing().LeaseDuration() - response.Age))
	if response.Isolated {
		return apierror.New(apierror.NoLease, "no majority answers %s", control.Name)
	}
	return nil
}

// extendLease has the lease last until a time, if that is later than it lasts already.
func (m *Manager) extendLease(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.leaseUntil) {
		m.leaseUntil = until
	}
}

// logLeaseChange logs that the lease was lost or regained since the last look.
func (m *Manager) logLeaseChange() {
	holds := m.CheckLease() == nil
	m.mu.Lock()
	held := m.leaseLogged
	m.leaseLogged = holds
	m.mu.Unlock()
	if holds && !held {
		m.Log.Log(event.LeaseRegained)
	}
	if !holds && held {
		m.Log.Log(event.LeaseLost)
	}
}
