package contract

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/samber/oops"
)

// MaxFileBytes bounds one configuration file.
const MaxFileBytes = 4 << 20

// Fault is one thing wrong with a bundle.
type Diagnostic struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // 1-based; 0 when the whole bundle is meant
	Field   string `json:"field,omitempty"`
	Message string `json:"what"`
}

// String formats the fault as "file:line: field: what".
func (f Diagnostic) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		if f.Line > 0 {
			fmt.Fprintf(&b, ":%d", f.Line)
		}
		b.WriteString(": ")
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// FaultsError lists all faults of a bundle.
type ValidationError struct{ Diagnostics []Diagnostic }

// Error implements error, a line for each fault.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, f := range e.Diagnostics {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// File is the content of one configuration file.
type File struct {
	Name string
	Data []byte
}

// ReadFiles reads the named files, and all *.yaml files of named directories.
func ReadFiles(paths []string) ([]File, error) {
	var files []File
	for _, path := range paths {
		names, err := expand(path)
		if err != nil {
			return nil, oops.In("contract").With("path", path).Wrapf(err, "list files")
		}
		for _, name := range names {
			data, err := readBounded(name)
			if err != nil {
				return nil, err
			}
			files = append(files, File{Name: name, Data: data})
		}
	}
	if len(files) == 0 {
		return nil, oops.In("contract").Errorf("no configuration files in %s", strings.Join(paths, ", "))
	}
	return files, nil
}

func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	slices.Sort(names)
	return names, err
}

func readBounded(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, oops.In("contract").With("file", name).Wrapf(err, "stat")
	}
	if info.Size() > MaxFileBytes {
		return nil, oops.In("contract").With("file", name).Wrap(&fs.PathError{Op: "read", Path: name, Err: errors.New("larger than 4 MiB")})
	}
	return os.ReadFile(name)
}

// Parse merges the files into one checked bundle. Every fault is reported; the
// error is then a *FaultsError.
func Parse(files []File) (*Bundle, error) {
	merged := &Bundle{Version: FormatVersion}
	var faults []Diagnostic
	origin := origins{}
	for _, file := range files {
		part, fault := decode(file)
		if fault != nil {
			faults = append(faults, *fault)
			continue
		}
		faults = append(faults, merge(merged, part, file.Name)...)
		origin.add(file, part)
	}
	if len(faults) > 0 {
		return nil, &ValidationError{Diagnostics: faults}
	}
	faults = Check(merged)
	if len(faults) > 0 {
		origin.locate(faults)
		return nil, &ValidationError{Diagnostics: faults}
	}
	return merged, nil
}

// decode reads one file. The YAML library panics on some malformed input, which
// is a fault of the file like any other.
func decode(file File) (part *Bundle, fault *Diagnostic) {
	defer func() {
		if cause := recover(); cause != nil {
			part, fault = nil, &Diagnostic{File: file.Name, Message: fmt.Sprintf("is malformed: %v", cause)}
		}
	}()
	part = &Bundle{}
	decoder := yaml.NewDecoder(bytes.NewReader(file.Data), yaml.Strict(), yaml.DisallowUnknownField())
	if err := decoder.Decode(part); err != nil {
		return nil, yamlFault(file.Name, err)
	}
	return part, nil
}

func yamlFault(name string, err error) *Diagnostic {
	fault := &Diagnostic{File: name, Message: err.Error()}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		fault.Message = syntax.GetMessage()
		if token := syntax.GetToken(); token != nil {
			fault.Line = token.Position.Line
		}
	}
	return fault
}

func merge(into, part *Bundle, file string) []Diagnostic {
	var faults []Diagnostic
	if part.Version != FormatVersion {
		faults = append(faults, Diagnostic{File: file, Field: "version", Message: fmt.Sprintf("must be %d", FormatVersion)})
	}
	if part.Deployment != "" {
		if into.Deployment != "" && into.Deployment != part.Deployment {
			faults = append(faults, Diagnostic{File: file, Field: "deployment", Message: fmt.Sprintf("%q differs from %q of another file", part.Deployment, into.Deployment)})
		}
		into.Deployment = part.Deployment
	}
	into.Domains = append(into.Domains, part.Domains...)
	into.Teams = append(into.Teams, part.Teams...)
	into.Keys = append(into.Keys, part.Keys...)
	into.Models = append(into.Models, part.Models...)
	into.Services = append(into.Services, part.Services...)
	into.Routes = append(into.Routes, part.Routes...)
	into.CostLimits = append(into.CostLimits, part.CostLimits...)
	return faults
}

// Check returns every fault of a merged bundle.
func Check(b *Bundle) []Diagnostic {
	faults := fieldFaults(b)
	return append(faults, referenceFaults(b)...)
}

var namePattern = keyOrName()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	must(v.RegisterValidation("name", func(fl validator.FieldLevel) bool {
		return namePattern.MatchString(fl.Field().String())
	}))
	must(v.RegisterValidation("keyid", func(fl validator.FieldLevel) bool { return ValidKeyID(fl.Field().String()) }))
	must(v.RegisterValidation("keyhash", func(fl validator.FieldLevel) bool {
		return keyHashPattern.MatchString(fl.Field().String())
	}))
	return v
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

var checker = newValidator()

func fieldFaults(b *Bundle) []Diagnostic {
	err := checker.Struct(b)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	faults := make([]Diagnostic, len(invalid))
	for i, field := range invalid {
		path := strings.TrimPrefix(field.Namespace(), "Bundle.")
		faults[i] = Diagnostic{Field: path, Message: describe(field)}
	}
	return faults
}

func describe(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "is required"
	case "name":
		return "must be lower-case letters, digits and dashes, at most 63"
	case "keyid":
		return "must be 1 to 32 letters and digits"
	case "keyhash":
		return "must be salt:sha256 as printed by 'pomelocross key'"
	case "oneof":
		return "must be one of: " + field.Param()
	case "min":
		if _, ok := field.Value().(Duration); ok {
			return "must not be negative"
		}
		return "must be at least " + field.Param()
	case "max":
		return "must be at most " + field.Param()
	}
	return strings.TrimSpace("fails check " + field.Tag() + " " + field.Param())
}
