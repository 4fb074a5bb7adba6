package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Document writes the content of docs/SETTINGS.md, which is generated from the struct
// tags of Settings.
func Document(w io.Writer) {
	fmt.Fprint(w, "# Settings\n\n"+
		"Flags of `pomelocrossd` and their environment variables. Flags take precedence.\n"+
		"If any setting is invalid, the daemon reports all errors and does not start.\n"+
		"`--check` prints the effective settings with secrets masked and exits. This page\n"+
		"is generated from the code: `UPDATE=1 go test ./settings`.\n\n")
	Table(w, &Settings{})
}

// Table writes a Markdown table with one row per field of s, a pointer to a
// struct that uses the same tags as Settings.
func Table(w io.Writer, s any) {
	fmt.Fprint(w, "| flag | variable | default | check | meaning |\n|---|---|---|---|---|\n")
	for _, f := range fields(s) {
		variable := f.Tag.Get("env")
		if variable == "-" {
			variable = ""
		}
		fmt.Fprintf(w, "| `--%s` | %s | %s | %s | %s |\n", f.flag(), codeSpan(variable), codeSpan(f.Tag.Get("envDefault")),
			checkText(f.Tag), strings.ReplaceAll(f.Tag.Get("usage"), "|", "\\|"))
	}
}

func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// checkText describes the validation rules of a field for the Markdown table.
// Rules without a description are left out.
func checkText(tag reflect.StructTag) string {
	var checks []string
	for rule := range strings.SplitSeq(tag.Get("validate"), ",") {
		name, parameter, _ := strings.Cut(rule, "=")
		switch name {
		case "required":
			checks = append(checks, "required")
		case "ip_port":
			checks = append(checks, "IP:port")
		case "min":
			checks = append(checks, "at least "+parameter)
		case "oneof":
			checks = append(checks, "one of "+strings.ReplaceAll(parameter, " ", ", "))
		case "hostname_rfc1123":
			checks = append(checks, "host name")
		}
	}
	return strings.Join(checks, "; ")
}
