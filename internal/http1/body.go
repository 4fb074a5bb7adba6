package http1

import (
	"bytes"
	"math"
	"strconv"
)

// bodyScanner finds the end of a message's body.
type bodyScanner struct {
	left    int64 // bytes of the body, or of the chunk, that are still to come
	chunked bool
	part    chunkPart
	line    []byte // start of a line of a chunked body, from earlier calls of scan
	begun   bool   // at least one byte of the body was scanned
	whole   bool
}

// chunkPart is the part of a chunked body that comes next.
type chunkPart int

const (
	chunkSize    chunkPart = iota // the line with the size of a chunk
	chunkData                     // the data of a chunk
	chunkDataEnd                  // the end of the line after the data
	chunkTrailer                  // the fields after the last chunk
)

// untilClose is the length of a body that ends with its connection.
const untilClose = math.MaxInt64

// maxChunkLineBytes limits the lines of a chunked body.
const maxChunkLineBytes = 4 << 10

func sizedBody(length int64) bodyScanner { return bodyScanner{left: length, whole: length == 0} }

func chunkedBody() bodyScanner { return bodyScanner{chunked: true} }

// scan returns the number of bytes of p that belong to the body.
func (b *bodyScanner) scan(p []byte) (int, error) {
	n := 0
	for n < len(p) && !b.whole {
		b.begun = true
		if !b.chunked || b.part == chunkData {
			n += b.skipData(p[n:])
			continue
		}
		used, err := b.scanLine(p[n:])
		if err != nil {
			return n, err
		}
		n += used
	}
	return n, nil
}

// skipData returns the number of bytes of p that are data.
func (b *bodyScanner) skipData(p []byte) int {
	if b.left == untilClose {
		return len(p)
	}
	n := min(int64(len(p)), b.left)
	b.left -= n
	if b.left == 0 {
		b.part, b.whole = chunkDataEnd, !b.chunked
	}
	return int(n)
}

// scanLine returns the number of bytes of p up to the end of a line of a chunked body.
func (b *bodyScanner) scanLine(p []byte) (int, error) {
	used := bytes.IndexByte(p, '\n') + 1
	if used == 0 {
		b.line = append(b.line, p...)
		return len(p), checkChunkLine(b.line)
	}
	line := p[:used]
	if len(b.line) > 0 {
		line = append(b.line, line...)
		b.line = line[:0]
	}
	if err := checkChunkLine(line); err != nil {
		return 0, err
	}
	text, ended := bytes.CutSuffix(line, []byte("\r\n"))
	if !ended || bytes.IndexByte(text, '\r') >= 0 {
		return 0, invalid("a line of a chunked body does not end with CRLF")
	}
	return used, b.addLine(text)
}

func checkChunkLine(line []byte) error {
	if len(line) > maxChunkLineBytes {
		return invalid("a line of a chunked body is longer than %d bytes", maxChunkLineBytes)
	}
	return nil
}

// addLine interprets a line of a chunked body.
func (b *bodyScanner) addLine(line []byte) error {
	switch b.part {
	case chunkSize:
		size, err := parseChunkSize(line)
		if err != nil {
			return err
		}
		b.left, b.part = size, chunkData
		if size == 0 {
			b.part = chunkTrailer
		}
	case chunkDataEnd:
		if len(line) > 0 {
			return invalid("a chunk is longer than its size")
		}
		b.part = chunkSize
	case chunkTrailer:
		return b.addTrailer(line)
	}
	return nil
}

// addTrailer validates a line after the last chunk. Trailer fields are not used.
func (b *bodyScanner) addTrailer(line []byte) error {
	if len(line) == 0 {
		b.whole = true
		return nil
	}
	_, _, err := parseField(line)
	return err
}

// maxChunkSizeBits limits the size of a chunk.
const maxChunkSizeBits = 48

// parseChunkSize parses the line before a chunk, whose extensions are ignored.
func parseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, maxChunkSizeBits)
	if err != nil {
		return 0, invalid("%.40q is not a chunk size", digits)
	}
	return int64(size), nil
}
