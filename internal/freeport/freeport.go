// Package freeport finds addresses for listeners of tests that open later.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports below the range that the kernel gives to outgoing connections: one of those
// would be taken by a connection before its listener opens.
const (
	lowest = 15000
	behind = 32000
	tries  = 100
)

// Address returns a loopback IP:port that nothing listens on.
func Address() (string, error) {
	var err error
	for range tries {
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(behind-lowest)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.Join(errors.New("no free port was found"), err)
}
