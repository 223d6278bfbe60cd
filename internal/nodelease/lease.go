package nodelease

import (
	"time"

	"postjunction/internal/apierror"
	"postjunction/internal/event"
	"postjunction/internal/membership"
)

// CheckLease returns nil while this node may serve, and otherwise an error with code NoLease. The
// lease extension of the settings counts unless a configuration newer than this node's was
// confirmed.
func (m *Manager) CheckLease() error {
	now := m.Clock.Now()
	extension := time.Duration(m.Settings.LeaseExtension)
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Before(m.leaseUntil) {
		return nil
	}
	isExtended := !m.configurationBehind && !m.leaseUntil.IsZero()
	if isExtended && now.Before(m.leaseUntil.Add(extension)) {
		return nil
	}
	return apierror.New(apierror.NoLease, "no control node confirmed the configuration within %s",
		m.Settings.Timing().LeaseDuration()+extension)
}

// LeaseConfirmed reports whether the lease is valid without its extension.
func (m *Manager) LeaseConfirmed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Clock.Now().Before(m.leaseUntil)
}

// renewLease renews the lease by the response to a heartbeat that was sent at sentAt. An error
// means that this control node can't grant the lease. With code NotReady, it may be able to soon.
func (m *Manager) renewLease(control membership.Info, sentAt time.Time, response *HeartbeatResponse) error {
	if !response.Confirmed && response.WarmingUp {
		return apierror.New(apierror.NotReady, "%s started recently and has not confirmed the configuration yet",
			control.Name)
	}
	if !response.Confirmed {
		return apierror.New(apierror.NoLease, "%s could not confirm the configuration", control.Name)
	}
	isBehind := m.Store.Configuration().Sequence < response.Sequence
	m.mu.Lock()
	m.configurationBehind = isBehind
	m.mu.Unlock()
	if isBehind {
		return apierror.New(apierror.NoLease, "configuration %d has not arrived yet", response.Sequence)
	}
	m.extendLease(sentAt.Add(m.Settings.Timing().LeaseDuration() - response.Age))
	if response.Isolated {
		return apierror.New(apierror.NoLease, "no majority of voters answers %s", control.Name)
	}
	return nil
}

// extendLease extends the lease to a time, if that is later than its current end.
func (m *Manager) extendLease(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if until.After(m.leaseUntil) {
		m.leaseUntil = until
	}
}

// logLeaseChange logs that the lease was lost or regained since the last check.
func (m *Manager) logLeaseChange() {
	hasLease := m.CheckLease() == nil
	m.mu.Lock()
	hadLease := m.leaseLogged
	m.leaseLogged = hasLease
	m.mu.Unlock()
	if hasLease && !hadLease {
		m.Log.Log(event.LeaseRegained)
	}
	if !hasLease && hadLease {
		m.Log.Log(event.LeaseLost)
	}
}
