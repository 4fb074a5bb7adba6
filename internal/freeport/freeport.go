// Package freeport finds free addresses for listeners that tests open later.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports are chosen below the kernel's ephemeral range: an outgoing connection
// could take an ephemeral port before the listener opens.
const (
	minPort     = 15000
	portLimit   = 32000
	maxAttempts = 100
)

// Address returns a loopback IP:port on which nothing listens.
func Address() (string, error) {
	var err error
	for range maxAttempts {
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(portLimit-minPort)))
		if err == nil {
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.Join(errors.New("no free port found"), err)
}
