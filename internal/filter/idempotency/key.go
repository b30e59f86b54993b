package idempotency

import (
	"crypto/rand"
	"encoding/base32"
	"strconv"
	"strings"
	"time"

	"github.com/bluebellsail/bluebellsail/internal/errkind"
)

// Keys made by hosts contain their time, so that a key that is used after the window is recognized
// as expired without having been remembered.
const (
	madePrefix = "bbs-"
	randBytes  = 15
	maxKey     = 255
	timeBase   = 36
	// clockSkew is the tolerated difference between the wall clocks of two hosts.
	clockSkew = time.Minute
)

// NewKey returns a key for a request that arrived without one.
func NewKey(now time.Time) string {
	var b [randBytes]byte
	_, _ = rand.Read(b[:]) // never fails
	random := base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(b[:])
	return madePrefix + strconv.FormatInt(now.UnixMilli(), timeBase) + "-" + random
}

// checkKey rejects a malformed key, and a key made by a host that is older than the window.
func checkKey(key string, now time.Time, window time.Duration) error {
	if len(key) > maxKey {
		return errkind.New(errkind.BadRequest, "the idempotency key is over %d bytes", maxKey)
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' {
			return errkind.New(errkind.BadRequest, "the idempotency key contains characters other than printable ASCII without spaces")
		}
	}
	made, ok := madeAt(key)
	if ok && now.Sub(made) > window+clockSkew {
		return errkind.New(errkind.KeyExpired, "the idempotency key is older than %v", window)
	}
	return nil
}

func madeAt(key string) (time.Time, bool) {
	rest, ok := strings.CutPrefix(key, madePrefix)
	if !ok {
		return time.Time{}, false
	}
	ms, _, _ := strings.Cut(rest, "-")
	n, err := strconv.ParseInt(ms, timeBase, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(n), true
}
