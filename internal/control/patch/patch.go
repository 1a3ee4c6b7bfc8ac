// Package patch shrinks a tables document for VMs that hold an earlier one: it
// compresses it with the earlier document as a dictionary.
package patch

import (
	"bytes"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
)

// dictionaryID marks the dictionary in a patch.
const dictionaryID = 1

// maxBytes bounds a document that a patch unfolds to: twice the largest message between
// VMs.
const maxBytes = 32 << 20

// Make returns the patch that turns base into next. Without a base it is next
// compressed.
func Make(base, next []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := zstd.NewWriter(&out, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(window(base, next)), zstd.WithEncoderLevel(zstd.SpeedBetterCompression))
	if err != nil {
		return nil, fmt.Errorf("make patch: %w", err)
	}
	if _, err := w.Write(next); err != nil {
		return nil, fmt.Errorf("make patch: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("make patch: %w", err)
	}
	return out.Bytes(), nil
}

// Apply returns the document that a patch of base stands for.
func Apply(base, patch []byte) ([]byte, error) {
	r, err := zstd.NewReader(bytes.NewReader(patch), zstd.WithDecoderDictRaw(dictionaryID, base),
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBytes))
	if err != nil {
		return nil, fmt.Errorf("apply patch: %w", err)
	}
	defer r.Close()
	next, err := io.ReadAll(r)
	if err != nil {
		return nil, fmt.Errorf("apply patch: %w", err)
	}
	return next, nil
}

// window returns a power of two that spans both documents.
func window(base, next []byte) int {
	size := zstd.MinWindowSize
	for size < len(base)+len(next) && size < zstd.MaxWindowSize {
		size *= 2
	}
	return size
}
