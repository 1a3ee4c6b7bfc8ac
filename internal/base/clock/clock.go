// Package clock provides time types in milliseconds. Code that makes decisions takes a Time
// as an argument; only the code that calls it reads a Clock.
package clock

import (
	"fmt"
	"math"
	"strconv"
	"sync/atomic"
	"time"
)

// Time is an instant in milliseconds since the Unix epoch.
type Time int64

// Add returns the instant d after t.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// Std returns t as a time.Time in UTC.
func (t Time) Std() time.Time { return time.UnixMilli(int64(t)).UTC() }

// Duration is a length of time in milliseconds.
type Duration int64

// Common durations.
const (
	Millisecond Duration = 1
	Second      Duration = 1000 * Millisecond
	Minute      Duration = 60 * Second
	Hour        Duration = 60 * Minute
)

// FromMillis returns a number of milliseconds as a Duration. A number out of range gives the
// shortest or the longest one, and NaN gives 0.
func FromMillis(ms float64) Duration {
	switch {
	case ms >= math.MaxInt64:
		return math.MaxInt64
	case ms <= math.MinInt64:
		return math.MinInt64
	case math.IsNaN(ms):
		return 0
	}
	return Duration(ms)
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// Uint32 returns d for a field of 32 bits: 0 if d is negative, and the largest number if d exceeds it,
// which is 49.7 days.
func (d Duration) Uint32() uint32 { return uint32(min(max(0, d), math.MaxUint32)) }

// String formats d as in settings files, for example "250ms".
func (d Duration) String() string { return d.Std().String() }

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a duration with a unit, for example "3s" or "250ms". A number without
// a unit is rejected as ambiguous.
func (d *Duration) UnmarshalText(text []byte) error {
	std, err := time.ParseDuration(string(text))
	if err != nil {
		return &ParseError{Text: string(text)}
	}
	*d = FromStd(std)
	return nil
}

// MarshalJSON writes d as a number of milliseconds, for keys that end in Ms.
func (d Duration) MarshalJSON() ([]byte, error) {
	return strconv.AppendInt(nil, int64(d), 10), nil
}

// UnmarshalJSON reads a number of milliseconds.
func (d *Duration) UnmarshalJSON(data []byte) error {
	n, err := strconv.ParseInt(string(data), 10, 64)
	if err != nil {
		return &ParseError{Text: string(data)}
	}
	*d = Duration(n)
	return nil
}

// FromStd rounds a time.Duration up to whole milliseconds.
func FromStd(d time.Duration) Duration {
	return Duration((d + time.Millisecond - 1) / time.Millisecond)
}

// ParseError reports a text that is not a number with a unit.
type ParseError struct {
	Text string
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%q is not a duration with a unit such as 250ms, 3s or 2m", e.Text)
}

// Clock provides the present time.
type Clock interface {
	Now() Time
}

// System reads the machine's clock. Its time never goes backwards and includes the time
// during which the machine was suspended, so that a lease that expired on other machines
// meanwhile has expired on this one too.
type System struct {
	start Time          // Wall-clock time at creation.
	boot  time.Duration // Reading of the boot clock at creation.
}

// NewSystem returns a clock that starts at the machine's wall-clock time.
func NewSystem() *System {
	return &System{start: Time(time.Now().UnixMilli()), boot: sinceBoot()}
}

// Now implements Clock.
func (c *System) Now() Time {
	return c.start + Time((sinceBoot() - c.boot).Milliseconds())
}

// Manual is a clock for tests that changes only by Advance. It may be used from several
// goroutines at once.
type Manual struct {
	now atomic.Int64
}

// NewManual returns a Manual clock set to now.
func NewManual(now Time) *Manual {
	c := &Manual{}
	c.now.Store(int64(now))
	return c
}

// Now implements Clock.
func (c *Manual) Now() Time { return Time(c.now.Load()) }

// Advance moves the clock forward by d.
func (c *Manual) Advance(d Duration) { c.now.Add(int64(d)) }
