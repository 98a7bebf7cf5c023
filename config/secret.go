package config

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
)

// SecretHash is a salted hash of a key or token. The secrets are random and
// 32 bytes long, so one round of SHA-256 resists guessing.
type SecretHash struct {
	ID   string `json:"id" yaml:"id"`
	Salt string `json:"salt" yaml:"salt"`
	Hash string `json:"hash" yaml:"hash"`
}

// secretBytes is the length of a generated secret before hex encoding.
const secretBytes = 32

// NewSecret makes a secret "<prefix>_<id>_<hex>" and its hash.
func NewSecret(prefix, id string) (string, SecretHash) {
	secret := prefix + "_" + id + "_" + RandomHex(secretBytes)
	return secret, HashSecret(id, secret)
}

// HashSecret returns the salted hash of a secret.
func HashSecret(id, secret string) SecretHash {
	salt := RandomHex(16)
	return SecretHash{ID: id, Salt: salt, Hash: digest(salt, secret)}
}

// Matches reports whether secret is the one that was hashed, in constant time.
func (s SecretHash) Matches(secret string) bool {
	want := []byte(s.Hash)
	got := []byte(digest(s.Salt, secret))
	return subtle.ConstantTimeCompare(want, got) == 1
}

// SecretID returns the id in a secret of the form that NewSecret makes.
func SecretID(secret string) string {
	parts := strings.Split(secret, "_")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// RandomHex returns n random bytes in hex.
func RandomHex(n int) string {
	b := make([]byte, n)
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func digest(salt, secret string) string {
	sum := sha256.Sum256([]byte(salt + ":" + secret))
	return hex.EncodeToString(sum[:])
}
