package settings

import (
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Document writes the settings as the page docs/SETTINGS.md, from the tags of
// Settings.
func Document(w io.Writer) {
	fmt.Fprint(w, "# Settings\n\n"+
		"Flags of `pomelocrossd`, each with its environment variable. Flags win. All\n"+
		"faults are reported at once, and nothing starts; `--check` prints the effective\n"+
		"settings with secrets masked and ends. This page is generated from the code:\n"+
		"`UPDATE=1 go test ./settings`.\n\n")
	Table(w, &Settings{})
}

// Table writes the settings of a struct with the tags that Settings has, a row
// each.
func Table(w io.Writer, s any) {
	fmt.Fprint(w, "| flag | variable | default | check | meaning |\n|---|---|---|---|---|\n")
	for _, f := range fields(s) {
		variable := f.Tag.Get("env")
		if variable == "-" {
			variable = ""
		}
		fmt.Fprintf(w, "| `--%s` | %s | %s | %s | %s |\n", f.flag(), code(variable), code(f.Tag.Get("envDefault")),
			checkOf(f.Tag), strings.ReplaceAll(f.Tag.Get("usage"), "|", "\\|"))
	}
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}

// checkOf puts a validation tag into words.
func checkOf(tag reflect.StructTag) string {
	var words []string
	for rule := range strings.SplitSeq(tag.Get("validate"), ",") {
		name, parameter, _ := strings.Cut(rule, "=")
		switch name {
		case "required":
			words = append(words, "required")
		case "ip_port":
			words = append(words, "IP:port")
		case "min":
			words = append(words, "at least "+parameter)
		case "oneof":
			words = append(words, "one of "+strings.ReplaceAll(parameter, " ", ", "))
		case "hostname_rfc1123":
			words = append(words, "host name")
		}
	}
	return strings.Join(words, "; ")
}
