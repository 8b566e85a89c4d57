package explain

import (
	"fmt"
	"strings"
)

// cause says in one sentence why the request ended as it did. It reports false if no line
// tells its end.
func cause(request []line) (string, bool) {
	last := request[len(request)-1]
	switch last.event {
	case "request_answered":
		return answered(request, last), true
	case "request_refused":
		return refused(request, last), true
	case "request_abandoned":
		return fmt.Sprintf("The caller left after %s ms and %s events; %s.", last.str("took_ms"), last.str("events"), stage(request)), true
	case "answer_broken":
		return broken(request, last), true
	default:
		return "", false
	}
}

// broken explains an answer that was cut off in its middle.
func broken(request []line, last line) string {
	if strings.Contains(last.str("err"), "deadline exceeded") {
		return fmt.Sprintf("The request's time was over after %s ms, when %s events had come; %s.", last.str("took_ms"), last.str("events"), stage(request))
	}
	return fmt.Sprintf("The answer was cut off after event %s: %s%s.", last.str("events"), last.str("err"), whyNotRepeated(request))
}

// answered explains a request that got a target's answer.
func answered(request []line, last line) string {
	instance := "an instance"
	if sent, ok := newest(request, "attempt_sent"); ok {
		instance = sent.str("instance")
	}
	if last.num("status") >= 400 {
		return fmt.Sprintf("Instance %s answered %s, which was passed on%s.", instance, last.str("status"), whyNotRepeated(request))
	}
	return fmt.Sprintf("Instance %s answered %s; the answer began after %s ms and ended after %s ms, in attempt %s.",
		instance, last.str("status"), last.str("first_event_ms"), last.str("took_ms"), last.str("attempt"))
}

// refused explains a request that got an answer of the router's own.
func refused(request []line, last line) string {
	switch last.str("code") {
	case "target_failed", "no_target", "targets_paused":
		ended, ok := newest(request, "attempt_ended")
		if !ok {
			return fmt.Sprintf("No instance could take the request: %s.", last.str("err"))
		}
		return fmt.Sprintf("Attempt %s at instance %s %s: %s%s.",
			ended.str("attempt"), ended.str("instance"), ended.str("outcome"), ended.str("err"), whyNotRepeated(request))
	case "deadline_exceeded":
		return fmt.Sprintf("The request's time was over after %s ms; %s.", last.str("took_ms"), stage(request))
	}
	if denied, ok := newest(request, "tokens_denied"); ok {
		return fmt.Sprintf("%s tokens of workspace %s could not be reserved: %s.", denied.str("wanted_tokens"), denied.str("workspace"), denied.str("err"))
	}
	return fmt.Sprintf("The router refused the request: %s.", last.str("err"))
}

// whyNotRepeated says why there was no other attempt, if that is known.
func whyNotRepeated(request []line) string {
	if _, ok := newest(request, "repeat_denied"); ok {
		return "; the retry budget allowed no other attempt"
	}
	if _, ok := newest(request, "request_repeated"); ok {
		return "; no further instance was allowed"
	}
	return "; the route allows no other attempt after that"
}

// stage says what the request was waiting for.
func stage(request []line) string {
	sent, ok := newest(request, "attempt_sent")
	if !ok {
		return "it had not been sent to an instance"
	}
	return fmt.Sprintf("attempt %s was at instance %s, which it was sent to after %s ms with %s requests running and %s prompt tokens waiting there",
		sent.str("attempt"), sent.str("instance"), sent.str("took_ms"), sent.str("running"), sent.str("reading_tokens"))
}

// newest returns the last line of an event.
func newest(request []line, event string) (line, bool) {
	for n := len(request) - 1; n >= 0; n-- {
		if request[n].event == event {
			return request[n], true
		}
	}
	return line{}, false
}
