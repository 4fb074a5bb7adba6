package gateway

import (
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/pomelocross/pomelocross/intake"
	"github.com/pomelocross/pomelocross/settings"
)

// Settings configures one instance. The tags of each field give its environment
// variable, default, flag, description and validation, whether it can be reloaded and
// whether it is secret.
type Settings struct {
	Name        string   `env:"POMELOCROSS_NAME" flag:"name" usage:"name of this instance" validate:"required,hostname_rfc1123"`
	Domain      string   `env:"POMELOCROSS_DOMAIN" flag:"domain" usage:"failure domain of this instance" validate:"required"`
	Deployment  string   `env:"POMELOCROSS_DEPLOYMENT" envDefault:"pomelocross" flag:"deployment" usage:"name that instances of one deployment share" validate:"required"`
	Secret      string   `env:"POMELOCROSS_SECRET" flag:"secret" usage:"secret shared by all instances of the deployment; at least 16 bytes" validate:"min=16" secret:"true"`
	Listen      string   `env:"POMELOCROSS_LISTEN" flag:"listen" usage:"IP:port for callers; empty if this instance serves none" validate:"omitempty,ip_port"`
	ReadyListen string   `env:"POMELOCROSS_READY_LISTEN" flag:"ready-listen" usage:"IP:port for the load balancer's readiness check; empty to disable" validate:"omitempty,ip_port"`
	PeerListen  string   `env:"POMELOCROSS_PEER_LISTEN" flag:"peer-listen" usage:"IP:port for other instances" validate:"ip_port"`
	AdminListen string   `env:"POMELOCROSS_ADMIN_LISTEN" flag:"admin-listen" usage:"IP:port for metrics and for pomelocross where; empty to disable" validate:"omitempty,ip_port"`
	Peers       []string `env:"POMELOCROSS_PEERS" flag:"peers" usage:"IP:port of the instances to contact first; comma-separated" validate:"dive,ip_port" reload:"true"`
	Store       string   `env:"POMELOCROSS_STORE" flag:"store" usage:"IP:port of the platform's object store" validate:"ip_port"`
	Cloud       string   `env:"POMELOCROSS_CLOUD" flag:"cloud" usage:"IP:port of the platform's usage and scaling interface" validate:"omitempty,ip_port"`
	Control     string   `env:"POMELOCROSS_CONTROL" envDefault:"standby" flag:"control" usage:"how eagerly this instance seeks the control role: first or standby" validate:"oneof=first standby"`

	LeaseBound   time.Duration `env:"POMELOCROSS_LEASE_BOUND" envDefault:"3s" flag:"lease-bound" usage:"time within which the control role must not move to another instance and back" validate:"min=1s"`
	LeaveBound   time.Duration `env:"POMELOCROSS_LEAVE_BOUND" envDefault:"2s" flag:"leave-bound" usage:"time within which a leaving upstream must get no new work" validate:"min=1s"`
	ConfigBound  time.Duration `env:"POMELOCROSS_CONFIG_BOUND" envDefault:"2s" flag:"config-bound" usage:"time within which a new configuration must be in force" validate:"min=1s"`
	ContactBound time.Duration `env:"POMELOCROSS_CONTACT_BOUND" envDefault:"3s" flag:"contact-bound" usage:"time within which every instance must know of a request that crashes upstreams" validate:"min=1s"`
	Quarantine   time.Duration `env:"POMELOCROSS_QUARANTINE" envDefault:"15m" flag:"quarantine" usage:"time after its last crash for which a request that crashes upstreams is rejected" validate:"min=1s"`
	EndBound     time.Duration `env:"POMELOCROSS_END_BOUND" envDefault:"3s" flag:"end-bound" usage:"time within which the end of a batch must stop its items from reaching engines" validate:"min=2500ms"`
	StrictRevoke bool          `env:"POMELOCROSS_STRICT_REVOKE" envDefault:"false" flag:"strict-revoke" usage:"reject requests that need a key, with status 503, while the configuration has not been confirmed for --revoke-bound; otherwise they are served with the last known one"`
	RevokeBound  time.Duration `env:"POMELOCROSS_REVOKE_BOUND" envDefault:"5s" flag:"revoke-bound" usage:"age of the last confirmation of the configuration from which keys are not accepted with --strict-revoke" validate:"min=1s"`
	// EvacuationBound is 0 on a platform whose operators do not evacuate failure domains.
	EvacuationBound time.Duration `env:"POMELOCROSS_EVACUATION_BOUND" envDefault:"0s" flag:"evacuation-bound" usage:"time within which the upstreams of an evacuated failure domain must get no new work; 0 if domains are not evacuated" validate:"omitempty,min=1s"`
	Grace           time.Duration `env:"POMELOCROSS_GRACE" envDefault:"8s" flag:"grace" usage:"time from the stop signal until the process is killed" validate:"min=1s" reload:"true"`
	DrainGrace      time.Duration `env:"POMELOCROSS_DRAIN_GRACE" envDefault:"2500ms" flag:"drain-grace" usage:"time for which a planned stop still accepts new requests after readiness fails; the load balancer checks once a second and acts on the second failure" validate:"min=0" reload:"true"`
	LimitWindow     time.Duration `env:"POMELOCROSS_LIMIT_WINDOW" envDefault:"4s" flag:"limit-window" usage:"time over which the requests are counted that all instances send to an upstream that names a limit" validate:"min=1s"`
	UsageWindow     time.Duration `env:"POMELOCROSS_USAGE_WINDOW" envDefault:"5s" flag:"usage-window" usage:"length of a usage window" validate:"min=1s"`
	UsageLate       time.Duration `env:"POMELOCROSS_USAGE_LATE" envDefault:"10s" flag:"usage-late" usage:"time after the end of a usage window within which its report is due" validate:"min=1s" reload:"true"`
	Placement       string        `env:"POMELOCROSS_PLACEMENT" envDefault:"auto" flag:"placement" usage:"how upstreams are chosen: slots (by slots in use), completion (by predicted completion), or auto (by predicted completion at services whose upstreams differ in speed)" validate:"oneof=auto slots completion"`
	Keep            time.Duration `env:"POMELOCROSS_KEEP" envDefault:"120s" flag:"keep" usage:"time after its submission for which an ended batch can be read" validate:"min=1s"`
	MemoryMB        int           `env:"POMELOCROSS_MEMORY_MB" envDefault:"0" flag:"memory-mb" usage:"memory that the process may use, in MB; 0 for no limit" validate:"min=0" reload:"true"`
	CPUShare        float64       `env:"POMELOCROSS_CPU_SHARE" envDefault:"1" flag:"cpu-share" usage:"processor cores that the process may use; batches run on the instances with most" validate:"gt=0"`
	ShareRoom       bool          `env:"POMELOCROSS_SHARE_ROOM" envDefault:"false" flag:"share-room" usage:"report to the other instances that run batches what room is used at upstreams and what waits for room"`
	MaxFiles        int           `env:"POMELOCROSS_MAX_FILES" envDefault:"0" flag:"max-files" usage:"file descriptors that the process may use; 0 for no limit" validate:"min=0"`
	IntakeMB        int           `env:"POMELOCROSS_INTAKE_MB" envDefault:"0" flag:"intake-mb" usage:"memory that heads and bodies of requests and responses that callers have not read may take, in MB; 0 for a quarter of --memory-mb, or 128 MB if that sets no limit" validate:"min=0" reload:"true"`
	MaxConnections  int           `env:"POMELOCROSS_MAX_CONNECTIONS" envDefault:"0" flag:"max-connections" usage:"connections of callers; 0 for a quarter of --max-files, or of the descriptors that the system allows" validate:"min=0"`
	AddressConns    int           `env:"POMELOCROSS_ADDRESS_CONNECTIONS" envDefault:"0" flag:"address-connections" usage:"connections of callers from one IP address; 0 for no limit of its own, as where all callers come through a load balancer" validate:"min=0"`
	StallTime       time.Duration `env:"POMELOCROSS_STALL_TIME" envDefault:"5s" flag:"stall-time" usage:"time in which a caller must send or receive 16 KB to keep its connection while others need the memory" validate:"min=1s"`
	LogLevel        string        `env:"POMELOCROSS_LOG_LEVEL" envDefault:"info" flag:"log-level" usage:"minimum level of the messages that are logged" validate:"oneof=debug info warn error" reload:"true"`

	// Check prints the effective settings and exits.
	Check bool `env:"-" flag:"check" usage:"check the settings, print them with secrets masked, and exit"`
}

// intake returns the limits on what callers make the process hold.
func (s *Settings) intake() intake.Settings {
	return intake.Settings{
		MemoryMB: s.MemoryMB, IntakeMB: s.IntakeMB, MaxFiles: s.MaxFiles, MaxConnections: s.MaxConnections,
		AddressConnections: s.AddressConns, StallTime: s.StallTime,
	}
}

// FileVariable is the environment variable that holds the path of the settings file.
const FileVariable = "POMELOCROSS_BOOT"

// ParseSettings reads the settings from the settings file, the environment and the
// command line. Later sources take precedence. args does not include the program name.
func ParseSettings(version string, args []string) (*Settings, error) {
	s := &Settings{}
	err := settings.Load(s, settings.Program{
		Name: "pomelocross-gateway", Description: "Forwards requests, runs batches and holds control roles on a platform.", Version: version,
		File: os.Getenv(FileVariable),
	}, args)
	return s, err
}

// DocumentSettings writes the page docs/SETTINGS-gateway.md, which documents the
// settings.
func DocumentSettings(w io.Writer) {
	fmt.Fprint(w, "# Settings of the gateway\n\n"+
		"Flags of `pomelocross-gateway`, each with its environment variable. Variables come from\n"+
		"the settings file (path in `"+FileVariable+"`, one `NAME=value` per line) or from the\n"+
		"environment, which overrides the file; flags override both. All invalid settings are\n"+
		"reported together, and the program does not start; `--check` prints the effective\n"+
		"settings with secrets masked and exits. `deploy/gateway.env` is a template of the file.\n\n"+
		"The file is read again when its content changes and on SIGHUP. A running instance\n"+
		"applies changes of these settings: "+strings.Join(reloadableFlags(), ", ")+". A change of any\n"+
		"other setting takes effect at the next start, and a file with an error changes\n"+
		"nothing; both are logged.\n\n"+
		"This page is generated from the code: `UPDATE=1 go test ./gateway`.\n\n")
	settings.Table(w, &Settings{})
}

// reloadableFlags returns the flags of the settings that a running instance can
// reload, formatted as Markdown code.
func reloadableFlags() []string {
	var flags []string
	t := reflect.TypeFor[Settings]()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("reload") == "true" {
			flags = append(flags, "`--"+t.Field(i).Tag.Get("flag")+"`")
		}
	}
	return flags
}
