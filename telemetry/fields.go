package telemetry

import (
	"fmt"

	"github.com/samber/oops"
	"go.uber.org/zap"
)

// Error returns a log field with the message of err, followed by the step and the
// peer recorded in its context, without a stack trace. A nil error adds no field.
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
