// Package urlpath compares the paths of requests and routes.
package urlpath

import (
	"fmt"
	"strconv"
	"strings"
)

// Normalize returns the form of a path by which paths are compared. Paths that are
// equivalent by RFC 3986, section 6.2.2, have the same form: escapes of unreserved characters
// are decoded, all others are in upper case, and bytes that a path can't hold are escaped. An
// escaped slash stays escaped and separates no segments, and segments "." and ".." stay, since
// upstreams get the path as it was sent.
func Normalize(path string) string {
	if isNormal(path) {
		return path
	}
	var out strings.Builder
	for i := 0; i < len(path); i++ {
		c := path[i]
		if value, ok := unescape(path[i:]); ok {
			c = value
			i += len("%2F") - 1
			if !isUnreserved(c) {
				fmt.Fprintf(&out, "%%%02X", c)
				continue
			}
		}
		if isUnreserved(c) || isDelimiter(c) {
			out.WriteByte(c)
			continue
		}
		fmt.Fprintf(&out, "%%%02X", c)
	}
	return out.String()
}

// isNormal reports whether a path has nothing to normalize.
func isNormal(path string) bool {
	for i := range len(path) {
		if !isUnreserved(path[i]) && !isDelimiter(path[i]) {
			return false
		}
	}
	return true
}

// unescape returns the byte that the escape at the start of text represents, if there is one.
func unescape(text string) (byte, bool) {
	if len(text) < len("%2F") || text[0] != '%' {
		return 0, false
	}
	value, err := strconv.ParseUint(text[1:len("%2F")], 16, 8)
	return byte(value), err == nil
}

func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

// isDelimiter reports whether a byte may stand unescaped in a path though it is reserved.
func isDelimiter(c byte) bool { return strings.IndexByte("/!$&'()*+,;=:@", c) >= 0 }
