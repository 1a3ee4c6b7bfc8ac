package driver

import (
	"context"
	"fmt"
	"time"

	"github.com/jasminecove/jasminecove/internal/pipeline/session"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/upstream/stagelink"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// Limits of tokenization.
const (
	tokenizeTimeout     = 2 * time.Second
	maxTokenizeAttempts = 8
	// firstPathTimeout is the longest time to retry replicas that failed when there is no
	// path without them.
	firstPathTimeout = 1 * time.Second
)

// tokenize picks the first path and requests the tokenized prompt, which is the input of
// the first layer, from its first engine. If it fails, no layer has run. If the only
// replica of some layers is temporarily unreachable, it retries for up to
// firstPathTimeout.
func (r *run) tokenize() (input []byte, count uint32, err error) {
	var lost []string
	end := time.Now().Add(firstPathTimeout)
	for {
		path, err := r.firstPath(lost)
		if err != nil {
			if len(lost) == 0 || time.Now().After(end) {
				return nil, 0, err
			}
			lost = nil
			if err := r.pause(); err != nil {
				return nil, 0, err
			}
			continue
		}
		r.setPath(path)
		first := path[0].Replica
		f, err := r.requestTokens(first)
		if err == nil {
			r.joinPath()
			return f.Payload, f.Count, nil
		}
		if r.ctx.Err() != nil {
			return nil, 0, context.Cause(r.ctx)
		}
		r.d.dir.RecordOutcome(r.req.Pool, first, false)
		r.lost = append(r.lost, LostReplica{Replica: first, Reason: "tokenize"})
		lost = append(lost, first)
		if len(r.lost) >= maxTokenizeAttempts {
			return nil, 0, fmt.Errorf("pool %s: %w", r.req.Pool, ErrTokenize)
		}
	}
}

// pause waits between two attempts to find a path.
func (r *run) pause() error {
	select {
	case <-r.ctx.Done():
		return context.Cause(r.ctx)
	case <-time.After(pathRetryInterval):
		return nil
	}
}

// firstPath picks a path for the session, in place of the one that it has.
func (r *run) firstPath(lost []string) (path []session.Hop, err error) {
	r.d.dir.Release(r.path)
	r.path = nil
	path, err = r.d.dir.PickPath(directory.PathQuery{Pool: r.req.Pool, Lost: lost})
	if err != nil {
		return nil, err
	}
	return path, nil
}

// joinPath opens the links to all replicas of the path, so that later hops need not wait
// for a connection.
func (r *run) joinPath() {
	for _, h := range r.path {
		r.link(h.Replica)
	}
}

// requestTokens sends the prompt to a replica and waits for the tokens.
func (r *run) requestTokens(replica string) (*upstreampb.StageFrame, error) {
	l := r.link(replica)
	if l == nil {
		return nil, ErrTokenize
	}
	ask := &upstreampb.StageFrame{Kind: upstreampb.StageFrame_TOKENIZE, Session: r.id, Payload: []byte(r.req.Prompt)}
	l.Send(ask)
	timeout := time.NewTimer(tokenizeTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return nil, context.Cause(r.ctx)
		case <-timeout.C:
			return nil, ErrTokenize
		case <-r.mailbox.Wake():
		}
		r.events = r.mailbox.Take(r.events)
		for _, e := range r.events {
			if e.Replica != replica {
				continue
			}
			switch {
			case e.Kind == stagelink.FrameEvent && e.Frame.Kind == upstreampb.StageFrame_TOKENS:
				return e.Frame, nil
			case e.Kind == stagelink.ResumedEvent:
				l.Send(ask)
			case e.Kind == stagelink.LostEvent:
				return nil, ErrTokenize
			}
		}
	}
}
