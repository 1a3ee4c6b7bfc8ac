package driver

import (
	"context"
	"slices"
	"time"

	"github.com/jasminecove/jasminecove/internal/pipeline/session"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/upstream/stagelink"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// run is one session under way.
type run struct {
	d         *Driver
	ctx       context.Context
	req       Request
	emit      func(Token) error
	id        uint64
	session   *session.Session
	mailbox   *stagelink.Mailbox
	links     map[string]*stagelink.Link
	path      []session.Hop // Counted in flight by the directory.
	promptLen uint32

	timer    *time.Timer
	timerAt  time.Time // When the timer fires, zero when it does not run.
	sentAt   time.Time
	deadline time.Time // Of the hop in flight, zero when none is.
	needPath *session.NeedPathCmd
	needTill time.Time // End of the wait for a path, zero once a token came.
	imported chan bool
	lostAt   time.Time // Of the newest loss, zero once a token came after it.

	tokens int
	lost   []LostReplica
	events []stagelink.Event
	done   bool
	err    error
}

// loop feeds the session until it is done.
func (r *run) loop() {
	for !r.done {
		r.arm()
		select {
		case <-r.mailbox.Wake():
			r.takeEvents()
		case <-r.timer.C:
			r.timerAt = time.Time{}
			r.onTimer(time.Now())
		case ok := <-r.imported:
			r.imported = nil
			r.apply(session.ImportedMsg{OK: ok})
		case <-r.ctx.Done():
			r.cancel(context.Cause(r.ctx))
		}
	}
}

// arm makes the timer fire no later than the next deadline. A timer that fires
// early costs less than one that is set again for each hop.
func (r *run) arm() {
	next := r.deadline
	if r.needPath != nil {
		next = time.Now().Add(pathRetry)
	}
	if next.IsZero() || !r.timerAt.IsZero() && !next.Before(r.timerAt) {
		return
	}
	r.timerAt = next
	r.timer.Reset(time.Until(next))
}

func (r *run) onTimer(now time.Time) {
	if r.needPath != nil {
		r.findPath(*r.needPath)
		return
	}
	if r.deadline.IsZero() || now.Before(r.deadline) {
		return
	}
	if replica := r.session.Waiting(); replica != "" {
		r.giveUp(replica, "hop deadline")
	}
}

func (r *run) takeEvents() {
	r.events = r.mailbox.Take(r.events)
	for i := range r.events {
		if r.done {
			return
		}
		r.event(r.events[i])
	}
	clear(r.events)
}

func (r *run) event(e stagelink.Event) {
	switch e.Kind {
	case stagelink.FrameEvent:
		r.frame(e)
	case stagelink.ResumedEvent:
		r.apply(session.HopResumedMsg{Replica: e.Replica})
	case stagelink.LeavingEvent:
		r.apply(session.HopLeavingMsg{Replica: e.Replica})
	case stagelink.LostEvent:
		r.giveUp(e.Replica, "unreachable")
	}
}

// frame hands a frame to the session and learns the hop's pace from it.
func (r *run) frame(e stagelink.Event) {
	if e.Frame.Kind == upstreampb.StageFrame_RESULT && r.session.Waiting() == e.Replica && e.Frame.Lineage == r.session.Lineage() {
		took := time.Since(r.sentAt)
		r.d.dir.Observe(e.Replica, float64(took)/float64(time.Millisecond), e.Frame.Count)
		if r.d.hooks.Hop != nil {
			hop := session.Hop{Replica: e.Replica, LayerFrom: e.Frame.LayerFrom, LayerTo: e.Frame.LayerTo}
			r.d.hooks.Hop(r.ctx, hop, e.Frame.Position, r.sentAt, took)
		}
	}
	r.apply(session.FrameMsg{Replica: e.Replica, Frame: e.Frame})
}

// giveUp tells the session and the directory that a replica failed it.
func (r *run) giveUp(replica, reason string) {
	if !slices.ContainsFunc(r.path, func(h session.Hop) bool { return h.Replica == replica }) {
		return
	}
	r.lost = append(r.lost, LostReplica{Replica: replica, Reason: reason})
	r.d.dir.Report(r.req.Pool, replica, false)
	if r.lostAt.IsZero() {
		r.lostAt = time.Now()
	}
	if r.d.hooks.Lost != nil {
		r.d.hooks.Lost(replica, reason)
	}
	r.apply(session.HopLostMsg{Replica: replica})
}

// apply gives the session a message and carries out what follows.
func (r *run) apply(msg session.Msg) {
	for _, cmd := range r.session.Update(msg) {
		switch c := cmd.(type) {
		case session.SendCmd:
			r.send(c)
		case session.TokenCmd:
			r.token(c)
		case session.NeedPathCmd:
			if r.needTill.IsZero() {
				r.needTill = time.Now().Add(pathWait.Std())
			}
			r.findPath(c)
		case session.ImportCmd:
			r.importCache(c)
		case session.DoneCmd:
			r.done = true
			if r.err == nil {
				r.err = c.Err
			}
		}
	}
}

func (r *run) send(c session.SendCmd) {
	l := r.link(c.Replica)
	if l == nil {
		if stepOf(c) {
			r.mailbox.Put(stagelink.Event{Kind: stagelink.LostEvent, Replica: c.Replica})
		}
		return
	}
	if stepOf(c) {
		r.sentAt = time.Now()
		r.deadline = r.sentAt.Add(r.d.dir.HopDeadline(c.Replica, c.Frame.Count).Std())
	}
	l.Send(c.Frame)
}

// link returns the link to a replica, joined by this session. A replica that
// started again has another address and another link.
func (r *run) link(replica string) *stagelink.Link {
	u, ok := r.d.dir.Upstream(replica)
	if !ok {
		return r.links[replica]
	}
	if l := r.links[replica]; l != nil && l.Address() == u.Address {
		return l
	}
	l, err := r.d.links.Get(replica, u.Address)
	if err != nil {
		return nil
	}
	r.links[replica] = l
	l.Subscribe(r.id, r.mailbox)
	return l
}

func (r *run) token(c session.TokenCmd) {
	r.tokens++
	r.needTill = time.Time{}
	if !r.lostAt.IsZero() {
		if r.d.hooks.Recovered != nil {
			r.d.hooks.Recovered(time.Since(r.lostAt))
		}
		r.lostAt = time.Time{}
	}
	if err := r.emit(Token{ID: c.Token, Text: c.Text, Index: c.Index}); err != nil {
		r.cancel(err)
	}
}

// cancel ends the session for a reason of the caller's.
func (r *run) cancel(err error) {
	if r.err == nil {
		r.err = err
	}
	r.apply(session.CancelMsg{})
}

// findPath answers a NeedPathCmd, or keeps it for a later look until the wait
// for a replica is over.
func (r *run) findPath(c session.NeedPathCmd) {
	path, err := r.d.dir.Path(directory.PathQuery{Pool: r.req.Pool, Present: c.Present, Lost: c.Lost, Leaving: c.Leaving})
	if err != nil && time.Now().Before(r.needTill) {
		// A replica that was lost may come back while nothing else is left.
		c.Lost = r.unreachable(c.Lost)
		r.needPath = &c
		r.deadline = time.Time{}
		return
	}
	r.needPath = nil
	if err == nil {
		r.d.dir.Release(r.path)
		r.path = path
	}
	r.apply(session.PathMsg{Request: c.Request, Path: path, ImportFirst: r.importFirst(c, path)})
}

// unreachable returns those replicas whose link is still down.
func (r *run) unreachable(replicas []string) []string {
	var out []string
	for _, replica := range replicas {
		u, live := r.d.dir.Upstream(replica)
		l := r.links[replica]
		if !live || l != nil && l.Address() == u.Address && !l.Up() {
			out = append(out, replica)
		}
	}
	return out
}

// importFirst reports whether the replica that a new path replaces still works,
// so that copying its cache spares the new one a replay.
func (r *run) importFirst(c session.NeedPathCmd, path []session.Hop) bool {
	if len(path) != len(c.Present) {
		return false
	}
	for i, h := range path {
		old := c.Present[i].Replica
		if h.Replica == old {
			continue
		}
		l := r.links[old]
		return l != nil && l.Up() && !slices.Contains(c.Lost, old)
	}
	return false
}

// importCache copies the cache in the background.
func (r *run) importCache(c session.ImportCmd) {
	from, okFrom := r.d.dir.Upstream(c.From.Replica)
	to, okTo := r.d.dir.Upstream(c.To.Replica)
	if !okFrom || !okTo {
		r.apply(session.ImportedMsg{OK: false})
		return
	}
	r.deadline = time.Time{}
	result := make(chan bool, 1)
	r.imported = result
	go func() {
		result <- r.d.api.CopyCache(r.ctx, from.Address, to.Address, r.id) == nil
	}()
}

// close leaves every link and ends the count of requests in flight.
func (r *run) close() {
	r.timer.Stop()
	for _, l := range r.links {
		l.Unsubscribe(r.id)
	}
	r.d.dir.Release(r.path)
}

func (r *run) report() Report {
	rep := Report{Session: r.id, PromptTokens: r.promptLen, Tokens: r.tokens, Path: r.path, Lost: r.lost}
	if r.session != nil {
		rep.Lineage = r.session.Lineage()
		rep.Counts = r.session.Counts()
	}
	return rep
}

// layers returns the number of layers that the path covers.
func (r *run) layers() uint32 { return r.path[len(r.path)-1].LayerTo }
