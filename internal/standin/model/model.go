// Package model is a deterministic stand-in for a language model that is split
// into layers. Its output depends on every layer having processed every position
// exactly once and in order, so that an incorrect run yields an incorrect token.
package model

import (
	"encoding/binary"
	"math/bits"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/jasminecove/jasminecove/internal/base/fault"
)

// ErrPayload reports a payload whose size does not match its count of positions.
const ErrPayload = fault.Sentinel("model: payload size does not match the count of positions")

// Sizes of payloads in bytes.
const (
	TokenBytes  = 4 // One token, as input of the first layer.
	HiddenBytes = 8 // The activation of one position between stages, without padding.
)

// vocabulary is the number of distinct tokens.
const vocabulary = 1 << 15

// endModulus is the mean number of tokens until a token ends the answer.
const endModulus = 4096

// Cache is the state that a stage keeps for a session: one value for each of its
// layers. NewCache returns a Cache that holds no position.
type Cache struct {
	Positions uint32
	LayerFrom uint32
	States    []uint64
}

// NewCache returns an empty cache for layers from up to, not including, to.
func NewCache(from, to uint32) *Cache {
	return &Cache{LayerFrom: from, States: make([]uint64, to-from)}
}

// Run processes count positions in the cache's layers and returns the input of
// the next stage, padded to width bytes for each position.
func (c *Cache) Run(payload []byte, count uint32, width int) ([]byte, error) {
	if count == 0 || len(payload)%int(count) != 0 {
		return nil, ErrPayload
	}
	stride := len(payload) / int(count)
	if c.LayerFrom == 0 && stride != TokenBytes || c.LayerFrom > 0 && stride < HiddenBytes {
		return nil, ErrPayload
	}
	out := make([]byte, int(count)*width)
	for i := range int(count) {
		h := c.runPosition(payload[i*stride:])
		binary.LittleEndian.PutUint64(out[i*width:], h)
	}
	return out, nil
}

// runPosition processes one position in the layers and returns its activation.
func (c *Cache) runPosition(in []byte) uint64 {
	var h uint64
	if c.LayerFrom == 0 {
		h = mix(uint64(binary.LittleEndian.Uint32(in)), uint64(c.Positions))
	} else {
		h = binary.LittleEndian.Uint64(in)
	}
	for l := range c.States {
		c.States[l] = mix(c.States[l], h)
		h = mix(h^c.States[l], uint64(c.LayerFrom)+uint64(l)+1)
	}
	c.Positions++
	return h
}

// DecodeToken returns the token in the last layer's output for the last position,
// and whether it ends the answer.
func DecodeToken(payload []byte, count uint32, width int) (token uint32, last bool) {
	h := binary.LittleEndian.Uint64(payload[int(count-1)*width:])
	return uint32(h % vocabulary), h%endModulus == endModulus-1
}

// EncodeToken returns the input of the first layer for a token.
func EncodeToken(token uint32) []byte {
	return binary.LittleEndian.AppendUint32(nil, token)
}

// EncodePrompt tokenizes a prompt, one token for each word, and returns the input
// of the first layer with its count of positions.
func EncodePrompt(prompt string) (input []byte, count uint32) {
	for _, word := range strings.Fields(prompt) {
		token := uint32(xxhash.Sum64String(word) % vocabulary)
		input = binary.LittleEndian.AppendUint32(input, token)
		count++
	}
	if count == 0 {
		return EncodeToken(0), 1
	}
	return input, count
}

// syllables are the parts that the text of a token is made of.
var syllables = []string{"ba", "ce", "di", "fo", "gu", "ha", "je", "ki", "lo", "mu", "na", "pe", "ri", "so", "tu", "ve", "wa", "xi", "yo", "zu", "bra", "cle", "dri", "flo", "gru", "sha", "ste", "tri", "pro", "plu", "qua", "the"}

// TokenText returns the text of a token: one word with a leading space.
func TokenText(token uint32) string {
	n := uint32(len(syllables))
	return " " + syllables[token%n] + syllables[token/n%n] + syllables[token/n/n%n]
}

// ReferenceAnswer returns the tokens with which a model of the given number of
// layers answers a prompt.
func ReferenceAnswer(prompt string, layers uint32, maxTokens int) []uint32 {
	cache := NewCache(0, layers)
	input, count := EncodePrompt(prompt)
	var answer []uint32
	for len(answer) < maxTokens {
		out, err := cache.Run(input, count, HiddenBytes)
		if err != nil {
			return nil
		}
		token, last := DecodeToken(out, count, HiddenBytes)
		answer = append(answer, token)
		if last {
			break
		}
		input, count = EncodeToken(token), 1
	}
	return answer
}

// mix combines a and b into one hash.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x9e3779b97f4a7c15, b^0xd6e8feb86659fd93)
	return hi ^ lo + 0x632be59bd9b4e019
}
