package upstream

import "expvar"

var (
	connsOpened         = expvar.NewInt("upstream_connections_opened")
	mismatchedResponses = expvar.NewInt("upstream_foreign_answers")
)
