package telemetry

import (
	"fmt"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

// Error is the field of an error: its message with the step and the peer at which
// it arose, without a stack trace. A nil error adds nothing.
func Error(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	text := err.Error()
	if detailed, ok := oops.AsOops(err); ok {
		for _, key := range []string{"step", "peer"} {
			if value, found := detailed.Context()[key]; found {
				text += fmt.Sprintf(" (%s %v)", key, value)
			}
		}
	}
	return zap.String("error", text)
}
