package framing_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/wire/framing"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

func TestRoundTrip(t *testing.T) {
	var buf bytes.Buffer
	w := framing.NewWriter(&buf)
	for i := range uint32(3) {
		assert.NilError(t, w.Write(&upstreampb.StageFrame{Session: 9, Position: i}))
	}
	r := framing.NewReader(&buf)
	for i := range uint32(3) {
		var f upstreampb.StageFrame
		assert.NilError(t, r.Read(&f))
		assert.Equal(t, f.Position, i)
	}
	assert.Assert(t, errors.Is(r.Read(&upstreampb.StageFrame{}), io.EOF))
}

func TestWriteTooLarge(t *testing.T) {
	w := framing.NewWriter(io.Discard)
	err := w.Write(&upstreampb.StageFrame{Payload: make([]byte, framing.MaxMessageBytes)})
	var large *framing.TooLargeError
	assert.Assert(t, errors.As(err, &large))
}

// FuzzRead checks that arbitrary input is either rejected or decoded to messages that can
// be encoded again.
func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	_ = framing.NewWriter(&buf).Write(&upstreampb.StageBatch{Frames: []*upstreampb.StageFrame{{Session: 1, Payload: []byte("x")}}})
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		r := framing.NewReader(bytes.NewReader(data))
		for {
			var m upstreampb.StageBatch
			if err := r.Read(&m); err != nil {
				return
			}
			_, err := proto.Marshal(&m)
			assert.NilError(t, err)
		}
	})
}
