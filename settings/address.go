package settings

import (
	"net/netip"

	"github.com/go-playground/validator/v10"
)

// isIPPort reports whether a field has the form "IP:port". Host names are rejected.
func isIPPort(field validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(field.Field().String())
	return err == nil
}
