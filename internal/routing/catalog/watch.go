package catalog

import (
	"sync"

	"github.com/jasminecove/jasminecove/internal/base/crash"
)

// Watch is a subscription to changes of the upstreams that a request depends on.
type Watch struct {
	once   sync.Once
	lost   func(id string)
	vacate func(id string)
	ids    []string
	c      *Catalog
}

// watchEntry registers a Watch for one upstream.
type watchEntry struct {
	w  *Watch
	id string
}

func (w watchEntry) fire() {
	w.w.once.Do(func() { crash.Go("repath around a lost engine", func() { w.w.lost(w.id) }) })
}

// Watch calls lost in a new goroutine, at most once, when one of the upstreams is found
// dead or restarts, and vacate when the request should be led around one of them. The caller
// must call Stop on the result.
func (c *Catalog) Watch(ids []string, lost, vacate func(id string)) *Watch {
	w := &Watch{lost: lost, vacate: vacate, ids: ids, c: c}
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

// Stop removes the subscription.
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
