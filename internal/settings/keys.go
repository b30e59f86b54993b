package settings

import "crypto/subtle"

// ContainsHash reports whether hashes contains hash. It compares with every hash, each
// in constant time: the time taken must not reveal how close a guessed key came.
func ContainsHash(hashes []string, hash string) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}
