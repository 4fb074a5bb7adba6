//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// cases holds the cases by name.
var cases = map[string]func(*world) verdict{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD, in the root of the repository")
		os.Exit(int(notRun))
	}
	os.Exit(int(play(os.Args[1], os.Args[2])))
}

// play plays a case and ends all its processes.
func play(name, out string) (result verdict) {
	var w *world
	defer func() {
		if w != nil {
			w.close()
		}
	}()
	defer func() {
		if p := recover(); p != nil {
			f, ok := p.(failure)
			if !ok {
				panic(p)
			}
			fmt.Fprintln(os.Stderr, "the case can't run:", f.err)
			result = notRun
		}
	}()
	w = newWorld(out)
	go func() { // ends all processes if the case takes too long or is interrupted
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-interrupted:
		case <-time.After(longest):
		}
		fmt.Fprintln(os.Stderr, "the case was broken off")
		w.close()
		os.Exit(int(notRun))
	}()
	result = cases[name](w)
	w.say("verdict: %s", [...]string{"the rule held", "the rule was broken", "not run"}[result])
	return result
}
