package session

// input is the input of one hop for consecutive positions.
type input struct {
	payload []byte
	count   uint32
}

// retention keeps the inputs of each hop, so that a lost stage can be rebuilt by
// replaying them while the other stages keep their caches.
type retention struct {
	hops       [][]input
	bytes      int
	maxBytes   int
	overflowed bool // maxBytes was exceeded; all inputs were discarded.
}

func newRetention(hops, maxBytes int) retention {
	return retention{hops: make([][]input, hops), maxBytes: maxBytes}
}

// add stores the input of a completed hop.
func (r *retention) add(hop int, payload []byte, count uint32) {
	if r.overflowed {
		return
	}
	r.bytes += len(payload)
	if r.bytes > r.maxBytes {
		r.overflowed = true
		r.hops = nil
		return
	}
	r.hops[hop] = append(r.hops[hop], input{payload: payload, count: count})
}

// chunk is the input for consecutive positions to replay in one frame.
type chunk struct {
	position uint32
	count    uint32
	payload  []byte
}

// replay returns the inputs of a hop before position end, joined into chunks. It
// returns false if some of them are not retained.
func (r *retention) replay(hop int, end uint32) ([]chunk, bool) {
	if r.overflowed {
		return nil, false
	}
	var chunks []chunk
	at := uint32(0)
	for _, in := range r.hops[hop] {
		if at >= end {
			break
		}
		n := len(chunks)
		if n == 0 || len(chunks[n-1].payload)+len(in.payload) > replayChunkBytes {
			chunks = append(chunks, chunk{position: at})
			n++
		}
		c := &chunks[n-1]
		c.count += in.count
		c.payload = append(c.payload, in.payload...)
		at += in.count
	}
	return chunks, at == end
}
