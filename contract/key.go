package contract

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"regexp"
	"strings"

	"github.com/samber/oops"
)

const (
	keyPrefix   = "pmx_"
	saltBytes   = 16
	secretBytes = 24
)

// MaxKeyID bounds the length of a key's identifier.
const MaxKeyID = 32

var keyIDPattern = regexp.MustCompile(`^[a-zA-Z0-9]{1,32}$`)

// ValidKeyID reports whether a key may have the identifier.
func ValidKeyID(id string) bool { return keyIDPattern.MatchString(id) }

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{32}:[0-9a-f]{64}$`)

// SplitKey parses "pmx_ID_SECRET" as callers present it.
func SplitKey(presented string) (id, secret string, ok bool) {
	rest, found := strings.CutPrefix(presented, keyPrefix)
	if !found {
		return "", "", false
	}
	id, secret, found = strings.Cut(rest, "_")
	return id, secret, found && ValidKeyID(id) && secret != ""
}

// NewKey makes a random key for id. It returns the text given to the caller and
// the hash declared in a bundle; the text is not kept anywhere.
func NewKey(id string) (presented, hash string, err error) {
	secret := make([]byte, secretBytes)
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", "", oops.In("contract").Wrapf(err, "read random secret")
	}
	if _, err := rand.Read(salt); err != nil {
		return "", "", oops.In("contract").Wrapf(err, "read random salt")
	}
	text := hex.EncodeToString(secret)
	return keyPrefix + id + "_" + text, HashSecret(salt, text), nil
}

// HashSecret returns the declared form of a secret: "salt:sha256" in hexadecimal.
func HashSecret(salt []byte, secret string) string {
	sum := sha256.New()
	sum.Write(salt)
	sum.Write([]byte(secret))
	return hex.EncodeToString(salt) + ":" + hex.EncodeToString(sum.Sum(nil))
}

// secretMatches compares in constant time.
func secretMatches(hash, secret string) bool {
	saltText, _, found := strings.Cut(hash, ":")
	if !found {
		return false
	}
	salt, err := hex.DecodeString(saltText)
	if err != nil {
		return false
	}
	return subtle.ConstantTimeCompare([]byte(HashSecret(salt, secret)), []byte(hash)) == 1
}
