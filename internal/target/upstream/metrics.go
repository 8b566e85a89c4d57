package upstream

import "expvar"

var (
	opened         = expvar.NewInt("upstream_connections_opened")
	foreignAnswers = expvar.NewInt("upstream_foreign_answers")
)
