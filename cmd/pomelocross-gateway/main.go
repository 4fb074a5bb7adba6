// Command pomelocross-gateway is the daemon of one instance on a platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/pomelocross/pomelocross/gateway"
	"github.com/pomelocross/pomelocross/settings"
	"github.com/pomelocross/pomelocross/telemetry"
)

const version = "0.1.0"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pomelocross-gateway:", err)
		os.Exit(1)
	}
}

func run() error {
	s, err := gateway.ParseSettings(version, os.Args[1:])
	if err != nil {
		return err
	}
	if s.Check {
		settings.Print(os.Stdout, s)
		return nil
	}
	limitMemory(s.MemoryMB)
	t, err := telemetry.Start(telemetry.Options{Service: "pomelocross-gateway", Instance: s.Name, LogLevel: s.LogLevel})
	if err != nil {
		return err
	}
	defer t.Close()
	g, err := gateway.New(s, t)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	go reload(ctx, g, t)
	return g.Run(ctx)
}

// heapPart of heapWhole of the memory is what the collector aims at; the rest is
// for stacks, buffers of the kernel and what is freed late.
const (
	heapPart  = 6
	heapWhole = 10
)

func limitMemory(mb int) {
	if mb > 0 {
		debug.SetMemoryLimit(int64(mb) << 20 * heapPart / heapWhole)
	}
}

// reload takes over settings that change while the instance runs.
func reload(ctx context.Context, g *gateway.Gateway, t *telemetry.Telemetry) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	settings.WatchFile(ctx, os.Getenv(gateway.FileVariable), hangups, func() {
		s, err := gateway.ParseSettings(version, os.Args[1:])
		if err == nil {
			err = t.SetLevel(s.LogLevel)
		}
		if err != nil {
			t.Log.Error("changed settings have faults; those before stay in force", telemetry.Error(err))
			return
		}
		limitMemory(s.MemoryMB)
		g.Reload(s)
	})
}
