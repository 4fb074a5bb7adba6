// Package settings reads the settings of an instance from its environment and
// its flags, which win, and checks them all before anything starts.
package settings

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/go-playground/validator/v10"
	"github.com/integrii/flaggy"
	"github.com/samber/oops"
)

// Settings configures one instance. Each field's tags give its environment
// variable, default, flag, description and check.
type Settings struct {
	Name            string        `env:"POMELOCROSS_NAME" flag:"name" usage:"name of this instance" validate:"required,hostname_rfc1123"`
	Deployment      string        `env:"POMELOCROSS_DEPLOYMENT" flag:"deployment" usage:"deployment to serve" validate:"required"`
	Domain          string        `env:"POMELOCROSS_DOMAIN" flag:"domain" usage:"failure domain of this instance" validate:"required"`
	Region          string        `env:"POMELOCROSS_REGION" flag:"region" usage:"region of this instance" validate:"required"`
	Listen          string        `env:"POMELOCROSS_LISTEN" envDefault:"127.0.0.1:8080" flag:"listen" usage:"IP:port for callers" validate:"ip_port"`
	AdminListen     string        `env:"POMELOCROSS_ADMIN_LISTEN" envDefault:"127.0.0.1:8081" flag:"admin-listen" usage:"IP:port for health, metrics and status" validate:"ip_port"`
	PeerListen      string        `env:"POMELOCROSS_PEER_LISTEN" envDefault:"127.0.0.1:8082" flag:"peer-listen" usage:"IP:port for other instances" validate:"ip_port"`
	Platform        string        `env:"POMELOCROSS_PLATFORM" flag:"platform" usage:"IP:port of the platform" validate:"ip_port"`
	Secret          string        `env:"POMELOCROSS_SECRET" flag:"secret" usage:"secret shared by all instances of the deployment; at least 16 bytes" validate:"min=16" secret:"true"`
	DrainTimeout    time.Duration `env:"POMELOCROSS_DRAIN_TIMEOUT" envDefault:"10m" flag:"drain-timeout" usage:"longest time a planned stop waits for running requests" validate:"min=1s"`
	DrainGrace      time.Duration `env:"POMELOCROSS_DRAIN_GRACE" envDefault:"5s" flag:"drain-grace" usage:"time that a planned stop still takes new requests after readiness fails" validate:"min=0"`
	UsageWindow     time.Duration `env:"POMELOCROSS_USAGE_WINDOW" envDefault:"1m" flag:"usage-window" usage:"length of a usage window" validate:"min=1s"`
	UsageGrace      time.Duration `env:"POMELOCROSS_USAGE_GRACE" envDefault:"10s" flag:"usage-grace" usage:"time after a window's end before its figures are frozen" validate:"min=0"`
	LeaseTerm       time.Duration `env:"POMELOCROSS_LEASE_TERM" envDefault:"10s" flag:"lease-term" usage:"how long a control role is held without renewal" validate:"min=1s"`
	MembersInterval time.Duration `env:"POMELOCROSS_MEMBERS_INTERVAL" envDefault:"2s" flag:"members-interval" usage:"time between readings of the instance list" validate:"min=100ms"`
	LoadInterval    time.Duration `env:"POMELOCROSS_LOAD_INTERVAL" envDefault:"500ms" flag:"load-interval" usage:"time between readings of upstream load" validate:"min=50ms"`
	DataDir         string        `env:"POMELOCROSS_DATA_DIR" flag:"data-dir" usage:"folder that keeps the last accepted configuration over restarts; empty for none"`
	Peers           []string      `env:"POMELOCROSS_PEERS" flag:"peers" usage:"peer IP:port of other instances, asked while the platform does not give the instance list; comma-separated" validate:"dive,ip_port"`
	IsolationGrace  time.Duration `env:"POMELOCROSS_ISOLATION_GRACE" envDefault:"10s" flag:"isolation-grace" usage:"age of the platform's last word, heard directly or through peers, from which the instance counts as isolated" validate:"min=5s"`
	FleetSize       int           `env:"POMELOCROSS_FLEET_SIZE" envDefault:"7" flag:"fleet-size" usage:"number of instances that share the platform's rates" validate:"min=1"`
	PlatformReads   int           `env:"POMELOCROSS_PLATFORM_READS" envDefault:"2000" flag:"platform-reads" usage:"reads a second that the platform gives the whole fleet" validate:"min=1"`
	PlatformWrites  int           `env:"POMELOCROSS_PLATFORM_WRITES" envDefault:"300" flag:"platform-writes" usage:"writes a second that the platform gives the whole fleet" validate:"min=1"`
	TraceFile       string        `env:"POMELOCROSS_TRACE_FILE" flag:"trace-file" usage:"file that spans are appended to; empty for none"`
	LogLevel        string        `env:"POMELOCROSS_LOG_LEVEL" envDefault:"info" flag:"log-level" usage:"least level logged" validate:"oneof=debug info warn error"`

	// Check prints the effective settings and ends.
	Check bool `env:"-" flag:"check" usage:"check the settings, print them with secrets masked, and end"`
}

const masked = "********"

// Parse reads the environment, then args without the program's name. The error
// lists every fault of both, a line each, named by flag.
func Parse(version string, args []string) (*Settings, error) {
	s := &Settings{}
	err := Load(s, Program{Name: "pomelocrossd", Description: "Serves rollouts and order-desk requests for one failure domain.", Version: version}, args)
	return s, err
}

// Program names the daemon whose settings are read.
type Program struct {
	Name, Description, Version string
	// File is the path of a settings file; empty for none.
	File string
}

// Load reads the settings file, then the environment, then args, of which the later
// win, into target, a pointer to a struct with the tags that Settings has, and
// checks it. The error lists every fault.
func Load(target any, p Program, args []string) error {
	variables, faults := readFile(p.File, target)
	maps.Copy(variables, env.ToMap(os.Environ()))
	faults = append(faults, environmentFaults(env.ParseWithOptions(target, env.Options{Environment: variables}), target)...)
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = p.Version
	register(parser, target)
	if err := parser.ParseArgs(args); err != nil {
		faults = append(faults, oops.In("settings").Wrapf(err, "parse flags"))
	}
	splitLists(target)
	faults = append(faults, Validate(target))
	return errors.Join(faults...)
}

// splitLists splits lists that came as one flag.
func splitLists(target any) {
	for _, f := range fields(target) {
		if list, ok := f.value.Addr().Interface().(*[]string); ok && len(*list) > 0 {
			*list = strings.Split(strings.Join(*list, ","), ",")
		}
	}
}

// environmentFaults names the flags of variables that could not be read.
func environmentFaults(err error, target any) []error {
	var all env.AggregateError
	if err == nil {
		return nil
	}
	if !errors.As(err, &all) {
		return []error{oops.In("settings").Wrap(err)}
	}
	faults := make([]error, len(all.Errors))
	for i, fault := range all.Errors {
		faults[i] = fault
		var parse env.ParseError
		if errors.As(fault, &parse) {
			faults[i] = fmt.Errorf("--%s: %s cannot be read: %w", tagOf(target, parse.Name, "flag"), tagOf(target, parse.Name, "env"), parse.Err)
		}
	}
	return faults
}

func tagOf(target any, name, tag string) string {
	f, _ := reflect.TypeOf(target).Elem().FieldByName(name)
	return f.Tag.Get(tag)
}

// field is one setting with its description.
type field struct {
	reflect.StructField
	value reflect.Value
}

func (f field) flag() string { return f.Tag.Get("flag") }

func fields(s any) []field {
	v := reflect.ValueOf(s).Elem()
	list := make([]field, v.NumField())
	for i := range list {
		list[i] = field{StructField: v.Type().Field(i), value: v.Field(i)}
	}
	return list
}

func register(parser *flaggy.Parser, s any) {
	for _, f := range fields(s) {
		description := f.Tag.Get("usage") + " (" + f.Tag.Get("env") + ")"
		switch target := f.value.Addr().Interface().(type) {
		case *string:
			parser.String(target, "", f.flag(), description)
		case *bool:
			parser.Bool(target, "", f.flag(), description)
		case *float64:
			parser.Float64(target, "", f.flag(), description)
		case *int:
			parser.Int(target, "", f.flag(), description)
		case *time.Duration:
			parser.Duration(target, "", f.flag(), description)
		case *[]string:
			parser.StringSlice(target, "", f.flag(), description)
		}
	}
}

// Validate returns every fault of a struct with the tags that Settings has, named
// by flag.
func Validate(s any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return "--" + f.Tag.Get("flag") })
	if err := v.RegisterValidation("ip_port", isIPPort); err != nil {
		return oops.In("settings").Wrap(err)
	}
	err := v.Struct(s)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	faults := make([]error, len(invalid))
	for i, fault := range invalid {
		faults[i] = fmt.Errorf("%s: %s", fault.Field(), describe(fault))
	}
	return errors.Join(faults...)
}

func describe(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "is required"
	case "ip_port":
		return "must be an IP number and a port, such as 127.0.0.1:8080"
	case "min":
		return "must be at least " + fault.Param() + unitOf(fault.Kind())
	case "oneof":
		return "must be one of: " + fault.Param()
	case "hostname_rfc1123":
		return "must be letters, digits, dots and dashes"
	}
	return strings.TrimSpace("fails the check " + fault.Tag() + " " + fault.Param())
}

// unitOf names what the length of a value is counted in.
func unitOf(kind reflect.Kind) string {
	if kind == reflect.String {
		return " characters"
	}
	return ""
}

// Print writes the effective settings, a line each, with secrets masked.
func (s *Settings) Print(w io.Writer) { Print(w, s) }

// Print writes a struct with the tags that Settings has, a line each, with
// secrets masked.
func Print(w io.Writer, s any) {
	for _, f := range fields(s) {
		if f.Tag.Get("env") == "-" {
			continue
		}
		value := fmt.Sprint(f.value.Interface())
		if f.Tag.Get("secret") == "true" && value != "" {
			value = masked
		}
		fmt.Fprintf(w, "%s=%s\n", strings.TrimSpace(f.flag()), value)
	}
}
