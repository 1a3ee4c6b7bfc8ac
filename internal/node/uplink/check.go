package uplink

import (
	"context"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/crash"
)

// CheckSilent checks the links because an upstream does not respond on an open connection.
func (u *Uplink) CheckSilent(address string) {
	now := u.cfg.Clock.Now()
	u.mu.Lock()
	due := !u.core.Lost() && now.Sub(u.checkedAt) >= checkedLifetime && now.Sub(u.suspectAt) >= checkInterval
	if due {
		u.suspectAt = now
	}
	u.mu.Unlock()
	if !due {
		return
	}
	if !u.check(address) {
		u.verify(address)
	}
}

// others returns upstreams to connect to in order to tell a fault of one from a fault of the links.
func (u *Uplink) others(address string) []string {
	all := u.upstreams()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.core.Controls(all, address, controls)
}

// linkCheck is a check of the links with connections to a few upstreams.
type linkCheck struct {
	startedAt clock.Time
	done      chan struct{} // Closed when healthy is set.
	healthy   bool
}

// isHealthy connects to upstreams other than one that failed, and reports whether one of them accepts. Without others
// nothing speaks against the links.
func (u *Uplink) isHealthy(address string) bool {
	now := u.cfg.Clock.Now()
	u.mu.Lock()
	c := u.latest
	begin := c == nil || now.Sub(c.startedAt) >= shareTime
	if begin {
		c = &linkCheck{startedAt: now, done: make(chan struct{})}
		u.latest = c
	}
	u.mu.Unlock()
	if begin {
		others := u.others(address)
		c.healthy = len(others) == 0 || u.reachesAny(others)
		close(c.done)
	}
	<-c.done
	return c.healthy
}

// reachesAny connects to upstreams at the same time and reports whether one accepted, as soon as that is known.
func (u *Uplink) reachesAny(addresses []string) bool {
	results := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			defer crash.Recover("check of links")
			ok := false // Also after a panic.
			defer func() { results <- ok }()
			ok = u.check(address)
		}()
	}
	for range addresses {
		if <-results {
			return true
		}
	}
	return false
}

// check opens and closes a direct connection, and reports whether the upstream accepted it.
func (u *Uplink) check(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	conn, err := u.dialDirect(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
