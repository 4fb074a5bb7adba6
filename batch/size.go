package batch

import (
	"encoding/base64"
	"encoding/json"
	"math"

	"github.com/pomelocross/pomelocross/objects"
)

// Limits on what is stored, in encoded bytes. The encoding can take six times as many bytes as
// the text: each of < > & is escaped, as are quotes, line feeds and control characters.
const (
	// maxValueBytes limits a stored value, which is stored together with the metadata of its
	// object.
	maxValueBytes = objects.MaxValueBytes - 4<<10
	// maxPartBytes, maxChunkBytes and maxProgressBytes limit values of several entries. A
	// part or chunk of a single entry may be larger, up to maxValueBytes.
	maxPartBytes     = 600 << 10
	maxChunkBytes    = 600 << 10
	maxProgressBytes = 600 << 10
)

// entryOverhead is what an entry takes in a stored list beside its own encoding.
const entryOverhead = len(",")

// encodedSize returns the size of a value as it is stored. A value that can't be encoded is
// larger than any limit.
func encodedSize(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		return math.MaxInt32
	}
	return len(encoded)
}

// encodedSize returns the size of the item as it is stored. Its body, which may be large, is not
// encoded for this.
func (i *Item) encodedSize() int {
	if len(i.Body) == 0 {
		return encodedSize(i)
	}
	head := *i
	head.Body = nil
	return encodedSize(&head) + len(`,"body":""`) + base64.StdEncoding.EncodedLen(len(i.Body))
}
