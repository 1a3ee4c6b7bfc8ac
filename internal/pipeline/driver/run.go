package driver

import (
	"context"
	"slices"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/crash"
	"github.com/jasminecove/jasminecove/internal/pipeline/session"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/upstream/stagelink"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// run is one running session.
type run struct {
	d         *Driver
	ctx       context.Context
	req       Request
	emit      func(Token) error
	id        uint64
	session   *session.Session
	mailbox   *stagelink.Mailbox
	links     map[string]*stagelink.Link
	path      []session.Hop // Path that the directory counts as in flight.
	promptLen uint32

	timer        *time.Timer
	timerAt      time.Time            // When the timer fires; zero when it is not running.
	sentAt       time.Time            // When the frame in flight was sent.
	deadline     time.Time            // Deadline of the hop in flight; zero when there is none.
	needPath     *session.NeedPathCmd // Path request that is being retried; nil when there is none.
	pathDeadline time.Time            // End of the wait for a path; zero after each token.
	imported     chan bool            // Result of the cache import in progress; nil when there is none.
	lostAt       time.Time            // First loss since the last token; zero after each token.

	tokens int
	lost   []LostReplica
	events []stagelink.Event
	done   bool
	err    error
}

// loop passes events to the session until it is done.
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

// arm makes the timer fire no later than the next deadline. It never postpones the
// timer, because a timer that fires early costs less than resetting it for each hop.
func (r *run) arm() {
	next := r.deadline
	if r.needPath != nil {
		next = time.Now().Add(pathRetryInterval)
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
	if replica := r.session.AwaitedReplica(); replica != "" {
		r.reportLost(replica, "hop deadline")
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
		r.reportLost(e.Replica, "unreachable")
	}
}

// frame passes a frame to the session. If it is the awaited result, frame also records
// the duration of the hop.
func (r *run) frame(e stagelink.Event) {
	if e.Frame.Kind == upstreampb.StageFrame_RESULT && r.session.AwaitedReplica() == e.Replica && e.Frame.Lineage == r.session.Lineage() {
		took := time.Since(r.sentAt)
		r.d.dir.Observe(e.Replica, float64(took)/float64(time.Millisecond), e.Frame.Count)
		if r.d.hooks.Hop != nil {
			hop := session.Hop{Replica: e.Replica, LayerFrom: e.Frame.LayerFrom, LayerTo: e.Frame.LayerTo}
			r.d.hooks.Hop(r.ctx, hop, e.Frame.Position, r.sentAt, took)
		}
	}
	r.apply(session.FrameMsg{Replica: e.Replica, Frame: e.Frame})
}

// reportLost reports a failed replica of the path to the directory and to the session.
func (r *run) reportLost(replica, reason string) {
	if !slices.ContainsFunc(r.path, func(h session.Hop) bool { return h.Replica == replica }) {
		return
	}
	r.lost = append(r.lost, LostReplica{Replica: replica, Reason: reason})
	r.d.dir.RecordOutcome(r.req.Pool, replica, false)
	if r.lostAt.IsZero() {
		r.lostAt = time.Now()
	}
	if r.d.hooks.Lost != nil {
		r.d.hooks.Lost(replica, reason)
	}
	if r.req.OnLost != nil {
		if err := r.req.OnLost(replica); err != nil {
			r.cancel(err)
			return
		}
	}
	r.apply(session.HopLostMsg{Replica: replica})
}

// setPath records the path that the directory counts as in flight.
func (r *run) setPath(path []session.Hop) {
	r.path = path
	if r.req.OnPath == nil {
		return
	}
	replicas := make([]string, len(path))
	for i, h := range path {
		replicas[i] = h.Replica
	}
	r.req.OnPath(replicas)
}

// apply passes a message to the session and carries out the resulting commands.
func (r *run) apply(msg session.Msg) {
	for _, cmd := range r.session.Update(msg) {
		switch c := cmd.(type) {
		case session.SendCmd:
			r.send(c)
		case session.TokenCmd:
			r.token(c)
		case session.NeedPathCmd:
			if r.pathDeadline.IsZero() {
				r.pathDeadline = time.Now().Add(pathTimeout.Std())
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
		if isStep(c) {
			r.mailbox.Put(stagelink.Event{Kind: stagelink.LostEvent, Replica: c.Replica})
		}
		return
	}
	if isStep(c) {
		r.sentAt = time.Now()
		r.deadline = r.sentAt.Add(r.d.dir.HopDeadline(c.Replica, c.Frame.Count).Std())
	}
	l.Send(c.Frame)
}

// link returns the link to a replica after joining this session to it. A replica that
// restarted has another address and thus another link.
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
	r.pathDeadline = time.Time{}
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

// cancel ends the session with an error of the caller.
func (r *run) cancel(err error) {
	if r.err == nil {
		r.err = err
	}
	r.apply(session.CancelMsg{})
}

// findPath answers a NeedPathCmd. If there is no path, it stores the command to retry it
// until pathTimeout has passed.
func (r *run) findPath(c session.NeedPathCmd) {
	path, err := r.d.dir.PickPath(directory.PathQuery{Pool: r.req.Pool, Current: c.Current, Lost: c.Lost, Leaving: c.Leaving})
	if err != nil && time.Now().Before(r.pathDeadline) {
		// Since there is no other path, allow lost replicas that are reachable again.
		c.Lost = r.unreachable(c.Lost)
		r.needPath = &c
		r.deadline = time.Time{}
		return
	}
	r.needPath = nil
	if err == nil {
		r.d.dir.Release(r.path)
		r.setPath(path)
	}
	r.apply(session.PathMsg{Request: c.Request, Path: path, PreferImport: r.preferImport(c, path)})
}

// unreachable returns those of the replicas that are not registered or whose link is
// down.
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

// preferImport reports whether the first replica that the new path replaces still works,
// so that its cache can be copied instead of replaying the inputs.
func (r *run) preferImport(c session.NeedPathCmd, path []session.Hop) bool {
	if len(path) != len(c.Current) {
		return false
	}
	for i, h := range path {
		old := c.Current[i].Replica
		if h.Replica == old {
			continue
		}
		l := r.links[old]
		return l != nil && l.Up() && !slices.Contains(c.Lost, old)
	}
	return false
}

// importCache starts to copy the cache in the background.
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
		defer crash.Recover("cache copy")
		ok := false
		defer func() { result <- ok }()
		ok = r.d.api.CopyCache(r.ctx, from.Address, to.Address, r.id) == nil
	}()
}

// close detaches the session from its links and releases its path.
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
