package dispatch

import "expvar"

var (
	wrongUsage      = expvar.NewInt("target_wrong_usage")
	retriesMade     = expvar.NewInt("request_retries")
	retriesDenied   = expvar.NewInt("request_retries_denied")
	attemptsFailed  = expvar.NewMap("target_attempts_failed") // by attemptEnd
	requestsGivenUp = expvar.NewMap("request_given_up")       // by giveUp
)
