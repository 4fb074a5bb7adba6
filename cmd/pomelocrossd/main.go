// Command pomelocrossd runs one entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"

	"github.com/pomelocross/pomelocross/instance"
	"github.com/pomelocross/pomelocross/intake"
	"github.com/pomelocross/pomelocross/settings"
	"github.com/pomelocross/pomelocross/telemetry"
)

const version = "0.1.0"

// gcPercent trades memory, of which an instance has more than it needs, for CPU time:
// the heap may grow to three times the live heap between collections. The environment
// variable GOGC takes precedence.
const gcPercent = 200

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pomelocrossd:", err)
		os.Exit(1)
	}
}

func run() error {
	s, err := settings.Parse(version, os.Args[1:])
	if err != nil {
		return err
	}
	if s.Check {
		s.Print(os.Stdout)
		return nil
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	intake.LimitHeap(s.MemoryMB)
	t, err := telemetry.Start(telemetry.Options{Service: "pomelocrossd", Instance: s.Name, LogLevel: s.LogLevel, TraceFile: s.TraceFile})
	if err != nil {
		return err
	}
	defer t.Close()
	i, err := instance.New(s, t, clockwork.NewRealClock())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		i.Abort()
	}()
	return i.Run(ctx)
}
