package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"github.com/pkg/errors"

	"github.com/bluebellsail/bluebellsail/internal/pb"
)

// Fingerprint is a hash of a request's content. Requests of one client account with the same
// fingerprint are the same request, whatever their IDs, deadlines and headers.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. The length of each part is hashed too, so
// that different divisions of the same bytes have different fingerprints.
func FingerprintOf(account, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	for _, text := range []string{account, host, target} {
		writeLength(h, len(text))
		_, _ = io.WriteString(h, text)
	}
	writeLength(h, len(body))
	_, _ = h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

func writeLength(h hash.Hash, n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	_, _ = h.Write(length[:])
}

// String returns the fingerprint in hexadecimal, as logs and operators use it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IDFromProto returns the ID of the request in a message. ok is false if the message has no valid
// ID.
func IDFromProto(msg *pb.Suspect) (id ID, ok bool) {
	id.Account = msg.GetAccount()
	ok = len(msg.GetFingerprint()) == len(id.Fingerprint)
	copy(id.Fingerprint[:], msg.GetFingerprint())
	if id.Fingerprint.isPart() {
		id.Account = ""
	}
	return id, ok
}

// RequestFromProto returns the request in a message, without parts that are not valid. Its ID is empty if the
// message has no valid one.
func RequestFromProto(msg *pb.AdmitSuspectRequest) Request {
	var r Request
	if f := msg.GetFingerprint(); len(f) == len(Fingerprint{}) {
		r.ID = ID{Account: msg.GetAccount(), Fingerprint: Fingerprint(f)}
	}
	for _, f := range msg.GetParts() {
		if len(f) == len(Fingerprint{}) {
			r.Parts = append(r.Parts, Fingerprint(f))
		}
	}
	return r
}

// ParseFingerprint parses the result of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(f) {
		return f, errors.Errorf("%q is not a fingerprint of %d bytes in hexadecimal", text, len(f))
	}
	copy(f[:], b)
	return f, nil
}

// ID identifies a request or a part of prompts in the fleet. The account is kept beside the hash, so that the
// number of requests remembered can be limited per account; it is empty for a part.
type ID struct {
	Account     string
	Fingerprint Fingerprint
}
