package demand

import "github.com/jasminecove/jasminecove/internal/base/clock"

const (
	// maxSteps is the number of steps of a level, and riseInterval the time between two of them
	// while a shortage lasts. The highest is reached within the second or less in which callers need an
	// answer.
	maxSteps     = 4
	riseInterval = 250 * clock.Millisecond
	// holdTime is how long a level stays after the last demand. It exceeds the interval at which data
	// centres exchange their sums, so that a gap between two sums does not end a shortage.
	holdTime = 1200 * clock.Millisecond
	// fallInterval is the time between two steps down. Levels fall slower than they rise, so that a load
	// that swings within a second keeps its level.
	fallInterval = 500 * clock.Millisecond
)

// level says how much the requests of one rank lack, and for how long, in steps.
type level struct {
	steps   int
	changed clock.Time // When steps last changed.
	needed  clock.Time // When so many steps were last wanted.
	rising  clock.Time // Since when more steps are wanted; 0 if they are not.
}

// update moves the level towards the number of steps that the present demand calls for.
func (l *level) update(now clock.Time, want int) {
	if want <= l.steps {
		l.rising = 0
	}
	if want >= l.steps {
		l.needed = now
	}
	switch {
	case want < l.steps:
		for l.steps > want {
			next := max(l.needed.Add(holdTime), l.changed.Add(fallInterval))
			if now < next {
				return
			}
			l.steps--
			l.changed = next
		}
	case want > l.steps && l.steps == 0:
		l.steps, l.changed, l.rising = 1, now, now
	case want > l.steps && l.rising == 0:
		l.rising = now
	case want > l.steps && now.Sub(max(l.rising, l.changed)) >= riseInterval:
		l.steps++
		l.changed = now
	}
}

// highestFor returns how long the level has been the highest one, or 0 if it is not.
func (l *level) highestFor(now clock.Time) clock.Duration {
	if l.steps < maxSteps {
		return 0
	}
	return now.Sub(l.changed)
}

// share returns the level as a share of the highest one.
func (l *level) share() float64 { return float64(l.steps) / maxSteps }
