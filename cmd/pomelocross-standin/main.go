// Command pomelocross-standin simulates the external systems in tests and the demo.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/pomelocross/pomelocross/internal/standin/engine"
	"github.com/pomelocross/pomelocross/internal/standin/platform"
	"github.com/pomelocross/pomelocross/internal/standin/service"
	"github.com/pomelocross/pomelocross/internal/standin/trainer"
	client "github.com/pomelocross/pomelocross/objects"
	"github.com/pomelocross/pomelocross/rollout"
)

type flags struct {
	listen, name, members string
	engine                engine.Options
	addresses, key, run   string
	model                 string
	steps, groups         int
	method, path, body    string
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "pomelocross-standin:", err)
		os.Exit(1)
	}
}

func run() error {
	f := &flags{listen: "127.0.0.1:0", name: "standin", engine: engine.Options{WeightVersion: 1, TokenTime: 2 * time.Millisecond, LoadTime: 300 * time.Millisecond}, steps: 2, groups: 8, method: http.MethodPost}
	parser := flaggy.NewParser("pomelocross-standin")
	parser.Description = "Simulates one external system on the loopback interface."
	parser.Version = "0.1.0"
	commands := f.commands(parser)
	if err := parser.Parse(); err != nil {
		return err
	}
	for command, action := range commands {
		if command.Used {
			return action()
		}
	}
	parser.ShowHelp()
	return fmt.Errorf("a command is required")
}

func (f *flags) commands(parser *flaggy.Parser) map[*flaggy.Subcommand]func() error {
	newServerCommand := func(name, description string) *flaggy.Subcommand {
		c := flaggy.NewSubcommand(name)
		c.Description = description
		c.String(&f.listen, "", "listen", "IP:port to serve on")
		c.String(&f.name, "", "name", "name of this server in its records")
		parser.AttachSubcommand(c, 1)
		return c
	}
	platformCommand := newServerCommand("platform", "the object store, instance list, usage and scaling interfaces")
	platformCommand.String(&f.members, "", "members", "JSON file with the instance list")
	engineCommand := newServerCommand("engine", "a model engine")
	engineCommand.Int64(&f.engine.WeightVersion, "", "weight-version", "weight version at start")
	engineCommand.Duration(&f.engine.TokenTime, "", "token-time", "time between two tokens")
	engineCommand.Bool(&f.engine.Fences, "", "fences", "reject orders with an outdated epoch")
	serviceCommand := newServerCommand("service", "a plain HTTP service")
	trainerCommand := newServerCommand("trainer", "a trainer that runs a number of steps and exits")
	trainerCommand.String(&f.addresses, "", "addresses", "IP:port of entry instances, separated by commas")
	trainerCommand.String(&f.key, "", "key", "key to authenticate with")
	trainerCommand.String(&f.run, "", "run", "name of the run")
	trainerCommand.String(&f.model, "", "model", "model to train")
	trainerCommand.Int(&f.steps, "", "steps", "number of steps")
	trainerCommand.Int(&f.groups, "", "groups", "groups in a step, of 4 samples each")
	callCommand := flaggy.NewSubcommand("call")
	callCommand.Description = "send one request and print the response"
	callCommand.String(&f.addresses, "", "address", "IP:port to call")
	callCommand.String(&f.key, "", "key", "key to authenticate with")
	callCommand.String(&f.method, "", "method", "HTTP method")
	callCommand.String(&f.path, "", "path", "path to call")
	callCommand.String(&f.body, "", "body", "body to send")
	parser.AttachSubcommand(callCommand, 1)
	return map[*flaggy.Subcommand]func() error{
		callCommand:     f.call,
		platformCommand: f.platform,
		engineCommand: func() error {
			f.engine.Name = f.name
			return f.serve(engine.New(f.engine))
		},
		serviceCommand: func() error { return f.serve(service.New(f.name)) },
		trainerCommand: f.train,
	}
}

func (f *flags) serve(handler http.Handler) error {
	server := &http.Server{Addr: f.listen, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	return server.ListenAndServe()
}

func (f *flags) platform() error {
	s := platform.New()
	if f.members != "" {
		data, err := os.ReadFile(f.members)
		if err != nil {
			return err
		}
		var members []client.Member
		if err := json.Unmarshal(data, &members); err != nil {
			return err
		}
		s.SetMembers(members)
	}
	return f.serve(s)
}

// call sends one request and prints the status and body of the response.
func (f *flags) call() error {
	r, err := http.NewRequest(f.method, "http://"+f.addresses+f.path, strings.NewReader(f.body))
	if err != nil {
		return err
	}
	if f.key != "" {
		r.Header.Set("Authorization", "Bearer "+f.key)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Println("status", resp.StatusCode)
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		return err
	}
	fmt.Println()
	return nil
}

// trainTimeout bounds a whole training run.
const trainTimeout = 2 * time.Minute

func (f *flags) train() error {
	ctx, cancel := context.WithTimeout(context.Background(), trainTimeout)
	defer cancel()
	t := &trainer.Trainer{Addresses: strings.Split(f.addresses, ","), Key: f.key, Run: f.run}
	if err := t.Create(ctx, rollout.RunSpec{Run: f.run, Model: f.model, MaxStaleness: 1, BatchSamples: 8}); err != nil {
		return err
	}
	for step := int64(1); step <= int64(f.steps); step++ {
		if err := t.Step(ctx, f.stepSpec(step)); err != nil {
			return err
		}
		if err := t.Collect(ctx, step); err != nil {
			return err
		}
		fmt.Printf("step %d complete: %d samples received in total, %d delivered more than once\n", step, len(t.Samples), len(t.Duplicated()))
	}
	return t.Acknowledge(ctx)
}

func (f *flags) stepSpec(step int64) rollout.StepSpec {
	spec := rollout.StepSpec{Step: step, WeightVersion: step}
	for g := range f.groups {
		spec.Groups = append(spec.Groups, rollout.Group{ID: fmt.Sprintf("g%d", g), Prompt: fmt.Sprintf("restock plan %d for step %d", g, step), Samples: 4, MaxTokens: 16 + 8*(g%4), Seed: step*1000 + int64(g)})
	}
	return spec
}
