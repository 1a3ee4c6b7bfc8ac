package registry

import (
	"math"
	"strconv"
	"strings"

	"github.com/jasminecove/jasminecove/internal/base/fault"
	"github.com/jasminecove/jasminecove/internal/base/label"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// ErrInvalid reports an announcement with a string or number that no upstream may announce.
const ErrInvalid = fault.Sentinel("registry: the announcement has a field out of range")

// Limits of the numbers of an announcement.
const (
	maxStartedMs = 1 << 43 // In the year 2248.
	maxSequence  = 1 << 63
	maxLayers    = 1 << 16
	maxSlots     = 1 << 20
	maxColdMs    = 24 * 3600 * 1000
	maxRate      = 1e15 // Tokens or bytes a second.
)

// Validate returns ErrInvalid if an announcement from outside must not be used. Whatever it accepts
// can be sent to other VMs and named in headers and logs.
func Validate(a *upstreampb.Announcement) error {
	texts := label.IsText(a.Kind) && label.IsText(a.Version) && label.IsText(a.Accelerator) && label.IsText(a.DataCentre)
	numbers := a.StartedMs < maxStartedMs && a.Sequence <= maxSequence && a.LayerFrom <= a.LayerTo && a.LayerTo <= maxLayers &&
		a.Slots <= maxSlots && a.ColdMs <= maxColdMs && a.Fencing <= math.MaxInt64 && a.CacheTokens <= math.MaxInt64 &&
		isRate(a.TokensPerSecond) && isRate(a.LinkBytesPerSecond)
	if !label.IsValid(a.Id) || !label.IsValid(a.Name) || !texts || !numbers || !isAddress(a.Address) {
		return ErrInvalid
	}
	return nil
}

func isRate(x float64) bool { return x >= 0 && x <= maxRate } // False for NaN.

// isAddress reports whether a string is a host or IP number and a port.
func isAddress(s string) bool {
	colon := strings.LastIndexByte(s, ':')
	if colon <= 0 || !label.IsText(s) || strings.ContainsAny(s, " /") {
		return false
	}
	n, err := strconv.ParseUint(s[colon+1:], 10, 16)
	return err == nil && n > 0
}
