package gossip

import (
	"slices"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

func (c *Core) tick(now clock.Time) {
	if c.left {
		return
	}
	if c.targetsOutdated(now) {
		c.setTargets(now)
	}
	c.detect(now)
	c.heartbeat(now)
	c.ping(now)
	c.reconnect(now)
	c.flush()
}

// heartbeat sends a heartbeat to each target that is due.
func (c *Core) heartbeat(now clock.Time) {
	for _, vm := range c.targetNames {
		t := c.targets[vm]
		if now.Sub(t.heartbeatAt) < heartbeatInterval {
			continue
		}
		t.heartbeatAt = now
		c.send(c.entries[vm].member.Address, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_HEARTBEAT, Upstreams: c.upstreams})
	}
}

// ping pings each target from which no message came within the interval. Heartbeats, and the
// answers to their probes, make pings unnecessary as long as the interval is no shorter than
// the heartbeats'.
func (c *Core) ping(now clock.Time) {
	for _, vm := range c.targetNames {
		t := c.targets[vm]
		if now.Sub(t.receivedAt) <= c.interval+pingSlack || now.Sub(t.pingedAt) < c.interval {
			continue
		}
		t.pingedAt = now
		c.sequence++
		c.send(c.entries[vm].member.Address, &fleetpb.GossipMessage{Kind: fleetpb.GossipMessage_PING, Sequence: c.sequence})
	}
}

// reconnect requests the view of a dead VM or a seed, so that the parts of the fleet join
// again after a network partition.
func (c *Core) reconnect(now clock.Time) {
	if now.Sub(c.reconnectedAt) < c.reconnectDelay() {
		return
	}
	c.reconnectedAt = now
	c.removeDead(now)
	liveAddresses := map[string]bool{c.self.Address: true}
	var unreached []string
	for _, m := range c.Members() {
		if live(m) {
			liveAddresses[m.Address] = true
		} else if m.State == fleetpb.Member_DEAD {
			unreached = append(unreached, m.Address)
		}
	}
	for _, s := range c.seeds {
		if !liveAddresses[s] && !slices.Contains(unreached, s) {
			unreached = append(unreached, s)
		}
	}
	if len(unreached) > 0 {
		// In turn, so that a silent one is not drawn again and again.
		c.sync(unreached[c.reconnects%len(unreached)], fleetpb.GossipMessage_SYNC)
		c.reconnects++
	}
	c.attemptsAlone++
	if len(liveAddresses) > 1 {
		c.attemptsAlone = 0
	}
}

// reconnectDelay returns the time from one attempt to reach a dead VM or a seed to the next.
func (c *Core) reconnectDelay() clock.Duration {
	if c.attemptsAlone > 0 && c.attemptsAlone < urgentReconnects {
		return urgentReconnectInterval
	}
	return reconnectInterval
}

// sync sends the whole view.
func (c *Core) sync(address string, kind fleetpb.GossipMessage_Kind) {
	c.send(address, &fleetpb.GossipMessage{Kind: kind, Members: c.Members()})
}
