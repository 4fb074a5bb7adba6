// Command pomelocross is the operators' command line for a deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/pomelocross/pomelocross/operator"
)

const version = "0.1.0"

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	err := operator.Run(ctx, version, os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pomelocross:", err)
	}
	os.Exit(operator.ExitCode(err))
}
