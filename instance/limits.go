package instance

import (
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/limit"
)

// codeTokenRate is the error code for a team that has exceeded its token rate.
const codeTokenRate = "token_rate"

// tokenRateShares returns this instance's share of each team's token rate, by team.
func tokenRateShares(v *View, domain string) map[string]limit.Share {
	shares := map[string]limit.Share{}
	if v.Contract == nil {
		return shares
	}
	for _, team := range v.Contract.Bundle.Teams {
		shares[team.Name] = limit.Share{
			TokensPerMinute: team.TokensPerMinute,
			Domains:         len(v.Contract.Bundle.Domains),
			Instances:       len(v.Domain.Peers(domain)),
		}
	}
	return shares
}

func tokenRateExceeded(retryAfter time.Duration) *errorResponse {
	return &errorResponse{
		status: http.StatusTooManyRequests, code: codeTokenRate, message: "the team's token rate is used up",
		notRun: true, retryAfter: retryAfter,
	}
}
