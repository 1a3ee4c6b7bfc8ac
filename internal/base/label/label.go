// Package label checks strings from outside that name something: they go into headers, logs and
// messages, which must not break on them.
package label

import (
	"unicode"
	"unicode/utf8"
)

// MaxBytes is the maximum length of a label.
const MaxBytes = 256

// IsValid reports whether a string may name something: valid UTF-8 of 1 to MaxBytes bytes, without
// control characters, and without a space at its ends.
func IsValid(s string) bool {
	return s != "" && IsText(s) && !unicode.IsSpace(first(s)) && !unicode.IsSpace(last(s))
}

// IsText reports whether a string may stand where a label may be missing: it is printable and of at
// most MaxBytes bytes.
func IsText(s string) bool { return len(s) <= MaxBytes && IsPrintable(s) }

// IsPrintable reports whether a string is valid UTF-8 without control characters.
func IsPrintable(s string) bool {
	if !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if unicode.IsControl(r) || r == '\u2028' || r == '\u2029' {
			return false
		}
	}
	return true
}

func first(s string) rune {
	r, _ := utf8.DecodeRuneInString(s)
	return r
}

func last(s string) rune {
	r, _ := utf8.DecodeLastRuneInString(s)
	return r
}
