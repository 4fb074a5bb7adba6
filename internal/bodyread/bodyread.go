// Package bodyread reads bodies of unknown size without copying them again and again.
package bodyread

import (
	"errors"
	"io"
)

// ErrTooLarge means that a body to be discarded exceeds its limit.
var ErrTooLarge = errors.New("the body is too large")

// minReadBytes and maxReadBytes limit the parts in which a body is read. They grow with the body.
const (
	minReadBytes = 4 << 10
	maxReadBytes = 256 << 10
)

// All reads a body to its end, but not more than limit+1 bytes. Before it allocates memory, it
// calls resize with the number of bytes that it will hold, and returns its error. The parts are
// kept until they are joined.
func All(body io.Reader, limit int, resize func(bytes int) error) ([]byte, error) {
	body = io.LimitReader(body, int64(limit)+1)
	var parts [][]byte
	total, size := 0, minReadBytes
	for {
		if err := resize(total + size); err != nil {
			return nil, err
		}
		part, err := readPart(body, size)
		parts, total = append(parts, part), total+len(part)
		switch {
		case err == io.EOF:
			return join(parts, total), nil
		case err != nil:
			return nil, err
		}
		size = min(2*size, maxReadBytes)
	}
}

// Discard reads a body to its end and drops it. It returns an error if the body is truncated or has
// limit bytes or more.
func Discard(body io.Reader, limit int64) error {
	_, err := io.CopyN(io.Discard, body, limit)
	switch err {
	case io.EOF:
		return nil
	case nil:
		return ErrTooLarge
	}
	return err
}

// readPart reads size bytes, or up to an error. Unlike io.ReadFull, it returns io.EOF at the end
// of the body only: a body that was cut must not look complete.
func readPart(body io.Reader, size int) ([]byte, error) {
	part := make([]byte, size)
	n := 0
	for n < size {
		read, err := body.Read(part[n:])
		n += read
		if err != nil {
			return part[:n], err
		}
	}
	return part, nil
}

func join(parts [][]byte, total int) []byte {
	if len(parts) == 1 {
		return parts[0]
	}
	joined := make([]byte, 0, total)
	for _, part := range parts {
		joined = append(joined, part...)
	}
	return joined
}
