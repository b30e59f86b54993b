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

// Fingerprint is a hash of what a request asks. Requests of one client account with the
// same fingerprint are the same request, whatever their ids, deadlines and headers are.
type Fingerprint [16]byte

// FingerprintOf hashes a request. Its parts are told apart by their lengths.
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

// String is the fingerprint as logs and operators have it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// IDFromProto is the request that a message is of; ok is false if it names none.
func IDFromProto(told *pb.Suspect) (id ID, ok bool) {
	id.Account = told.GetAccount()
	ok = len(told.GetFingerprint()) == len(id.Fingerprint)
	copy(id.Fingerprint[:], told.GetFingerprint())
	return id, ok
}

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	var f Fingerprint
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(f) {
		return f, errors.Errorf("%q is not a fingerprint of %d bytes in hexadecimal", text, len(f))
	}
	copy(f[:], b)
	return f, nil
}

// ID names a request in the fleet. The account stands beside the hash, so that each
// account has a part of the memory of its own.
type ID struct {
	Account     string
	Fingerprint Fingerprint
}
