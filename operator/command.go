package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/integrii/flaggy"

	"github.com/pomelocross/pomelocross/contract"
	"github.com/pomelocross/pomelocross/objects"
)

// options are the flags of all commands.
type options struct {
	platform, admin, deployment, output, by string
	file, keyID, team, method, path         string
	id                                      string
	logs                                    []string
	wait                                    bool
	timeout                                 time.Duration
}

const defaultTimeout = 30 * time.Second

const description = `Checks, applies and shows what a deployment declares.

  Exit codes: 0 done; 1 could not be carried out; 2 the command line or the
  files have faults; 3 another operator was first, nothing was applied;
  4 accepted, but not in force everywhere in time.
  'pomelocross completion bash' prints a completion script, also for zsh and fish.`

// Run parses args and carries out one command. With -o json an error is also
// printed as JSON.
func Run(ctx context.Context, version string, args []string, out io.Writer) error {
	o := &options{
		platform: os.Getenv("POMELOCROSS_PLATFORM"), admin: os.Getenv("POMELOCROSS_ADMIN"),
		deployment: os.Getenv("POMELOCROSS_DEPLOYMENT"), output: "text", by: userName(), timeout: defaultTimeout,
	}
	parser := flaggy.NewParser("pomelocross")
	parser.Description = description
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
	if o.output != "text" && o.output != "json" {
		return &Error{Code: ExitInvalid, Err: fmt.Errorf("--output must be text or json")}
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	operator := &Operator{Store: objects.NewClient(o.platform, nil), Admin: o.admin, Out: out, JSON: o.output == "json"}
	for _, c := range commands {
		if c.sub.Used {
			err := c.run(ctx, operator)
			operator.printError(err)
			return err
		}
	}
	parser.ShowHelp()
	return &Error{Code: ExitInvalid, Err: fmt.Errorf("a command is required")}
}

// Failure is an error as -o json prints it.
type Failure struct {
	Error    string                `json:"error"`
	ExitCode int                   `json:"exitCode"`
	Faults   []contract.Diagnostic `json:"faults,omitempty"`
}

func (o *Operator) printError(err error) {
	if err == nil || !o.JSON || ExitCode(err) == ExitLagging {
		return // what lags is in the output of apply
	}
	f := Failure{Error: err.Error(), ExitCode: ExitCode(err)}
	var faults *contract.ValidationError
	if errors.As(err, &faults) {
		f.Faults = faults.Diagnostics
	}
	_ = o.PrintJSON(f) // the error itself reaches the caller
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
	with("history", "show who applied what, and when", o.history)
	with("status", "show every instance and where the newest revision is in force", o.status)
	use := with("usage", "show the frozen usage figures", o.usage)
	use.String(&o.team, "", "team", "team to show; all without it")
	explain := with("explain", "show what an instance would do with a request now, and why; with --id, what logs tell of a past one", o.explain)
	explain.String(&o.id, "", "id", "id of a past request, batch, item, upstream or window")
	explain.StringSlice(&o.logs, "", "logs", "log files of instances; standard input without it")
	explain.String(&o.keyID, "", "key-id", "identifier of the caller's key, without its secret")
	explain.String(&o.method, "", "method", "method of the request")
	explain.String(&o.path, "", "path", "path of the request")
	key := with("key", "make a new key: prints the key and the hash to declare", o.key)
	key.String(&o.keyID, "", "id", "identifier of the key")
	return list
}

// Validity is what validate prints.
type Validity struct {
	Valid    bool `json:"valid"`
	Teams    int  `json:"teams"`
	Keys     int  `json:"keys"`
	Services int  `json:"services"`
	Routes   int  `json:"routes"`
}

func (o *options) validate(_ context.Context, operator *Operator) error {
	bundle, err := Load([]string{o.file})
	if err != nil {
		return err
	}
	if err := checkSize(contract.Accepted{Bundle: *bundle}); err != nil {
		return err
	}
	v := Validity{true, len(bundle.Teams), len(bundle.Keys), len(bundle.Services), len(bundle.Routes)}
	if operator.JSON {
		return operator.PrintJSON(v)
	}
	_, err = fmt.Fprintf(operator.Out, "valid: %d teams, %d keys, %d services, %d routes\n", v.Teams, v.Keys, v.Services, v.Routes)
	return err
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

// Applied is what apply prints.
type Applied struct {
	Revision contract.Revision `json:"revision"`
	By       string            `json:"by"`
	Reach    *Reach            `json:"reach,omitempty"` // with --wait
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
	fmt.Fprintf(operator.progress(), "revision %d is accepted\n", accepted.Revision)
	applied := Applied{Revision: accepted.Revision, By: accepted.By}
	var lagging error
	if o.wait {
		reached, err := operator.WaitInForce(ctx, accepted.Revision)
		applied.Reach, lagging = &reached, err
	}
	if operator.JSON {
		return errors.Join(lagging, operator.PrintJSON(applied))
	}
	return lagging
}

func (o *options) get(ctx context.Context, operator *Operator) error {
	accepted, err := o.accepted(ctx, operator)
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
	_, err = fmt.Fprintf(operator.Out, "# revision %d by %s\n%s", accepted.Revision, accepted.By, text)
	return err
}

func (o *options) accepted(ctx context.Context, operator *Operator) (contract.Accepted, error) {
	accepted, _, err := operator.Accepted(ctx, o.deployment)
	if err == nil && accepted.Revision == 0 {
		err = fmt.Errorf("nothing was ever applied to deployment %q", o.deployment)
	}
	return accepted, err
}

func (o *options) history(ctx context.Context, operator *Operator) error {
	entries, err := operator.History(ctx, o.deployment)
	if err != nil {
		return err
	}
	return operator.PrintHistory(entries)
}

func (o *options) status(ctx context.Context, operator *Operator) error {
	all, err := operator.AllStatus(ctx)
	if err != nil {
		return err
	}
	return operator.PrintStatus(all)
}

func (o *options) usage(ctx context.Context, operator *Operator) error {
	lines, err := operator.Usage(ctx, o.team)
	if err != nil {
		return err
	}
	return operator.PrintUsage(lines)
}

func (o *options) explain(ctx context.Context, operator *Operator) error {
	if o.id != "" {
		return operator.ExplainPast(o.id, o.logs)
	}
	explanation, err := operator.Explain(ctx, o.keyID, o.method, o.path)
	if err != nil {
		return err
	}
	return operator.PrintExplanation(explanation)
}

// NewKey is what key prints.
type NewKey struct {
	Key  string `json:"key"`
	Hash string `json:"hash"`
}

func (o *options) key(_ context.Context, operator *Operator) error {
	if !contract.ValidKeyID(o.keyID) {
		return &Error{Code: ExitInvalid, Err: fmt.Errorf("--id must be 1 to %d letters and digits", contract.MaxKeyID)}
	}
	presented, hash, err := contract.NewKey(o.keyID)
	if err != nil {
		return err
	}
	if operator.JSON {
		return operator.PrintJSON(NewKey{presented, hash})
	}
	_, err = fmt.Fprintf(operator.Out, "key:  %s\nhash: %s\n", presented, hash)
	return err
}
