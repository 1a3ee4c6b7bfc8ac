package framing

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"
)

// appendDelimited appends the size of m as a varint, then m. size must be the result of
// proto.Size, which caches it.
func appendDelimited(buf []byte, m proto.Message, size int) ([]byte, error) {
	buf = binary.AppendUvarint(buf, uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
}
