package command

import (
	"fmt"
	"io"

	"github.com/jasminecove/jasminecove/internal/request/exchange"
)

// printAccount prints the record of a request as text.
func printAccount(out io.Writer, a exchange.Account) {
	fmt.Fprintf(out, "request %s of %s: %s, status %d\n", a.ID, a.Organisation, a.Outcome, a.Status)
	fmt.Fprintf(out, "  route %s to pool %s, began %s\n", a.Route, a.Pool, a.Began.Format("15:04:05.000"))
	fmt.Fprintf(out, "  took %s, of which queued %s, first token after %s\n", a.Took, a.Queued, a.FirstToken)
	if a.Claim != "" {
		fmt.Fprintf(out, "  claim: %s\n", a.Claim)
	}
	if a.Refusal != "" {
		fmt.Fprintf(out, "  refusal: %s\n", a.Refusal)
	}
	for _, s := range a.Attempts {
		fmt.Fprintf(out, "  sent to %s: %s\n", s.Upstream, s.Result)
	}
	if a.Session == nil {
		return
	}
	s := a.Session
	fmt.Fprintf(out, "  session %016x: %d prompt tokens, %d tokens, lineage %d\n", s.Session, s.PromptTokens, s.Tokens, s.Lineage)
	for _, h := range s.Path {
		fmt.Fprintf(out, "    layers %d to %d on %s\n", h.LayerFrom, h.LayerTo, h.Replica)
	}
	for _, l := range s.Lost {
		fmt.Fprintf(out, "    gave up %s: %s\n", l.Replica, l.Reason)
	}
	c := s.Counts
	if c.Replays+c.Rebuilds+c.Imports+c.Dropped > 0 {
		fmt.Fprintf(out, "    %d replays, %d imports, %d rebuilds, %d frames dropped\n", c.Replays, c.Imports, c.Rebuilds, c.Dropped)
	}
}
