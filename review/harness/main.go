//go:build review

// Command harness runs one case of the review: it starts gateways as the deploy file says,
// with stand-ins of engines, clients and the platform around them, and checks one rule from
// what the stand-ins saw. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// timeLimit bounds a case; the processes that it started are ended then.
	timeLimit = 115 * time.Second
)

// cases holds the function of each case by name. It returns the breaches that it found.
var cases = map[string]func(d *deployment, trouble bool) []string{
	"late-refusal":   lateRefusal,
	"late-rejection": lateRejection,
	"new-route":      newRoute,
	"failing-item":   failingItem,
	"stop-early":     stopEarly,
}

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

func main() {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder for record.txt")
	keep := flag.String("logs", "", "folder in which the logs of the gateways are kept; empty to drop them")
	flag.Parse()
	os.Exit(run(*name, *folder, *keep))
}

func run(name, folder, logs string) (code int) {
	play, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	work := logs
	if work == "" {
		if work, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		defer os.RemoveAll(work)
	}
	d := &deployment{rec: &record{file: file, start: time.Now()}, folder: work}
	trouble := os.Getenv("TROUBLE") != "0"
	d.rec.logf("case %s, with the disruption: %v", name, trouble)
	done := make(chan int, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				d.rec.logf("the case could not run: %v", p)
				fmt.Fprintln(os.Stderr, "the case could not run:", p)
				done <- exitNotRun
			}
		}()
		breaches := play(d, trouble)
		for _, b := range breaches {
			d.rec.logf("BROKEN: %s", b)
		}
		d.rec.logf("breaches: %d", len(breaches))
		fmt.Printf("%s: %d breaches\n", name, len(breaches))
		if len(breaches) > 0 {
			done <- exitBroken
			return
		}
		done <- exitHeld
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case code = <-done:
	case <-stopped:
		code = exitNotRun
	case <-time.After(timeLimit):
		d.rec.logf("the case took too long")
		code = exitNotRun
	}
	d.stopAll()
	return code
}
