package catalog

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyDigest returns the digest by which the catalog lists a key of a workspace.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
