package stagelink_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jasminecove/jasminecove/internal/base/clock"
	"github.com/jasminecove/jasminecove/internal/testkit/rawserver"
	"github.com/jasminecove/jasminecove/internal/upstream/stagelink"
	"github.com/jasminecove/jasminecove/internal/wire/framing"
	"github.com/jasminecove/jasminecove/internal/wire/upstreampb"
)

// engine starts an engine that answers the request for an upgrade with serve, and returns its address.
func engine(t *testing.T, serve func(c net.Conn)) string {
	t.Helper()
	return rawserver.Start(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			serve(c)
		}
	})
}

// TestMalformedUpgrade guards against frames that are taken from an engine whose response to the upgrade is malformed.
func TestMalformedUpgrade(t *testing.T) {
	var frames bytes.Buffer
	assert.NilError(t, framing.NewWriter(&frames).Write(&upstreampb.StageBatch{Frames: []*upstreampb.StageFrame{{Session: 1}}}))
	const sound = "HTTP/1.1 101 Switching Protocols\r\nUpgrade: jasminecove-stage/1\r\n\r\n"
	for _, head := range []string{
		sound, strings.Replace(sound, "101", "000", 1), strings.Replace(sound, "101", "200", 1), strings.Replace(sound, "Upgrade", "Up grade", 1),
		strings.Replace(sound, "Upgrade", "Upgrade ", 1), strings.Replace(sound, "Upgrade", " Upgrade", 1), strings.Replace(sound, "Upgrade", "Up\x01grade", 1),
		strings.Replace(sound, "Upgrade", "X: 1\nUpgrade", 1), "HTTP/1.1 103 Hints\r\nX Own: 1\r\n\r\n" + sound,
	} {
		t.Run(strconv.Quote(head), func(t *testing.T) {
			address := engine(t, func(c net.Conn) {
				_, _ = io.WriteString(c, head+frames.String())
				_, _ = io.Copy(io.Discard, c)
			})
			mailbox := stagelink.NewMailbox()
			l := stagelink.Open(t.Context(), "e1", address)
			defer l.Close()
			l.Subscribe(1, mailbox)
			select {
			case <-mailbox.Wake():
			case <-time.After(5 * time.Second):
				t.Fatal("no event")
			}
			want := stagelink.LostEvent
			if head == sound {
				want = stagelink.FrameEvent
			}
			assert.Equal(t, mailbox.Take(nil)[0].Kind, want)
		})
	}
}

// TestEndlessUpgrade guards against memory that fills with the head of a response without end.
func TestEndlessUpgrade(t *testing.T) {
	var written atomic.Int64
	closed := make(chan struct{}, 10)
	address := engine(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\n")
		for line := []byte("X-A: " + strings.Repeat("x", 4<<10) + "\r\n"); ; {
			n, err := c.Write(line)
			written.Add(int64(n))
			if err != nil {
				closed <- struct{}{}
				return
			}
		}
	})
	l := stagelink.Open(t.Context(), "e1", address, stagelink.WithRedialTimeout(10*clock.Second))
	defer l.Close()
	select {
	case <-closed:
		// Socket buffers hold some MB that are written and never read.
		assert.Assert(t, written.Load() < 16<<20, "%d MB were read", written.Load()>>20)
	case <-time.After(5 * time.Second):
		t.Fatalf("the connection is still open after %d MB", written.Load()>>20)
	}
}
