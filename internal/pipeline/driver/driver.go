// Package driver carries out sessions: it owns the timers, mailboxes and links
// that a session's state machine asks for.
package driver

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/invariant"
	"github.com/jasminecove/jasminecove/internal/pipeline/session"
	"github.com/jasminecove/jasminecove/internal/routing/directory"
	"github.com/jasminecove/jasminecove/internal/upstream/engineapi"
	"github.com/jasminecove/jasminecove/internal/upstream/stagelink"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// ErrTokenize reports that no engine turned the prompt into tokens.
const ErrTokenize = fault.Sentinel("driver: no engine tokenized the prompt")

// Bytes of inputs that are kept to rebuild lost stages by replay.
const (
	maxRetainBytes = 4 << 20
	retainAllBytes = 512 << 20
)

// pathWait bounds the wait for a replica when none holds some of the layers.
const pathWait = 5 * clock.Second

// pathRetry is the span between two looks for such a replica.
const pathRetry = 50 * time.Millisecond

// Driver runs sessions on one VM.
type Driver struct {
	dir   *directory.Directory
	links *stagelink.Set
	api   engineapi.API
	sink  invariant.Sink
	hooks Hooks

	active atomic.Int64 // Sessions under way.
}

// Hooks observe a session. Each may be nil.
type Hooks struct {
	// Hop is called after each hop, with the time that it took.
	Hop func(ctx context.Context, hop session.Hop, position uint32, began time.Time, took time.Duration)
	// Lost is called when a session gives up a replica.
	Lost func(replica, reason string)
	// Recovered is called with the time from a loss to the next token.
	Recovered func(took time.Duration)
}

// New returns a Driver.
func New(dir *directory.Directory, links *stagelink.Set, api engineapi.API, sink invariant.Sink, hooks Hooks) *Driver {
	return &Driver{dir: dir, links: links, api: api, sink: sink, hooks: hooks}
}

// Request is one answer to produce.
type Request struct {
	Pool      string
	Prompt    string
	MaxTokens int
	Priority  uint32
}

// Token is one piece of an answer.
type Token struct {
	ID    uint32
	Text  []byte
	Index int
}

// Report is the account of one session.
type Report struct {
	Session      uint64         `json:"session"`
	Lineage      uint32         `json:"lineage"`
	PromptTokens uint32         `json:"promptTokens"`
	Tokens       int            `json:"tokens"`
	Path         []session.Hop  `json:"path"`
	Lost         []LostReplica  `json:"lost,omitempty"`
	Counts       session.Counts `json:"counts"`
}

// LostReplica is a replica that a session gave up, and why.
type LostReplica struct {
	Replica string `json:"replica"`
	Reason  string `json:"reason"`
}

// Run produces an answer and hands each token to emit. It ends with nil when
// the answer is whole. An error of emit ends the session and is returned.
func (d *Driver) Run(ctx context.Context, req Request, emit func(Token) error) (Report, error) {
	r := &run{
		d: d, ctx: ctx, req: req, emit: emit, id: rand.Uint64(),
		mailbox: stagelink.NewMailbox(), links: map[string]*stagelink.Link{},
		timer: time.NewTimer(time.Hour),
	}
	d.active.Add(1)
	defer d.active.Add(-1)
	defer r.close()
	prompt, count, err := r.tokenize()
	if err != nil {
		return r.report(), err
	}
	r.promptLen = count
	r.session = session.New(r.id, r.layers(), prompt, count, tokenInput,
		session.WithMaxTokens(req.MaxTokens), session.WithPriority(req.Priority), session.WithRetainBytes(d.retain()), session.WithInvariants(d.sink))
	r.apply(session.StartMsg{Path: r.path})
	r.loop()
	return r.report(), r.err
}

// retain is the bytes of inputs that a new session may keep: its part of what the
// VM keeps for all, and no more than one session needs.
func (d *Driver) retain() int {
	return min(maxRetainBytes, retainAllBytes/int(max(1, d.active.Load())))
}

// tokenInput is the first layer's input for a token that an engine produced.
func tokenInput(token uint32) []byte {
	return binary.LittleEndian.AppendUint32(nil, token)
}

// stepOf returns the frame of a SendCmd if its outcome is awaited.
func stepOf(c session.SendCmd) bool { return c.Frame.Kind == upstreampb.StageFrame_STEP }
