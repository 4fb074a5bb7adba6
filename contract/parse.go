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

// MaxFileBytes is the maximum size of a configuration file.
const MaxFileBytes = 4 << 20

// Diagnostic is an error in a bundle and its location.
type Diagnostic struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"` // 1-based; 0 if unknown or if the error concerns the whole bundle
	Field   string `json:"field,omitempty"`
	Message string `json:"what"`
}

// String formats the diagnostic as "file:line: field: message".
func (d Diagnostic) String() string {
	var b strings.Builder
	if d.File != "" {
		b.WriteString(d.File)
		if d.Line > 0 {
			fmt.Fprintf(&b, ":%d", d.Line)
		}
		b.WriteString(": ")
	}
	if d.Field != "" {
		b.WriteString(d.Field + ": ")
	}
	b.WriteString(d.Message)
	return b.String()
}

// ValidationError reports all errors in a bundle.
type ValidationError struct{ Diagnostics []Diagnostic }

// Error returns one line per diagnostic.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, d := range e.Diagnostics {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}

// File is the content of one configuration file.
type File struct {
	Name string
	Data []byte
}

// ReadFiles reads the given files and all *.yaml files in the given directories. It
// returns an error if there are none or if a file is larger than MaxFileBytes.
func ReadFiles(paths []string) ([]File, error) {
	var files []File
	for _, path := range paths {
		names, err := listFiles(path)
		if err != nil {
			return nil, oops.In("contract").With("path", path).Wrapf(err, "list files")
		}
		for _, name := range names {
			data, err := readLimited(name)
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

func listFiles(path string) ([]string, error) {
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

func readLimited(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, oops.In("contract").With("file", name).Wrapf(err, "get file size")
	}
	if info.Size() > MaxFileBytes {
		return nil, oops.In("contract").With("file", name).Wrap(&fs.PathError{Op: "read", Path: name, Err: errors.New("larger than 4 MiB")})
	}
	return os.ReadFile(name)
}

// Parse merges the files into one bundle and validates it. If the files or the bundle
// are invalid, it returns a *ValidationError with all errors found. Fields and
// references are checked only if all files can be decoded and merged.
func Parse(files []File) (*Bundle, error) {
	merged := &Bundle{Version: FormatVersion}
	var diagnostics []Diagnostic
	sources := elementSources{}
	for _, file := range files {
		part, diagnostic := decodeFile(file)
		if diagnostic != nil {
			diagnostics = append(diagnostics, *diagnostic)
			continue
		}
		diagnostics = append(diagnostics, mergeBundle(merged, part, file.Name)...)
		sources.record(file, part)
	}
	if len(diagnostics) > 0 {
		return nil, &ValidationError{Diagnostics: diagnostics}
	}
	diagnostics = Check(merged)
	if len(diagnostics) > 0 {
		sources.addLocations(diagnostics)
		return nil, &ValidationError{Diagnostics: diagnostics}
	}
	return merged, nil
}

// decodeFile decodes one file. The YAML library panics on some malformed input; such
// a panic is reported as an error in the file.
func decodeFile(file File) (part *Bundle, diagnostic *Diagnostic) {
	defer func() {
		if cause := recover(); cause != nil {
			part, diagnostic = nil, &Diagnostic{File: file.Name, Message: fmt.Sprintf("malformed YAML: %v", cause)}
		}
	}()
	part = &Bundle{}
	decoder := yaml.NewDecoder(bytes.NewReader(file.Data), yaml.Strict(), yaml.DisallowUnknownField())
	if err := decoder.Decode(part); err != nil {
		return nil, yamlDiagnostic(file.Name, err)
	}
	return part, nil
}

func yamlDiagnostic(name string, err error) *Diagnostic {
	diagnostic := &Diagnostic{File: name, Message: err.Error()}
	var syntax yaml.Error
	if errors.As(err, &syntax) {
		diagnostic.Message = syntax.GetMessage()
		if token := syntax.GetToken(); token != nil {
			diagnostic.Line = token.Position.Line
		}
	}
	return diagnostic
}

func mergeBundle(merged, part *Bundle, file string) []Diagnostic {
	var diagnostics []Diagnostic
	if part.Version != FormatVersion {
		diagnostics = append(diagnostics, Diagnostic{File: file, Field: "version", Message: fmt.Sprintf("must be %d", FormatVersion)})
	}
	if part.Deployment != "" {
		if merged.Deployment != "" && merged.Deployment != part.Deployment {
			diagnostics = append(diagnostics, Diagnostic{File: file, Field: "deployment", Message: fmt.Sprintf("%q differs from %q in another file", part.Deployment, merged.Deployment)})
		}
		merged.Deployment = part.Deployment
	}
	merged.Domains = append(merged.Domains, part.Domains...)
	merged.Teams = append(merged.Teams, part.Teams...)
	merged.Keys = append(merged.Keys, part.Keys...)
	merged.Models = append(merged.Models, part.Models...)
	merged.Services = append(merged.Services, part.Services...)
	merged.Routes = append(merged.Routes, part.Routes...)
	merged.CostLimits = append(merged.CostLimits, part.CostLimits...)
	return diagnostics
}

// Check validates a merged bundle and returns all errors found: invalid fields,
// duplicate names and references to undeclared names.
func Check(b *Bundle) []Diagnostic {
	diagnostics := checkFields(b)
	return append(diagnostics, checkReferences(b)...)
}

var namePattern = compileNamePattern()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlFieldName)
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

var bundleValidator = newValidator()

func checkFields(b *Bundle) []Diagnostic {
	err := bundleValidator.Struct(b)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return nil
	}
	diagnostics := make([]Diagnostic, len(invalid))
	for i, violation := range invalid {
		path := strings.TrimPrefix(violation.Namespace(), "Bundle.")
		diagnostics[i] = Diagnostic{Field: path, Message: describeViolation(violation)}
	}
	return diagnostics
}

func describeViolation(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required":
		return "is required"
	case "name":
		return "must be 1 to 63 lower-case letters, digits or hyphens, starting with a letter or digit"
	case "keyid":
		return "must be 1 to 32 letters and digits"
	case "keyhash":
		return "must be salt:sha256 as printed by 'pomelocross key'"
	case "oneof":
		return "must be one of: " + violation.Param()
	case "min":
		if _, ok := violation.Value().(Duration); ok {
			return "must not be negative"
		}
		return "must be at least " + violation.Param()
	case "max":
		return "must be at most " + violation.Param()
	}
	return strings.TrimSpace("fails the validation rule " + violation.Tag() + " " + violation.Param())
}
