package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rosevalve/internal/request/forward"
)

// logLine returns one line of a log. fields begins with a comma or is empty.
func logLine(second, event, component, fields string) string {
	return `{"time":"2026-01-30T16:00:` + second + `Z","level":"info","msg":"` + event + `","component":"` + component + `"` + fields + "}\n"
}

// findRequest returns the history of request r1 from the logs of VMs a and b.
func findRequest(t *testing.T, a, b string) *Request {
	t.Helper()
	r, err := FindRequest("r1", []Log{{Name: "a", Lines: strings.NewReader(a)}, {Name: "b", Lines: strings.NewReader(b)}})
	assert.NilError(t, err)
	return r
}

func TestCause(t *testing.T) {
	sent := logLine("01.000000", "attempt_sent", "requests", `,"request_id":"r1","attempt":1,"instance":"i-1","took_ms":4,"running":7,"reading_tokens":900`)
	failed := logLine("02.000000", "attempt_ended", "requests", `,"request_id":"r1","attempt":1,"instance":"i-1","outcome":"failed","err":"read answer: EOF"`)
	for _, test := range []struct {
		name, log, want string
	}{{
		name: "no tokens",
		log: logLine("01.000000", "tokens_denied", "requests", `,"request_id":"r1","workspace":"w","wanted_tokens":900,"err":"used up"`) +
			logLine("01.000000", "request_refused", "requests", `,"request_id":"r1","code":"tokens","status":402`),
		want: "900 tokens of workspace w could not be reserved: used up.",
	}, {
		name: "cut at an instance, and no retry left",
		log: sent + failed + logLine("02.000000", "repeat_denied", "requests", `,"request_id":"r1"`) +
			logLine("02.000000", "request_refused", "requests", `,"request_id":"r1","code":"target_failed","status":502`),
		want: "Attempt 1 at instance i-1 failed: read answer: EOF; the retry budget allowed no further attempt.",
	}, {
		name: "blocked prompt",
		log:  logLine("01.000000", "request_refused", "requests", `,"request_id":"r1","code":"prompt_blocked","retry_after_ms":600000,"err":"prompts with the parts d crashed 5 engines"`),
		want: "The request was not sent to protect the engines: prompts with the parts d crashed 5 engines; such requests are refused for 600000 ms at least.",
	}, {
		name: "late",
		log:  sent + logLine("03.000000", "request_refused", "requests", `,"request_id":"r1","code":"deadline_exceeded","took_ms":2000`),
		want: "The request's deadline expired after 2000 ms; attempt 1 was in progress at instance i-1, where it was sent after 4 ms with 7 requests running and 900 prompt tokens waiting there.",
	}, {
		name: "cut off at its end",
		log:  sent + logLine("03.000000", "answer_broken", "requests", `,"request_id":"r1","events":57,"took_ms":5951,"err":"context deadline exceeded\nread: closed"`),
		want: "The request's deadline expired after 5951 ms, when 57 events had arrived; attempt 1 was in progress at instance i-1, where it was sent after 4 ms with 7 requests running and 900 prompt tokens waiting there.",
	}, {
		name: "time over in the answer",
		log:  sent + logLine("03.000000", "answer_broken", "requests", `,"request_id":"r1","events":57,"took_ms":5951,"ending":"time_over","err":"read: closed"`),
		want: "The request's deadline expired after 5951 ms, when 57 events had arrived; attempt 1 was in progress at instance i-1, where it was sent after 4 ms with 7 requests running and 900 prompt tokens waiting there.",
	}, {
		name: "caller's connection failed",
		log:  sent + logLine("03.000000", "answer_broken", "requests", `,"request_id":"r1","events":2,"ending":"caller_write_failed","err":"relay events: reset"`),
		want: "The answer could not be written to the caller after event 2: relay events: reset; attempt 1 was in progress at instance i-1, where it was sent after 4 ms with 7 requests running and 900 prompt tokens waiting there.",
	}, {
		name: "given up for its silence",
		log:  sent + failed + logLine("03.000000", "answer_broken", "requests", `,"request_id":"r1","events":5,"ending":"given_up_silent","err":"unexpected EOF"`),
		want: "The answer was cut off after event 5: unexpected EOF; a target had been given up because it was silent, and no other one completed the answer.",
	}, {
		name: "retry denied for another reason than the end",
		log: sent + logLine("01.500000", "repeat_denied", "requests", `,"request_id":"r1"`) + failed +
			logLine("02.000000", "request_refused", "requests", `,"request_id":"r1","code":"target_failed","ending":"no_target"`),
		want: "Attempt 1 at instance i-1 failed: read answer: EOF; no further instance could take the request.",
	}, {
		name: "cut off by a stop",
		log:  sent + logLine("03.000000", "request_cut_off", "requests", `,"request_id":"r1","conn_requests":2,"after_stop_ms":3105,"events":73,"took_ms":3698`),
		want: "The router stopped after 3698 ms and 73 events of the request, which was number 2 on its connection and came 3105 ms after the stop had begun; attempt 1 was in progress at instance i-1, where it was sent after 4 ms with 7 requests running and 900 prompt tokens waiting there.",
	}, {
		name: "process ended",
		log:  sent,
		want: "The log of a does not contain the end of this request; its last line is attempt_sent, so the process ended or the line was dropped.",
	}, {
		name: "process ended, next life known",
		log:  sent + logLine("04.500000", "process_started", "process", "") + logLine("05.000000", "process_started", "process", ""),
		want: "The process on a ended while the request was open, after its line attempt_sent; the next process started at 16:00:04.500.",
	}, {
		name: "error passed on",
		log:  sent + logLine("03.000000", "request_answered", "requests", `,"request_id":"r1","status":500`),
		want: "Instance i-1 answered 500, which was passed on to the caller; the route allows no retry after this failure.",
	}} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, findRequest(t, test.log, "").Cause(), test.want)
		})
	}
}

// TestEachEndingIsExplained checks that the cause tells each ending that a failed attempt can lead to.
func TestEachEndingIsExplained(t *testing.T) {
	wholeRequest := map[forward.Ending]bool{
		forward.EndingNone: true, forward.EndingRouterStop: true, forward.EndingCallerLeft: true,
		forward.EndingWriteFailed: true, forward.EndingTimeOver: true,
	}
	for e := forward.EndingNone; e <= forward.EndingTargetBrokeOff; e++ {
		_, ok := endings[e.String()]
		assert.Equal(t, ok, !wholeRequest[e], "%s", e)
	}
}

func TestBeliefsInForce(t *testing.T) {
	a := logLine("00.000000", "store_lost", "store", `,"table":"op"`) +
		logLine("00.100000", "process_started", "process", "") +
		logLine("00.200000", "plan_in_force", "plan", `,"plan_version":3`) +
		logLine("00.300000", "plan_in_force", "plan", `,"plan_version":4`) +
		logLine("00.400000", "target_ejected", "targets", `,"instance":"i-1"`) +
		logLine("00.400000", "target_ejected", "targets", `,"instance":"i-2"`) +
		logLine("01.000000", "attempt_sent", "requests", `,"request_id":"r1","instance":"i-1"`) +
		logLine("02.000000", "plan_in_force", "plan", `,"plan_version":5`)
	b := logLine("00.500000", "store_lost", "store", `,"table":"op"`)
	var events []string
	for _, l := range findRequest(t, a, b).state {
		events = append(events, l.vm+" "+l.event+" "+l.str("plan_version")+l.str("instance"))
	}
	assert.DeepEqual(t, events, []string{"a process_started ", "a plan_in_force 4", "a target_ejected i-1"})
}

func TestLinesBeginWithTheirMachine(t *testing.T) {
	log := "  1.0 edge-7 " + logLine("01.000000", "request_abandoned", "requests", `,"request_id":"r1"`) + "no event\n{broken\n"
	r := findRequest(t, log, "")
	assert.Equal(t, r.lines[0].vm, "edge-7")
}

func TestUnknownRequest(t *testing.T) {
	_, err := FindRequest("r1", []Log{{Lines: strings.NewReader("")}})
	assert.ErrorContains(t, err, `request "r1" is in none of 1 logs`)
}

// A request whose caller could not connect appears in no log; the error lists the downtimes
// instead.
func TestUnknownRequestTellsWhenProcessesWereOff(t *testing.T) {
	log := logLine("01.000000", "process_started", "process", "") + logLine("02.000000", "plan_in_force", "plan", "") +
		logLine("04.500000", "process_started", "process", "")
	_, err := FindRequest("r1", []Log{{Name: "a", Lines: strings.NewReader(log)}})
	assert.ErrorContains(t, err, "no process was logging on a from 16:00:02.000 to 16:00:04.500")
}
