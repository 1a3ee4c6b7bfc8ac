package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/request/quarantine"
)

// newQuarantinedFleet returns a fleet whose VMs know that a part is in quarantine.
func newQuarantinedFleet(vms int, parts ...string) *fleet {
	f := newFleet(1)
	f.trackers, f.names = f.trackers[:vms], f.names[:vms]
	for vm, q := range f.trackers {
		q.SetVMs(f.names[vm], f.names)
	}
	for i := range 3 {
		crash(f.trackers[0], f.now, fmt.Sprint(i), fmt.Sprint(i), parts...)
	}
	f.spread(0)
	return f
}

// spread has all VMs learn what one of them knows.
func (f *fleet) spread(from int) {
	for _, q := range f.trackers {
		q.Merge(f.now, f.names[from], f.trackers[from].All(f.now))
	}
}

// TestTrialsAreFew has a harmful request arrive at each VM all the time, for a day.
func TestTrialsAreFew(t *testing.T) {
	const vms = 9
	f := newQuarantinedFleet(vms, "bad")
	var trials []clock.Duration
	for step := clock.Duration(0); step < 23*clock.Hour; step += 500 * clock.Millisecond {
		f.now = start.Add(step)
		for vm, q := range f.trackers {
			if !f.admits(vm, []string{"bad"}) {
				continue
			}
			trials = append(trials, step)
			id := fmt.Sprint("trial-", len(trials))
			q.RunBroke(f.now, quarantine.Run{RequestID: id, Upstream: id, StartedMs: 1, Keys: []string{"bad"}, Trial: true})
			q.UpstreamEnded(f.now, id)
			f.spread(vm)
		}
		if step%clock.Minute == 0 {
			f.trackers[0].Tick(f.now)
		}
	}
	assert.DeepEqual(t, trials, []clock.Duration{2 * clock.Second, 6 * clock.Second, 606 * clock.Second})
	for _, q := range f.trackers {
		q.Tick(start.Add(25 * clock.Hour))
		assert.Equal(t, len(q.All(f.now)), 0, "a part without crashes is forgotten")
	}
}

// TestTrialsWithoutResultGoOn has callers of all trials leave before anything is known of them.
func TestTrialsWithoutResultGoOn(t *testing.T) {
	f := newQuarantinedFleet(3, "sound")
	trials := 0
	for step := clock.Duration(0); step < 2*clock.Hour; step += clock.Second {
		f.now = start.Add(step)
		for vm := range f.trackers {
			if f.admits(vm, []string{"sound"}) {
				trials++
				f.spread(vm)
			}
		}
	}
	assert.Assert(t, trials >= 10, "%d trials", trials)
}

// TestTrialLiftsQuarantine has sound requests arrive at one of many VMs only.
func TestTrialLiftsQuarantine(t *testing.T) {
	for vm := range 9 {
		f := newQuarantinedFleet(9, "sound")
		sent := 0
		for !f.admits(vm, []string{"sound", fmt.Sprint("own-", sent)}) {
			f.now = f.now.Add(100 * clock.Millisecond)
			sent++
		}
		assert.Assert(t, f.now.Sub(start) >= 2*clock.Second && f.now.Sub(start) <= 7*clock.Second, "VM %d: %s", vm, f.now.Sub(start))
		assert.Assert(t, !f.admits(vm, []string{"sound"}), "a second trial")
		f.trackers[vm].RunSurvived(f.now, []string{"sound"})
		f.spread(vm)
		for other, q := range f.trackers {
			assert.Assert(t, !isBlocked(q, f.now, "sound"), "VM %d", other)
		}
	}
}

// TestTrialThatEndedForAnotherReasonIsFollowedSoon has the upstream of a sound part's first trial end.
func TestTrialThatEndedForAnotherReasonIsFollowedSoon(t *testing.T) {
	f := newQuarantinedFleet(4, "sound")
	var trials []clock.Duration
	for step := clock.Duration(0); step < 9*clock.Second && len(trials) < 2; step += 100 * clock.Millisecond {
		f.now = start.Add(step)
		for vm, q := range f.trackers {
			if len(trials) == 2 || !f.admits(vm, []string{"sound"}) {
				continue
			}
			trials = append(trials, step)
			if len(trials) == 1 {
				q.RunBroke(f.now, quarantine.Run{RequestID: "trial", Upstream: "u", StartedMs: 1, Keys: []string{"sound"}, Trial: true})
				q.UpstreamEnded(f.now, "u")
			} else {
				q.RunSurvived(f.now, []string{"sound"})
			}
			f.spread(vm)
		}
	}
	assert.Equal(t, len(trials), 2, "trials after %v", trials)
	for vm, q := range f.trackers {
		assert.Assert(t, !isBlocked(q, f.now, "sound"), "VM %d", vm)
	}
}

// TestTrialOfSoundPartFindsHarmfulPart has the wrong part of a prompt in quarantine at first.
func TestTrialOfSoundPartFindsHarmfulPart(t *testing.T) {
	q := quarantine.New()
	for i := range 3 {
		crash(q, start, fmt.Sprint(i), fmt.Sprint(i), "sound", "bad", fmt.Sprint("own-", i))
		crash(q, start, fmt.Sprint("other-", i), fmt.Sprint("other-", i), "sound", fmt.Sprint("x-", i))
	}
	assert.Assert(t, isBlocked(q, start, "sound"))
	now := start.Add(3 * clock.Second)
	assert.Assert(t, isBlocked(q, now, "sound", "bad", "own-9"), "a request that may end the upstream for another part")
	b, trial, _ := q.Admit(now, "trial", []string{"sound", "own-10"})
	assert.Assert(t, trial, b)
	q.RunSurvived(now, []string{"sound", "own-10"})
	assert.Assert(t, !isBlocked(q, now, "sound"))
	assert.Assert(t, isBlocked(q, now, "bad"), "the crashes that the sound part explained")
}

// TestTrialWithoutResultIsRepeatedSoon has an upstream refuse a trial, and a caller leave, which other VMs
// learn of.
func TestTrialWithoutResultIsRepeatedSoon(t *testing.T) {
	clk := clock.NewManual(start)
	g, other := quarantine.NewGuard(clk, noLog{}, tally.NoopScope), quarantine.NewGuard(clk, noLog{}, tally.NoopScope)
	for _, id := range []string{"1", "2", "3"} {
		g.RunBroke(quarantine.Run{RequestID: id, Upstream: id, StartedMs: 1, Keys: []string{"p"}})
		g.UpstreamEnded(id)
	}
	starts := func(ids []string) []uint64 { return make([]uint64, len(ids)) }
	for _, end := range []func(*quarantine.WatchedRun){(*quarantine.WatchedRun).Refused, (*quarantine.WatchedRun).Abandoned} {
		clk.Advance(2 * clock.Second)
		w := g.Watch("trial", []string{"p"}, starts)
		_, blocked := w.Admit()
		assert.Assert(t, !blocked)
		run := w.Begin([]string{"u"})
		other.Merge("g", g.All())
		end(run)
		other.Merge("g", g.All())
		b, _ := other.Check([]string{"p"})
		assert.Equal(t, b.Left, 2*clock.Second)
	}
	clk.Advance(2 * clock.Second)
	w := g.Watch("trial", []string{"p"}, starts)
	_, blocked := w.Admit()
	assert.Assert(t, !blocked)
	w.Begin([]string{"u"}).Broke()
	b, _ := g.Check([]string{"p"})
	assert.Assert(t, b.Left > 2*clock.Second)
}

// TestTrialThatIsNotSentRemainsOne also has its run break afterwards.
func TestTrialThatIsNotSentRemainsOne(t *testing.T) {
	clk := clock.NewManual(start)
	g := quarantine.NewGuard(clk, noLog{}, tally.NoopScope)
	for _, id := range []string{"1", "2", "3"} {
		g.RunBroke(quarantine.Run{RequestID: id, Upstream: id, StartedMs: 1, Keys: []string{"p"}})
		g.UpstreamEnded(id)
	}
	clk.Advance(2 * clock.Second)
	w := g.Watch("trial", []string{"p"}, func(ids []string) []uint64 { return make([]uint64, len(ids)) })
	for range 2 {
		_, blocked := w.Admit()
		assert.Assert(t, !blocked)
		w.Begin([]string{"u"}).NotSent()
	}
	_, blocked := w.Check()
	assert.Assert(t, !blocked)
	w.Begin([]string{"u"}).Broke()
	_, blocked = w.Admit()
	assert.Assert(t, blocked, "a second run of a trial")
}

// TestBreakAccusesOnce has a run depend on several upstreams, of which another one ends soon after.
func TestBreakAccusesOnce(t *testing.T) {
	g := quarantine.NewGuard(clock.NewManual(start), noLog{}, tally.NoopScope)
	keys := quarantine.Keys(nil, quarantine.Request{Path: "/sound"}.Fingerprints())
	w := g.Watch("sound", keys, func(ids []string) []uint64 { return make([]uint64, len(ids)) })
	run := w.Begin([]string{"a", "b", "c"})
	run.Broke()
	for _, id := range []string{"a", "b", "c"} {
		g.UpstreamEnded(id)
	}
	assert.Equal(t, g.Crashes(keys), 1)
	w.Begin([]string{"d"}).Broke()
	g.UpstreamEnded("d")
	assert.Equal(t, g.Crashes(keys), 2)
}

type noLog struct{}

func (noLog) Decision(string, string, ...any) {}
