// Package quarantine decides which requests must not be sent because they crash the
// engines that run them. Its decisions are free of I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest identifies requests of the same content: those that a caller repeats have the
// same digest, whatever their request IDs.
type Digest string

// digestBytes is the length of a digest. 128 bits rule out accidental collisions.
const digestBytes = 16

// Content is what identifies a request.
type Content struct {
	Host   string
	Method string
	Target string // path and query
	Team   string
	Body   []byte
}

// Digest returns the digest of the content.
func (c Content) Digest() Digest {
	h := sha256.New()
	for _, field := range [][]byte{[]byte(c.Host), []byte(c.Method), []byte(c.Target), []byte(c.Team), c.Body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return Digest(hex.EncodeToString(h.Sum(nil)[:digestBytes]))
}
