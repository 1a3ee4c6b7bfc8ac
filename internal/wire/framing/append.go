package framing

import (
	"encoding/binary"

	"google.golang.org/protobuf/proto"
)

// appendDelimited appends m with its size in front.
func appendDelimited(buf []byte, m proto.Message, size int) ([]byte, error) {
	buf = binary.AppendUvarint(buf, uint64(size))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
}
