package quarantine

import (
	"cmp"
	"slices"
)

// suspects holds the records with enough crashes for a quarantine. Whether one of them is guilty depends on those
// that it shares crashes with, directly or by others.
type suspects struct {
	byCrash  map[uint64][]*record
	unjudged map[*record]bool // Records of which something has changed.
}

func newSuspects() suspects {
	return suspects{byCrash: map[uint64][]*record{}, unjudged: map[*record]bool{}}
}

// add adds a record, or a crash of one.
func (s *suspects) add(r *record) {
	if len(r.crashes) < minCrashes {
		return
	}
	for _, c := range r.crashes {
		if !slices.Contains(s.byCrash[c.id], r) {
			s.byCrash[c.id] = append(s.byCrash[c.id], r)
		}
	}
	s.unjudged[r] = true
}

// remove removes some crashes of a record. The other suspects of these crashes are judged again.
func (s *suspects) remove(r *record, crashes []crash) {
	for _, c := range crashes {
		left := slices.DeleteFunc(s.byCrash[c.id], func(o *record) bool { return o == r })
		if len(left) == 0 {
			delete(s.byCrash, c.id)
			continue
		}
		s.byCrash[c.id] = left
		for _, o := range left {
			s.unjudged[o] = true
		}
	}
}

// changed has a record judged again if it is a suspect.
func (s *suspects) changed(r *record) {
	if len(r.crashes) >= minCrashes {
		s.unjudged[r] = true
	}
}

// takeUnjudged returns the groups of suspects that are to be judged. Suspects of different groups have no crash in
// common.
func (s *suspects) takeUnjudged() (groups [][]*record) {
	seen, visited := map[*record]bool{}, map[uint64]bool{}
	for r := range s.unjudged {
		if seen[r] || len(r.crashes) < minCrashes {
			continue
		}
		seen[r] = true
		group := []*record{r}
		for i := 0; i < len(group); i++ {
			for _, c := range group[i].crashes {
				if visited[c.id] {
					continue
				}
				visited[c.id] = true
				for _, o := range s.byCrash[c.id] {
					if !seen[o] {
						seen[o] = true
						group = append(group, o)
					}
				}
			}
		}
		slices.SortFunc(group, func(a, b *record) int { return cmp.Compare(a.key, b.key) })
		groups = append(groups, group)
	}
	clear(s.unjudged)
	slices.SortFunc(groups, func(a, b []*record) int { return cmp.Compare(a[0].key, b[0].key) })
	return groups
}

// isExplained reports whether another key in quarantine explains a crash.
func (s *suspects) isExplained(c crash, r *record) bool {
	return slices.ContainsFunc(s.byCrash[c.id], func(o *record) bool { return o != r && o.guilty })
}
