package catalog

import "sync"

// Watch is told when one of the upstreams that a request depends on is found dead.
type Watch struct {
	once sync.Once
	lost func(id string)
	ids  []string
	c    *Catalog
}

// watchEntry is a Watch's entry at one upstream.
type watchEntry struct {
	w  *Watch
	id string
}

func (w watchEntry) fire() { w.w.once.Do(func() { go w.w.lost(w.id) }) }

// Watch calls lost at most once, in a goroutine of its own, when one of the upstreams
// is found dead. Stop must follow.
func (c *Catalog) Watch(ids []string, lost func(id string)) *Watch {
	w := &Watch{lost: lost, ids: ids, c: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if c.watchers[id] == nil {
			c.watchers[id] = map[watchEntry]struct{}{}
		}
		c.watchers[id][watchEntry{w, id}] = struct{}{}
	}
	return w
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.c.mu.Lock()
	defer w.c.mu.Unlock()
	for _, id := range w.ids {
		set := w.c.watchers[id]
		delete(set, watchEntry{w, id})
		if len(set) == 0 {
			delete(w.c.watchers, id)
		}
	}
}
