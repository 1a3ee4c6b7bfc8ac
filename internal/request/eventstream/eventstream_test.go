package eventstream_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/rng"
	"github.com/jasminecove/jasminecove/internal/request/eventstream"
)

func stream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// TestFeedRandomChunks feeds a stream in chunks of random size.
func TestFeedRandomChunks(t *testing.T) {
	text := stream(1, 50)
	for seed := range uint64(200) {
		src := rng.New(seed)
		var s eventstream.Splitter
		var out []byte
		for rest := text; rest != ""; {
			n := 1 + src.IntN(min(len(rest), 40))
			var err error
			out, err = s.Feed(out, []byte(rest[:n]))
			assert.NilError(t, err, "seed %d", seed)
			assert.Assert(t, len(out) == 0 || strings.HasSuffix(string(out), "\n\n"), "seed %d", seed)
			rest = rest[n:]
		}
		assert.Equal(t, string(out), text, "seed %d", seed)
		assert.Equal(t, s.LastID, int64(50))
		assert.Assert(t, !s.HasPartial())
	}
}

func TestResumeAfterLastEvent(t *testing.T) {
	s := eventstream.ResumeAfter(7)
	out, err := s.Feed(nil, []byte(stream(6, 9)))
	assert.NilError(t, err)
	assert.Equal(t, string(out), stream(8, 9))
	_, err = s.Feed(nil, []byte(stream(11, 11)))
	assert.Equal(t, err, eventstream.ErrOrder)
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte(stream(1, 3)), 5)
	f.Add([]byte("id: 1\r\n\r\n:x\n\nid: 3\n\n"), 2)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = max(0, min(cut, len(data)))
		var s eventstream.Splitter
		out, err := s.Feed(nil, data[:cut])
		if err == nil {
			out, _ = s.Feed(out, data[cut:])
		}
		if len(out) > 0 && out[len(out)-1] != '\n' {
			t.Fatalf("partial event: %q", out)
		}
	})
}
