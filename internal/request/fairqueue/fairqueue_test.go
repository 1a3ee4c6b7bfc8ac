package fairqueue_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/request/fairqueue"
	"github.com/jasminecove/jasminecove/internal/testkit/seeded"
)

func ticket(id uint64, org string, weight float64) fairqueue.Ticket {
	return fairqueue.Ticket{ID: id, Organisation: org, Weight: weight, Deadline: 1 << 40}
}

// TestSmallOrganisationShare overloads the queue ten times from one organisation.
// Another one stays below its share and must hardly be refused.
func TestSmallOrganisationShare(t *testing.T) {
	const limit, service = 10, 100
	q := fairqueue.New(limit, 400)
	src := rng.New(1)
	type running struct {
		org string
		end clock.Time
	}
	var busy []running
	got := map[string]int{}
	refused := map[string]int{}
	id := uint64(0)
	offer := func(now clock.Time, org string) {
		id++
		switch d := q.Offer(now, ticket(id, org, 1)); d.Verdict {
		case fairqueue.Admitted:
			busy = append(busy, running{org, now + service})
		case fairqueue.Refused, fairqueue.RefusedDeadline:
			refused[org]++
			assert.Assert(t, d.RetryAfter > 0)
		}
	}
	for now := clock.Time(0); now < 20_000; now++ {
		var still []running
		for _, b := range busy {
			if b.end > now {
				still = append(still, b)
				continue
			}
			got[b.org]++
			for _, d := range q.Done(now, b.org, service) {
				if d.Verdict == fairqueue.Admitted {
					still = append(still, running{d.Ticket.Organisation, now + service})
				}
			}
		}
		busy = still
		offer(now, "large")
		if src.Float64() < 0.04 {
			offer(now, "small")
		}
	}
	assert.Assert(t, refused["small"] < 10, "refused %d of the small organisation", refused["small"])
	assert.Assert(t, got["small"] > 700, "small got %d", got["small"])
	assert.Assert(t, got["small"]+got["large"] > 1900, "slots were left idle: %v", got)
}

func TestWeights(t *testing.T) {
	q := fairqueue.New(1, 1<<30)
	q.Offer(0, ticket(0, "start", 1))
	for i := range uint64(400) {
		q.Offer(0, ticket(i, "a", 3))
		q.Offer(0, ticket(i, "b", 1))
	}
	got := map[string]int{}
	org := "start"
	for now := clock.Time(1); now < 201; now++ {
		ds := q.Done(now, org, 1)
		org = ds[0].Ticket.Organisation
		got[org]++
	}
	assert.Assert(t, got["a"] >= 148 && got["a"] <= 152, "%v", got)
}

func TestDeadlineTooShort(t *testing.T) {
	q := fairqueue.New(1, 10_000)
	q.Offer(0, ticket(1, "a", 1))
	late := ticket(2, "a", 1)
	late.Deadline = 10
	d := q.Offer(0, late)
	assert.Equal(t, d.Verdict, fairqueue.RefusedDeadline)
}

// TestSlotAccounting checks with random operations that the slots in use match the
// running requests and stay within the limit, and that no ticket gets two final decisions.
func TestSlotAccounting(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		q := fairqueue.New(limit, 100)
		state := map[uint64]string{}
		var running []fairqueue.Ticket
		decide := func(d fairqueue.Decision) {
			assert.Assert(t, state[d.Ticket.ID] == "queued" || state[d.Ticket.ID] == "", "ticket got a second decision")
			if d.Verdict == fairqueue.Admitted {
				state[d.Ticket.ID] = "running"
				running = append(running, d.Ticket)
				return
			}
			state[d.Ticket.ID] = "refused"
		}
		now := clock.Time(0)
		for id := uint64(1); id < 200; id++ {
			now += clock.Time(rapid.IntRange(0, 20).Draw(t, "step"))
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				tk := ticket(id, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "org"), 1)
				tk.Deadline = now + clock.Time(rapid.IntRange(1, 300).Draw(t, "deadline"))
				if d := q.Offer(now, tk); d.Verdict != fairqueue.Queued {
					decide(d)
				} else {
					state[id] = "queued"
				}
			case 2:
				for _, d := range q.Expire(now) {
					decide(d)
				}
			case 3:
				if len(running) == 0 {
					continue
				}
				r := running[0]
				running = running[1:]
				for _, d := range q.Done(now, r.Organisation, 30) {
					decide(d)
				}
			}
			assert.Assert(t, q.InFlight() == len(running) && len(running) <= limit)
		}
	})
}
