package settings

import (
	"net/netip"

	"github.com/go-playground/validator/v10"
)

// isIPPort reports whether a field has the form "IP:port". Host names are rejected.
func isIPPort(fl validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(fl.Field().String())
	return err == nil
}
