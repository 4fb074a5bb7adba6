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

// Format of an API key: keyPrefix, ID, underscore, secret. saltBytes and secretBytes
// are the lengths of the random salt and secret before hexadecimal encoding.
const (
	keyPrefix   = "pmx_"
	saltBytes   = 16
	secretBytes = 24
)

// MaxKeyID is the maximum length of a key ID in characters.
const MaxKeyID = 32

var keyIDPattern = regexp.MustCompile(`^[a-zA-Z0-9]{1,32}$`)

// ValidKeyID reports whether id is a valid key ID: 1 to MaxKeyID ASCII letters and
// digits.
func ValidKeyID(id string) bool { return keyIDPattern.MatchString(id) }

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{32}:[0-9a-f]{64}$`)

// SplitKey splits an API key of the form "pmx_ID_SECRET" into its ID and secret. ok
// is false if the key is malformed.
func SplitKey(credential string) (id, secret string, ok bool) {
	rest, found := strings.CutPrefix(credential, keyPrefix)
	if !found {
		return "", "", false
	}
	id, secret, found = strings.Cut(rest, "_")
	return id, secret, found && ValidKeyID(id) && secret != ""
}

// NewKey generates a random API key with the given ID. It returns the key as callers
// send it and the hash to declare in a bundle. The key itself is not stored.
func NewKey(id string) (credential, hash string, err error) {
	secret := make([]byte, secretBytes)
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(secret); err != nil {
		return "", "", oops.In("contract").Wrapf(err, "read random secret")
	}
	if _, err := rand.Read(salt); err != nil {
		return "", "", oops.In("contract").Wrapf(err, "read random salt")
	}
	secretText := hex.EncodeToString(secret)
	return keyPrefix + id + "_" + secretText, HashSecret(salt, secretText), nil
}

// HashSecret returns the salted hash of a secret as declared in a bundle:
// "salt:sha256", both in hexadecimal. The SHA-256 is that of the salt followed by the
// secret.
func HashSecret(salt []byte, secret string) string {
	digest := sha256.New()
	digest.Write(salt)
	digest.Write([]byte(secret))
	return hex.EncodeToString(salt) + ":" + hex.EncodeToString(digest.Sum(nil))
}

// secretMatches reports whether secret has the given hash. The hashes are compared in
// constant time.
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
