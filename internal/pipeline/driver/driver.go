// Package driver runs sessions: it carries out the commands of a session's state
// machine with timers, mailboxes and links.
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

// ErrTokenize reports that no engine tokenized the prompt.
const ErrTokenize = fault.Sentinel("driver: no engine tokenized the prompt")

// Limits on the stage inputs that are retained to rebuild lost stages by replay.
const (
	maxRetainBytes      = 4 << 20   // Per session.
	maxTotalRetainBytes = 512 << 20 // For all sessions of the VM.
)

// pathTimeout is the longest time that a session waits for a path when some layers have
// no usable replica.
const pathTimeout = 5 * clock.Second

// pathRetryInterval is the interval between two attempts to find such a path.
const pathRetryInterval = 50 * time.Millisecond

// Driver runs sessions on one VM.
type Driver struct {
	dir   *directory.Directory
	links *stagelink.Set
	api   engineapi.API
	sink  invariant.Sink
	hooks Hooks

	active atomic.Int64 // Running sessions.
}

// Hooks are callbacks that observe sessions. Each may be nil.
type Hooks struct {
	// Hop is called after each hop with its start time and duration.
	Hop func(ctx context.Context, hop session.Hop, position uint32, began time.Time, took time.Duration)
	// Lost is called when a session stops using a replica after a failure.
	Lost func(replica, reason string)
	// Recovered is called with the time from a loss to the next token.
	Recovered func(took time.Duration)
}

// New returns a Driver.
func New(dir *directory.Directory, links *stagelink.Set, api engineapi.API, sink invariant.Sink, hooks Hooks) *Driver {
	return &Driver{dir: dir, links: links, api: api, sink: sink, hooks: hooks}
}

// Request describes one answer to generate.
type Request struct {
	Pool      string
	Prompt    string
	MaxTokens int
	Priority  uint32
	// OnPath is called with the replicas of each path of the session, and OnLost with each replica
	// that it lost. An error of OnLost ends the session. Both may be nil.
	OnPath func(replicas []string)
	OnLost func(replica string) error
}

// Token is one token of an answer.
type Token struct {
	ID    uint32
	Text  []byte
	Index int
}

// Report is the summary of one session.
type Report struct {
	Session      uint64         `json:"session"`
	Lineage      uint32         `json:"lineage"`
	PromptTokens uint32         `json:"promptTokens"`
	Tokens       int            `json:"tokens"`
	Path         []session.Hop  `json:"path"`
	Lost         []LostReplica  `json:"lost,omitempty"`
	Counts       session.Counts `json:"counts"`
}

// LostReplica is a replica that a session stopped using, with the reason.
type LostReplica struct {
	Replica string `json:"replica"`
	Reason  string `json:"reason"`
}

// Run generates an answer and passes each token to emit. It returns a nil error when
// the answer is complete. An error of emit ends the session and is returned.
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
		session.WithMaxTokens(req.MaxTokens), session.WithPriority(req.Priority), session.WithRetainBytes(d.retainBytes()), session.WithInvariants(d.sink))
	r.apply(session.StartMsg{Path: r.path})
	r.loop()
	return r.report(), r.err
}

// retainBytes returns how many bytes of inputs a new session may retain: an equal share
// of the limit for all running sessions, and at most maxRetainBytes.
func (d *Driver) retainBytes() int {
	return min(maxRetainBytes, maxTotalRetainBytes/int(max(1, d.active.Load())))
}

// tokenInput encodes a token as input of the first layer.
func tokenInput(token uint32) []byte {
	return binary.LittleEndian.AppendUint32(nil, token)
}

// isStep reports whether a command sends a STEP frame, whose result the session waits
// for.
func isStep(c session.SendCmd) bool { return c.Frame.Kind == upstreampb.StageFrame_STEP }
