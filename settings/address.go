package settings

import (
	"net/netip"

	"github.com/go-playground/validator/v10"
)

// isIPPort accepts "IP:port" with an IP number, never a host name.
func isIPPort(fl validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(fl.Field().String())
	return err == nil
}
