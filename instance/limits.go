package instance

import (
	"net/http"
	"time"

	"github.com/pomelocross/pomelocross/limit"
)

// codeTokenRate is the answer code of a team that has used up its token rate.
const codeTokenRate = "token_rate"

// rateShares returns the parts of the teams' token rates that this instance may
// use.
func rateShares(v *View, domain string) map[string]limit.Share {
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

func refuseRate(retryAfter time.Duration) *refusal {
	return &refusal{
		status: http.StatusTooManyRequests, code: codeTokenRate, message: "the team's token rate is used up",
		notRun: true, retryAfter: retryAfter,
	}
}
