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

// options holds the flags of all commands.
type options struct {
	platform, admin, deployment, output, by string
	file, keyID, team, method, path         string
	id, batch                               string
	logs                                    []string
	wait                                    bool
	whereQuery                              WhereQuery
	timeout                                 time.Duration
}

const defaultTimeout = 30 * time.Second

const description = `Checks, applies and shows the configuration of a deployment.

  Exit codes: 0 success; 1 the command failed; 2 the command line or the files
  are invalid; 3 another operator was first, nothing was applied;
  4 accepted, but not in force everywhere in time.
  'pomelocross completion bash' prints a completion script, also for zsh and fish.`

// Run parses args and runs one command. With -o json it also prints an error as
// JSON to out; see Failure.
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
	parser.String(&o.deployment, "", "deployment", "deployment whose configuration is shown (POMELOCROSS_DEPLOYMENT)")
	parser.String(&o.output, "o", "output", "output format: text or json")
	parser.Duration(&o.timeout, "", "timeout", "maximum duration of the command")
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

// Failure is the JSON format of an error with -o json.
type Failure struct {
	Error    string                `json:"error"`
	ExitCode int                   `json:"exitCode"`
	Faults   []contract.Diagnostic `json:"faults,omitempty"`
}

func (o *Operator) printError(err error) {
	if err == nil || !o.JSON || ExitCode(err) == ExitLagging {
		return // the output of apply lists the lagging instances
	}
	f := Failure{Error: err.Error(), ExitCode: ExitCode(err)}
	var faults *contract.ValidationError
	if errors.As(err, &faults) {
		f.Faults = faults.Diagnostics
	}
	_ = o.PrintJSON(f) // the caller of Run receives the original error
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
	add := func(name, description string, run func(context.Context, *Operator) error) *flaggy.Subcommand {
		c := flaggy.NewSubcommand(name)
		c.Description = description
		parser.AttachSubcommand(c, 1)
		list = append(list, command{c, run})
		return c
	}
	addFileFlag := func(c *flaggy.Subcommand) {
		c.String(&o.file, "f", "file", "configuration file, or directory of .yaml files")
	}
	addFileFlag(add("validate", "check configuration files", o.validate))
	addFileFlag(add("diff", "show the changes that applying the files would make", o.diff))
	apply := add("apply", "apply the files, all or nothing", o.apply)
	addFileFlag(apply)
	apply.Bool(&o.wait, "", "wait", "wait until the revision is in force at every instance")
	apply.String(&o.by, "", "by", "operator name recorded with the revision")
	add("get", "show the accepted configuration", o.get)
	add("history", "show the applied revisions with author, time and changes", o.history)
	add("status", "show all instances and where the newest revision is in force", o.status)
	usage := add("usage", "show the final usage figures", o.usage)
	usage.String(&o.team, "", "team", "team to show (default: all)")
	explain := add("explain", "show how an instance would handle a request now, and why; with --id, show the log lines about a past one", o.explain)
	explain.String(&o.id, "", "id", "id of a past request, batch, item, upstream or window")
	explain.StringSlice(&o.logs, "", "logs", "log files of instances (default: standard input)")
	explain.String(&o.keyID, "", "key-id", "identifier of the caller's key, not its secret")
	explain.String(&o.method, "", "method", "method of the request")
	explain.String(&o.path, "", "path", "path of the request")
	where := add("where", "show where a gateway would send a request now, and why, without sending it", o.where)
	where.String(&o.batch, "", "batch", "id of a batch that the gateway runs, in place of a request")
	where.String(&o.whereQuery.Host, "", "host", "host of the request")
	where.String(&o.whereQuery.Path, "", "path", "path of the request")
	where.String(&o.whereQuery.Team, "", "team", "team of the caller")
	where.String(&o.whereQuery.Model, "", "model", "model that the request names")
	where.Int(&o.whereQuery.Prompt, "", "prompt", "prompt tokens")
	where.Int(&o.whereQuery.Hint, "", "hint", "expected output tokens")
	where.Int(&o.whereQuery.Output, "", "max-output", "maximum output tokens")
	key := add("key", "generate a key; print it and the hash to declare in the configuration", o.key)
	key.String(&o.keyID, "", "id", "identifier of the key")
	return list
}

// Validity is the output of validate.
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

// Applied is the output of apply.
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

// accepted returns the accepted configuration of the deployment given by flag; having
// none is an error.
func (o *options) accepted(ctx context.Context, operator *Operator) (contract.Accepted, error) {
	accepted, _, err := operator.Accepted(ctx, o.deployment)
	if err == nil && accepted.Revision == 0 {
		err = fmt.Errorf("no configuration has been applied to deployment %q", o.deployment)
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
		return operator.ExplainFromLogs(o.id, o.logs)
	}
	explanation, err := operator.Explain(ctx, o.keyID, o.method, o.path)
	if err != nil {
		return err
	}
	return operator.PrintExplanation(explanation)
}

func (o *options) where(ctx context.Context, operator *Operator) error {
	if o.batch != "" {
		where, err := operator.WhereBatch(ctx, o.batch)
		if err != nil {
			return err
		}
		return operator.PrintWhereBatch(where)
	}
	where, err := operator.Where(ctx, o.whereQuery)
	if err != nil {
		return err
	}
	return operator.PrintWhere(where)
}

// NewKey is the output of key.
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
