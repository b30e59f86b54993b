package settings

import "crypto/subtle"

// ContainsHash compares with every hash, each in constant time: the time taken must
// not tell how close a guessed key came.
func ContainsHash(hashes []string, hash string) bool {
	found := 0
	for _, h := range hashes {
		found |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	return found == 1
}
