// Package settings loads the configuration of a daemon from a settings file, the
// environment and command-line flags, in increasing order of precedence, and
// validates all of it before the daemon starts.
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

// Settings configures one instance. The struct tags of each field hold its
// environment variable, default value, flag, usage text and validation rules.
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
	DrainTimeout    time.Duration `env:"POMELOCROSS_DRAIN_TIMEOUT" envDefault:"10m" flag:"drain-timeout" usage:"maximum time that a graceful shutdown waits for running requests" validate:"min=1s"`
	DrainGrace      time.Duration `env:"POMELOCROSS_DRAIN_GRACE" envDefault:"5s" flag:"drain-grace" usage:"time that a graceful shutdown keeps accepting new requests after the readiness check starts to fail" validate:"min=0"`
	UsageWindow     time.Duration `env:"POMELOCROSS_USAGE_WINDOW" envDefault:"1m" flag:"usage-window" usage:"length of a usage window" validate:"min=1s"`
	UsageGrace      time.Duration `env:"POMELOCROSS_USAGE_GRACE" envDefault:"10s" flag:"usage-grace" usage:"delay after the end of a usage window before its totals become final" validate:"min=0"`
	LeaseTerm       time.Duration `env:"POMELOCROSS_LEASE_TERM" envDefault:"10s" flag:"lease-term" usage:"duration of the lease on a control role; it expires unless renewed" validate:"min=1s"`
	MembersInterval time.Duration `env:"POMELOCROSS_MEMBERS_INTERVAL" envDefault:"2s" flag:"members-interval" usage:"interval between reads of the instance list" validate:"min=100ms"`
	LoadInterval    time.Duration `env:"POMELOCROSS_LOAD_INTERVAL" envDefault:"500ms" flag:"load-interval" usage:"interval between reads of upstream load" validate:"min=50ms"`
	DataDir         string        `env:"POMELOCROSS_DATA_DIR" flag:"data-dir" usage:"directory that stores the last accepted configuration across restarts; empty to disable"`
	Peers           []string      `env:"POMELOCROSS_PEERS" flag:"peers" usage:"comma-separated peer addresses (IP:port) of other instances, queried while the platform does not return the instance list" validate:"dive,ip_port"`
	IsolationGrace  time.Duration `env:"POMELOCROSS_ISOLATION_GRACE" envDefault:"10s" flag:"isolation-grace" usage:"age of the last update from the platform, received directly or through peers, after which the instance counts as isolated" validate:"min=5s"`
	FleetSize       int           `env:"POMELOCROSS_FLEET_SIZE" envDefault:"7" flag:"fleet-size" usage:"number of instances that share the platform's rate limits" validate:"min=1"`
	PlatformReads   int           `env:"POMELOCROSS_PLATFORM_READS" envDefault:"2000" flag:"platform-reads" usage:"read limit of the platform for the whole fleet, in requests per second" validate:"min=1"`
	PlatformWrites  int           `env:"POMELOCROSS_PLATFORM_WRITES" envDefault:"300" flag:"platform-writes" usage:"write limit of the platform for the whole fleet, in requests per second" validate:"min=1"`
	MemoryMB        int           `env:"POMELOCROSS_MEMORY_MB" envDefault:"0" flag:"memory-mb" usage:"memory that the process may use, in MB; 0 for no limit" validate:"min=0"`
	MaxFiles        int           `env:"POMELOCROSS_MAX_FILES" envDefault:"0" flag:"max-files" usage:"file descriptors that the process may use; 0 for no limit" validate:"min=0"`
	IntakeMB        int           `env:"POMELOCROSS_INTAKE_MB" envDefault:"0" flag:"intake-mb" usage:"memory that heads and bodies of requests and responses that callers have not read may take, in MB; 0 for a quarter of --memory-mb, or 128 MB if that sets no limit" validate:"min=0"`
	MaxConnections  int           `env:"POMELOCROSS_MAX_CONNECTIONS" envDefault:"0" flag:"max-connections" usage:"connections of callers; 0 for a quarter of --max-files, or of the descriptors that the system allows" validate:"min=0"`
	AddressConns    int           `env:"POMELOCROSS_ADDRESS_CONNECTIONS" envDefault:"0" flag:"address-connections" usage:"connections of callers from one IP address; 0 for no limit of its own, as where all callers come through a load balancer" validate:"min=0"`
	StallTime       time.Duration `env:"POMELOCROSS_STALL_TIME" envDefault:"5s" flag:"stall-time" usage:"time in which a caller must send or receive 16 KB to keep its connection while others need the memory" validate:"min=1s"`
	TraceFile       string        `env:"POMELOCROSS_TRACE_FILE" flag:"trace-file" usage:"file to which trace spans are appended; empty to disable"`
	LogLevel        string        `env:"POMELOCROSS_LOG_LEVEL" envDefault:"info" flag:"log-level" usage:"minimum level of logged messages" validate:"oneof=debug info warn error"`

	// Check makes the daemon print the effective settings and exit.
	Check bool `env:"-" flag:"check" usage:"validate the settings, print them with secrets masked, and exit"`
}

const maskedValue = "********"

// Parse loads the settings from the environment and then from args, which exclude
// the program name. The error lists every invalid setting, one per line, by flag.
func Parse(version string, args []string) (*Settings, error) {
	s := &Settings{}
	err := Load(s, Program{Name: "pomelocrossd", Description: "Serves rollouts and order-desk requests for one failure domain.", Version: version}, args)
	return s, err
}

// Program describes the daemon whose settings are loaded. Its help and version
// output show the name, description and version.
type Program struct {
	Name, Description, Version string
	// File is the path of the settings file; if empty, no file is read.
	File string
}

// Load fills target, a pointer to a struct tagged like Settings, from the settings
// file, the environment and args; later sources override earlier ones. It then
// validates target. The error lists every invalid setting.
func Load(target any, p Program, args []string) error {
	variables, errs := readFile(p.File, target)
	maps.Copy(variables, env.ToMap(os.Environ()))
	errs = append(errs, environmentErrors(env.ParseWithOptions(target, env.Options{Environment: variables}), target)...)
	parser := flaggy.NewParser(p.Name)
	parser.Description = p.Description
	parser.Version = p.Version
	registerFlags(parser, target)
	if err := parser.ParseArgs(args); err != nil {
		errs = append(errs, oops.In("settings").Wrapf(err, "parse flags"))
	}
	splitListFlags(target)
	errs = append(errs, Validate(target))
	return errors.Join(errs...)
}

// splitListFlags splits the comma-separated values of list settings. The flag
// parser stores each occurrence of a list flag as a single element.
func splitListFlags(target any) {
	for _, f := range fields(target) {
		if list, ok := f.value.Addr().Interface().(*[]string); ok && len(*list) > 0 {
			*list = strings.Split(strings.Join(*list, ","), ",")
		}
	}
}

// environmentErrors adds the flag and the environment variable to each parse error
// in err.
func environmentErrors(err error, target any) []error {
	var aggregate env.AggregateError
	if err == nil {
		return nil
	}
	if !errors.As(err, &aggregate) {
		return []error{oops.In("settings").Wrap(err)}
	}
	errs := make([]error, len(aggregate.Errors))
	for i, cause := range aggregate.Errors {
		errs[i] = cause
		var parseErr env.ParseError
		if errors.As(cause, &parseErr) {
			errs[i] = fmt.Errorf("--%s: cannot parse %s: %w", fieldTag(target, parseErr.Name, "flag"), fieldTag(target, parseErr.Name, "env"), parseErr.Err)
		}
	}
	return errs
}

func fieldTag(target any, name, tag string) string {
	f, _ := reflect.TypeOf(target).Elem().FieldByName(name)
	return f.Tag.Get(tag)
}

// field is a settings field: its struct tags and its value.
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

func registerFlags(parser *flaggy.Parser, s any) {
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

// Validate checks s, a pointer to a struct tagged like Settings. The error lists
// every invalid setting by flag.
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
	errs := make([]error, len(invalid))
	for i, violation := range invalid {
		errs[i] = fmt.Errorf("%s: %s", violation.Field(), describeViolation(violation))
	}
	return errors.Join(errs...)
}

func describeViolation(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required":
		return "is required"
	case "ip_port":
		return "must be an IP address and a port, such as 127.0.0.1:8080"
	case "min":
		return "must be at least " + violation.Param() + lengthUnit(violation.Kind())
	case "oneof":
		return "must be one of: " + violation.Param()
	case "hostname_rfc1123":
		return "must consist of letters, digits, dots and hyphens"
	}
	return strings.TrimSpace("fails the validation rule " + violation.Tag() + " " + violation.Param())
}

// lengthUnit returns the unit of a minimum for values of a kind: characters for
// strings and none for numbers and durations.
func lengthUnit(kind reflect.Kind) string {
	if kind == reflect.String {
		return " characters"
	}
	return ""
}

// Print writes the effective settings to w, one flag=value pair per line, with
// secrets masked.
func (s *Settings) Print(w io.Writer) { Print(w, s) }

// Print writes the fields of s, a pointer to a struct tagged like Settings, one
// flag=value pair per line, with secrets masked. Fields tagged env:"-" are
// left out.
func Print(w io.Writer, s any) {
	for _, f := range fields(s) {
		if f.Tag.Get("env") == "-" {
			continue
		}
		value := fmt.Sprint(f.value.Interface())
		if f.Tag.Get("secret") == "true" && value != "" {
			value = maskedValue
		}
		fmt.Fprintf(w, "%s=%s\n", strings.TrimSpace(f.flag()), value)
	}
}
