package dispatch

import "expvar"

var (
	wrongUsage    = expvar.NewInt("target_wrong_usage")
	retriesMade   = expvar.NewInt("request_retries")
	retriesDenied = expvar.NewInt("request_retries_denied")
)
