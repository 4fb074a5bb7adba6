// Package freeport finds free addresses for listeners that tests open later.
package freeport

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
)

// Ports are chosen below the kernel's ephemeral range: an outgoing connection
// could take an ephemeral port before the listener opens.
const (
	minPort     = 15000
	portLimit   = 32000
	maxAttempts = 100
)

var (
	mu       sync.Mutex // guards returned
	returned = map[int]bool{}
)

// Address returns a loopback IP:port on which nothing listens. It returns no address
// twice, and no address that Address returns in another process.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	ip := processIP(os.Getpid())
	var err error
	for range maxAttempts {
		port := minPort + rand.IntN(portLimit-minPort)
		if returned[port] {
			continue
		}
		var l net.Listener
		l, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			returned[port] = true
			return l.Addr().String(), l.Close()
		}
	}
	return "", errors.Join(errors.New("no free port found"), err)
}

// processIP returns a loopback address that differs for all process IDs below 1<<22,
// the maximum of the kernel, and from 127.0.0.1.
func processIP(pid int) net.IP {
	const firstBlock = 64 // of the second byte
	return net.IPv4(127, byte(firstBlock+pid>>16&0x3f), byte(pid>>8), byte(pid))
}
