// Command pomelocross-gateway runs one gateway instance on a platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pomelocross/pomelocross/gateway"
	"github.com/pomelocross/pomelocross/intake"
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
	intake.LimitHeap(s.MemoryMB)
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

// reload applies changes to the settings while the instance runs: on SIGHUP and when
// the settings file changes.
func reload(ctx context.Context, g *gateway.Gateway, t *telemetry.Telemetry) {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	settings.WatchFile(ctx, os.Getenv(gateway.FileVariable), reloadSignals, func() {
		s, err := gateway.ParseSettings(version, os.Args[1:])
		if err == nil {
			err = t.SetLevel(s.LogLevel)
		}
		if err != nil {
			t.Log.Error("changed settings are invalid; keeping the previous settings", telemetry.Error(err))
			return
		}
		intake.LimitHeap(s.MemoryMB)
		g.Reload(s)
	})
}
