package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/integrii/flaggy"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/platform"
)

// options are the flags of all commands.
type options struct {
	platform, admin, deployment, output, by string
	file, keyID                             string
	wait                                    bool
	timeout                                 time.Duration
}

// Run parses args and carries out one command.
func Run(ctx context.Context, version string, args []string, out io.Writer) error {
	o := &options{
		platform: os.Getenv("POMELOCROSS_PLATFORM"), admin: os.Getenv("POMELOCROSS_ADMIN"),
		deployment: os.Getenv("POMELOCROSS_DEPLOYMENT"), output: "text", by: userName(), timeout: 30 * time.Second,
	}
	parser := flaggy.NewParser("pomelocross")
	parser.Description = "Checks, applies and shows what a deployment declares."
	parser.Version = version
	parser.String(&o.platform, "", "platform", "IP:port of the platform (POMELOCROSS_PLATFORM)")
	parser.String(&o.admin, "", "admin", "admin IP:port of any instance (POMELOCROSS_ADMIN)")
	parser.String(&o.deployment, "", "deployment", "deployment to look at (POMELOCROSS_DEPLOYMENT)")
	parser.String(&o.output, "o", "output", "text or json")
	parser.Duration(&o.timeout, "", "timeout", "longest time the command takes")
	commands := o.commands(parser)
	if err := parser.ParseArgs(args); err != nil {
		return &Error{Code: ExitInvalid, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	operator := &Operator{Store: platform.NewClient(o.platform, nil), Admin: o.admin, Out: out, JSON: o.output == "json"}
	for _, c := range commands {
		if c.sub.Used {
			return c.run(ctx, operator)
		}
	}
	parser.ShowHelp()
	return &Error{Code: ExitInvalid, Err: fmt.Errorf("a command is required")}
}

func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

type command struct {
	sub *flaggy.Subcommand
	run func(context.Context, *Operator) error
}

func (o *options) commands(parser *flaggy.Parser) []command {
	var list []command
	with := func(name, description string, run func(context.Context, *Operator) error) *flaggy.Subcommand {
		c := flaggy.NewSubcommand(name)
		c.Description = description
		parser.AttachSubcommand(c, 1)
		list = append(list, command{c, run})
		return c
	}
	files := func(c *flaggy.Subcommand) {
		c.String(&o.file, "f", "file", "configuration file, or folder of .yaml files")
	}
	files(with("validate", "check configuration files", o.validate))
	files(with("diff", "show what applying the files would change", o.diff))
	apply := with("apply", "put the files in force, whole or not at all", o.apply)
	files(apply)
	apply.Bool(&o.wait, "", "wait", "wait until every instance has it in force")
	apply.String(&o.by, "", "by", "name recorded with the revision")
	with("get", "show the accepted configuration", o.get)
	with("status", "show every instance", o.status)
	key := with("key", "make a new key: prints the key and the hash to declare", o.key)
	key.String(&o.keyID, "", "id", "identifier of the key")
	return list
}

func (o *options) validate(_ context.Context, operator *Operator) error {
	bundle, err := Load([]string{o.file})
	if err != nil {
		return err
	}
	fmt.Fprintf(operator.Out, "valid: %d teams, %d keys, %d services, %d routes\n", len(bundle.Teams), len(bundle.Keys), len(bundle.Services), len(bundle.Routes))
	return nil
}

func (o *options) diff(ctx context.Context, operator *Operator) error {
	bundle, err := Load([]string{o.file})
	if err != nil {
		return err
	}
	accepted, _, err := operator.Accepted(ctx, bundle.Deployment)
	if err != nil {
		return err
	}
	changes := contract.Diff(&accepted.Bundle, bundle)
	if operator.JSON {
		return operator.PrintJSON(changes)
	}
	for _, c := range changes {
		fmt.Fprintln(operator.Out, c)
	}
	return nil
}

func (o *options) apply(ctx context.Context, operator *Operator) error {
	bundle, err := Load([]string{o.file})
	if err != nil {
		return err
	}
	accepted, err := operator.Apply(ctx, bundle, o.by)
	if err != nil {
		return err
	}
	fmt.Fprintf(operator.Out, "revision %d is accepted\n", accepted.Revision)
	if !o.wait {
		return nil
	}
	return operator.WaitInForce(ctx, accepted.Revision)
}

func (o *options) get(ctx context.Context, operator *Operator) error {
	accepted, _, err := operator.Accepted(ctx, o.deployment)
	if err != nil {
		return err
	}
	if operator.JSON {
		return operator.PrintJSON(accepted)
	}
	text, err := yaml.Marshal(accepted.Bundle)
	if err != nil {
		return err
	}
	fmt.Fprintf(operator.Out, "# revision %d by %s\n%s", accepted.Revision, accepted.By, text)
	return nil
}

func (o *options) status(ctx context.Context, operator *Operator) error {
	all, err := operator.AllStatus(ctx)
	if err != nil {
		return err
	}
	return operator.PrintStatus(all)
}

func (o *options) key(_ context.Context, operator *Operator) error {
	presented, hash, err := contract.NewKey(o.keyID)
	if err != nil {
		return err
	}
	fmt.Fprintf(operator.Out, "key:  %s\nhash: %s\n", presented, hash)
	return nil
}
