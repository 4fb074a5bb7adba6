package freeport

import "testing"

// Two listeners of one gateway could get the same address: its callers' listener then
// failed to open, and the readiness listener answered 503 until the test gave up.
func TestAddressIsReturnedOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		address, err := Address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was returned twice", address)
		}
		seen[address] = true
	}
}

// Suites run as several processes, which took each other's addresses between the
// choice of an address and the start of its listener.
func TestProcessesHaveDifferentIPs(t *testing.T) {
	const maxPID = 1 << 22
	seen := map[string]bool{}
	for pid := 1; pid < maxPID; pid += 251 {
		ip := processIP(pid).String()
		if seen[ip] || ip == "127.0.0.1" {
			t.Fatalf("process %d has %s, like another one", pid, ip)
		}
		seen[ip] = true
	}
}
