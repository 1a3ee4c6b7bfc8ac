package quarantine

import (
	"hash/fnv"
	"slices"
	"strconv"

	"google.golang.org/protobuf/proto"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/base/recent"
	"github.com/jasminecove/jasminecove/internal/base/rendezvous"
	"github.com/jasminecove/jasminecove/internal/wire/fleetpb"
)

// Limits of what VMs tell each other of keys that only one crash accuses.
const (
	// homeGroups is the number of groups of keys. homesPerGroup VMs unite what all VMs know of those of a group.
	homeGroups    = 4
	homesPerGroup = 2
	// accusationBytesPerSecond bounds what a VM sends on average of accusations.
	accusationBytesPerSecond = 400
	maxAccusationBytes       = 12 << 10
	maxHeard                 = 16384
	maxHeardCrashes          = 2
	// accusationLifetime is how long an accusation is worth sending or being matched.
	accusationLifetime = 30 * clock.Second
	// maxPending is the number of runs whose accusations wait to be sent, the latest ones.
	maxPending = 2048
)

// accusation is the end of an upstream under a run, and those of its keys that no other crash is known to accuse.
type accusation struct {
	crash crash
	at    clock.Time // When the end of the upstream was found.
	keys  []uint32   // Hashes.
}

// heardCrash is a crash that accuses a key.
type heardCrash struct {
	crash
	at clock.Time
}

// accusations holds what is exchanged of keys that only one crash accuses. Each VM tells the homes, which
// send back another crash that they know of. Keys are exchanged as hashes: a collision adds a crash to the record of another
// key.
type accusations struct {
	// urgent accusations are sent before pending ones, those of keys with a run whose upstream was alive after
	// it began to answer. The latest ones are last.
	urgent, pending []accusation
	heard           *recent.Map[uint32, []heardCrash]
	budget          sendBudget
}

func newAccusations() accusations {
	return accusations{heard: recent.New[uint32, []heardCrash](maxHeard), budget: sendBudget{perSecond: accusationBytesPerSecond, burst: maxAccusationBytes}}
}

// add adds an accusation to be sent.
func (a *accusations) add(queue *[]accusation, c accusation) {
	if len(c.keys) == 0 {
		return
	}
	if len(*queue) >= maxPending {
		*queue = slices.Delete(*queue, 0, 1)
	}
	*queue = append(*queue, c)
}

// takeAccusations returns the accusations to be sent to the homes, the latest ones first. What exceeds the limit on
// bytes is returned later.
func (t *Tracker) takeAccusations(now clock.Time) map[string]*fleetpb.PartRecords {
	out := map[string]*fleetpb.PartRecords{}
	if len(t.vms) == 0 {
		return out
	}
	var homes [homeGroups][]string
	for group := range homes {
		order := rendezvous.Rank("home "+strconv.Itoa(group), t.vms)
		homes[group] = order[:min(homesPerGroup, len(order))]
	}
	a := &t.accusations
	for _, queue := range []*[]accusation{&a.urgent, &a.pending} {
		for len(*queue) > 0 {
			last := (*queue)[len(*queue)-1]
			if now.Sub(last.at) > accusationLifetime {
				*queue = nil
				break
			}
			groups, size := last.encode(now)
			if !a.budget.take(now, homesPerGroup*size) {
				return out
			}
			*queue = (*queue)[:len(*queue)-1]
			for group, m := range groups {
				for _, vm := range homes[group] {
					t.sendHome(now, out, vm, m)
				}
			}
		}
	}
	return out
}

// sendHome adds an accusation to those for a home, which may be this VM.
func (t *Tracker) sendHome(now clock.Time, out map[string]*fleetpb.PartRecords, vm string, m *fleetpb.PartAccusation) {
	switch {
	case m == nil:
	case vm == t.self:
		t.HearMatches(now, t.hear(now, m))
	case out[vm] == nil:
		out[vm] = &fleetpb.PartRecords{Accusations: []*fleetpb.PartAccusation{m}}
	default:
		out[vm].Accusations = append(out[vm].Accusations, m)
	}
}

// encode returns a message for each group of keys, or nil without one, and the size of all.
func (a accusation) encode(now clock.Time) (groups [homeGroups]*fleetpb.PartAccusation, size int) {
	for _, k := range a.keys {
		m := groups[k%homeGroups]
		if m == nil {
			m = &fleetpb.PartAccusation{Crash: a.crash.id, Request: a.crash.request, AgeMs: now.Sub(a.at).Uint32()}
			groups[k%homeGroups] = m
		}
		m.Keys = append(m.Keys, k)
	}
	for _, m := range groups {
		if m != nil {
			size += proto.Size(m)
		}
	}
	return groups, size
}

// HearAccusations unites accusations of another VM with what is known, and returns other crashes that accuse the same keys.
func (t *Tracker) HearAccusations(now clock.Time, accusations []*fleetpb.PartAccusation) (matches []*fleetpb.PartAccusation, events []Event) {
	for _, m := range accusations {
		matches = append(matches, t.hear(now, m)...)
	}
	return matches, t.judge(now)
}

// HearMatches adds crashes that another VM knows of to the own records.
func (t *Tracker) HearMatches(now clock.Time, matches []*fleetpb.PartAccusation) []Event {
	for _, m := range matches {
		for _, h := range m.Keys {
			if r := t.byHash[h]; r != nil {
				t.addAccusation(now, r, heardOf(now, m))
			}
		}
	}
	return t.judge(now)
}

// hear notes an accusation, and returns other crashes that accuse the same keys.
func (t *Tracker) hear(now clock.Time, m *fleetpb.PartAccusation) (matches []*fleetpb.PartAccusation) {
	c := heardOf(now, m)
	for _, h := range m.Keys {
		if r := t.byHash[h]; r != nil && len(r.crashes) > 0 {
			t.addAccusation(now, r, c)
			continue
		}
		known, _ := t.accusations.heard.Get(h)
		known = slices.DeleteFunc(slices.Clone(known), func(k heardCrash) bool { return now.Sub(k.at) > accusationLifetime })
		for _, k := range known {
			if len(known) >= minCrashes-1 && k.id != c.id {
				matches = append(matches, &fleetpb.PartAccusation{Crash: k.id, Request: k.request, Keys: []uint32{h}, AgeMs: now.Sub(k.at).Uint32()})
			}
		}
		if len(known) < maxHeardCrashes && !slices.ContainsFunc(known, func(k heardCrash) bool { return k.id == c.id }) {
			t.accusations.heard.Set(h, append(known, c))
		}
	}
	return matches
}

func heardOf(now clock.Time, m *fleetpb.PartAccusation) heardCrash {
	return heardCrash{crash{id: m.Crash, request: m.Request}, now.Add(-clock.Duration(m.AgeMs))}
}

// addAccusation adds a crash that another VM knows of to a record, unless a run with the key has survived since.
func (t *Tracker) addAccusation(now clock.Time, r *record, c heardCrash) {
	survivedAt, _ := t.survived.Get(r.key)
	if survivedAt.Add(soundTime) < c.at && t.addCrash(now, r, c.crash) {
		r.changedAt = now
		t.markUnsent(r)
	}
}

// keyHash returns the hash of a key that VMs exchange.
func keyHash(key string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return h.Sum32()
}
