// Package patch compresses a tables document for VMs that have an earlier revision.
// It uses the earlier document as the compression dictionary.
package patch

import (
	"bytes"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
)

// dictionaryID identifies the dictionary in the header of a patch.
const dictionaryID = 1

// maxDocumentBytes bounds the decompressed size of a patch. It is twice the size of the
// largest message between VMs.
const maxDocumentBytes = 32 << 20

// Make returns the patch that turns base into next. If base is empty, the patch is
// the compressed next document.
func Make(base, next []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := zstd.NewWriter(&out, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(windowSize(base, next)), zstd.WithEncoderLevel(zstd.SpeedBetterCompression))
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

// Apply returns the document that results from applying a patch to base.
func Apply(base, patch []byte) ([]byte, error) {
	r, err := zstd.NewReader(bytes.NewReader(patch), zstd.WithDecoderDictRaw(dictionaryID, base),
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentBytes))
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

// windowSize returns the smallest power of two that covers both documents, within the
// limits of zstd.
func windowSize(base, next []byte) int {
	size := zstd.MinWindowSize
	for size < len(base)+len(next) && size < zstd.MaxWindowSize {
		size *= 2
	}
	return size
}
