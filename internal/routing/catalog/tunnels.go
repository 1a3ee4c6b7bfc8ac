package catalog

// AdmitsTunnels reports whether this VM may open connections to an upstream for other VMs: it is live, and has not
// asked this VM for time or been leaving for long.
func (c *Catalog) AdmitsTunnels(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, now := c.registry.At(address), c.clock.Now()
	return len(at) > 0 && c.limits.PausedFor(now, at[0].Id) == 0 && !c.left(at[0], now)
}

// Addresses returns the addresses of the live upstreams that are not considered dead.
func (c *Catalog) Addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var out []string
	for _, u := range c.registry.All() {
		if !c.isDead(u.Id, now) {
			out = append(out, u.Address)
		}
	}
	return out
}
