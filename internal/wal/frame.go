package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Each synced batch is one frame: magic, payload length, CRC of the payload, all
// big-endian, then the payload. A batch is synced before the next is written, so only
// the last frame can be torn; a valid frame after an invalid one means that synced
// bytes were damaged.
const (
	frameMagic  = 0xb1be57a1
	frameHeader = 12
	// maxFrameBytes bounds the payload of one frame.
	maxFrameBytes = 256 << 20
)

const (
	recordHardState = 1
	recordEntry     = 2
	recordReset     = 3 // the entries before it are replaced by a leader's snapshot
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errInvalidFrame reports that the bytes don't start with a complete, undamaged frame.
var errInvalidFrame = errors.New("wal: no valid frame")

func encodeFrame(reset bool, hs *pb.HardState, entries []*pb.LogEntry) ([]byte, error) {
	buf := make([]byte, frameHeader, frameHeader+64)
	var err error
	if reset {
		buf = append(buf, recordReset, 0)
	}
	if hs != nil {
		if buf, err = appendRecord(buf, recordHardState, hs); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		if buf, err = appendRecord(buf, recordEntry, e); err != nil {
			return nil, err
		}
	}
	payload := buf[frameHeader:]
	if len(payload) > maxFrameBytes {
		return nil, errors.Errorf("wal: a batch of %d bytes exceeds the limit of %d", len(payload), maxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf[0:], frameMagic)
	binary.BigEndian.PutUint32(buf[4:], uint32(len(payload)))
	binary.BigEndian.PutUint32(buf[8:], crc32.Checksum(payload, castagnoli))
	return buf, nil
}

func appendRecord(buf []byte, kind byte, m proto.Message) ([]byte, error) {
	buf = append(buf, kind)
	buf = binary.AppendUvarint(buf, uint64(proto.Size(m)))
	return proto.MarshalOptions{}.MarshalAppend(buf, m)
}

// framePayload returns the payload of the frame at the start of b.
func framePayload(b []byte) ([]byte, error) {
	if len(b) < frameHeader || binary.BigEndian.Uint32(b) != frameMagic {
		return nil, errInvalidFrame
	}
	n := int(binary.BigEndian.Uint32(b[4:]))
	if n > maxFrameBytes || len(b)-frameHeader < n {
		return nil, errInvalidFrame
	}
	payload := b[frameHeader : frameHeader+n]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(b[8:]) {
		return nil, errInvalidFrame
	}
	return payload, nil
}

// hasFrame reports whether a valid frame starts anywhere in b.
func hasFrame(b []byte) bool {
	magic := binary.BigEndian.AppendUint32(nil, frameMagic)
	for {
		i := bytes.Index(b, magic)
		if i < 0 {
			return false
		}
		if _, err := framePayload(b[i:]); err == nil {
			return true
		}
		b = b[i+1:]
	}
}

// record is one decoded record: exactly one field is set.
type record struct {
	hard  *pb.HardState
	entry *pb.LogEntry
	reset bool
}

func decodeRecords(payload []byte) ([]record, error) {
	var out []record
	for len(payload) > 0 {
		kind := payload[0]
		n, used := binary.Uvarint(payload[1:])
		start := 1 + used
		if used <= 0 || uint64(len(payload)-start) < n {
			return nil, errors.New("wal: invalid record length")
		}
		body := payload[start : start+int(n)]
		payload = payload[start+int(n):]
		r, err := decodeRecord(kind, body)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}

func decodeRecord(kind byte, body []byte) (record, error) {
	switch kind {
	case recordReset:
		return record{reset: true}, nil
	case recordHardState:
		hs := &pb.HardState{}
		return record{hard: hs}, proto.Unmarshal(body, hs)
	case recordEntry:
		e := &pb.LogEntry{}
		return record{entry: e}, proto.Unmarshal(body, e)
	}
	return record{}, errors.Errorf("wal: unknown record kind %d", kind)
}
