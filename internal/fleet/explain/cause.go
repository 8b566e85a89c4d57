package explain

import (
	"fmt"
	"strings"
)

// cause returns one sentence that explains the outcome of the request. It returns false if the
// last line is not the end of the request.
func cause(request []line) (string, bool) {
	last := request[len(request)-1]
	switch last.event {
	case "request_answered":
		return explainAnswered(request, last), true
	case "request_refused":
		return explainRefused(request, last), true
	case "request_abandoned":
		return fmt.Sprintf("The caller disconnected after %s ms and %s events; %s.", last.str("took_ms"), last.str("events"), describeProgress(request)), true
	case "request_cut_off":
		return explainCutOff(request, last), true
	case "answer_broken":
		return explainBroken(request, last), true
	default:
		return "", false
	}
}

// endings gives the clause for each value of the field ending that a failed attempt has led to.
var endings = map[string]string{
	"given_up_silent":  "a target had been given up because it was silent, and no other one completed the answer",
	"retry_denied":     "the retry budget allowed no further attempt",
	"no_target":        "no further instance could take the request",
	"attempts_spent":   "the route allows no further attempt",
	"no_memory":        "this router's memory for answers was used up",
	"target_invalid":   "the route allows no retry after an answer that can not be relayed",
	"target_broke_off": "the route allows no retry after the target closed the connection",
}

// explainBroken explains an answer that was cut off before its end.
func explainBroken(request []line, last line) string {
	switch {
	case last.str("ending") == "caller_write_failed":
		return fmt.Sprintf("The answer could not be written to the caller after event %s: %s; %s.", last.str("events"), last.str("err"), describeProgress(request))
	case last.str("ending") == "time_over", last.str("ending") == "" && strings.Contains(last.str("err"), "deadline exceeded"):
		return fmt.Sprintf("The request's deadline expired after %s ms, when %s events had arrived; %s.", last.str("took_ms"), last.str("events"), describeProgress(request))
	}
	return fmt.Sprintf("The answer was cut off after event %s: %s%s.", last.str("events"), last.str("err"), whyNotRetried(request))
}

// explainCutOff explains a request that was in flight when its router stopped.
func explainCutOff(request []line, last line) string {
	return fmt.Sprintf("The router stopped after %s ms and %s events of the request, which was number %s on its connection and came %s ms after the stop had begun; %s.",
		last.str("took_ms"), last.str("events"), last.str("conn_requests"), last.str("after_stop_ms"), describeProgress(request))
}

// explainAnswered explains a request that received a complete answer from a target.
func explainAnswered(request []line, last line) string {
	instance := "an instance"
	if sent, ok := lastOf(request, "attempt_sent"); ok {
		instance = sent.str("instance")
	}
	if last.num("status") >= 400 {
		return fmt.Sprintf("Instance %s answered %s, which was passed on to the caller%s.", instance, last.str("status"), whyNotRetried(request))
	}
	return fmt.Sprintf("Instance %s answered %s; the answer began after %s ms and ended after %s ms, in attempt %s.",
		instance, last.str("status"), last.str("first_event_ms"), last.str("took_ms"), last.str("attempt"))
}

// explainRefused explains a request that the router answered itself.
func explainRefused(request []line, last line) string {
	switch last.str("code") {
	case "target_failed", "no_target", "targets_paused":
		ended, ok := lastOf(request, "attempt_ended")
		if !ok {
			return fmt.Sprintf("No instance was available for the request: %s.", last.str("err"))
		}
		return fmt.Sprintf("Attempt %s at instance %s %s: %s%s.",
			ended.str("attempt"), ended.str("instance"), ended.str("outcome"), ended.str("err"), whyNotRetried(request))
	case "targets_cold":
		return fmt.Sprintf("All instances that could get the request were cold and took none of this router: %s.", last.str("err"))
	case "prompt_blocked":
		return fmt.Sprintf("The request was not sent to protect the engines: %s; such requests are refused for %s ms at least.", last.str("err"), last.str("retry_after_ms"))
	case "deadline_exceeded":
		return fmt.Sprintf("The request's deadline expired after %s ms; %s.", last.str("took_ms"), describeProgress(request))
	}
	if denied, ok := lastOf(request, "tokens_denied"); ok {
		return fmt.Sprintf("%s tokens of workspace %s could not be reserved: %s.", denied.str("wanted_tokens"), denied.str("workspace"), denied.str("err"))
	}
	return fmt.Sprintf("The router refused the request: %s.", last.str("err"))
}

// whyNotRetried returns a clause that gives the reason why there was no further attempt.
func whyNotRetried(request []line) string {
	if clause, ok := endings[request[len(request)-1].str("ending")]; ok {
		return "; " + clause
	}
	if _, ok := lastOf(request, "repeat_denied"); ok {
		return "; the retry budget allowed no further attempt"
	}
	if _, ok := lastOf(request, "request_repeated"); ok {
		return "; no attempt at a further instance was allowed"
	}
	return "; the route allows no retry after this failure"
}

// describeProgress returns a clause that states how far the request had come.
func describeProgress(request []line) string {
	sent, ok := lastOf(request, "attempt_sent")
	if !ok {
		return "it had not yet been sent to an instance"
	}
	return fmt.Sprintf("attempt %s was in progress at instance %s, where it was sent after %s ms with %s requests running and %s prompt tokens waiting there",
		sent.str("attempt"), sent.str("instance"), sent.str("took_ms"), sent.str("running"), sent.str("reading_tokens"))
}

// lastOf returns the last line of the event, and false if the request has no such line.
func lastOf(request []line, event string) (line, bool) {
	for n := len(request) - 1; n >= 0; n-- {
		if request[n].event == event {
			return request[n], true
		}
	}
	return line{}, false
}
