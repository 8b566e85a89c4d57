package eventlog

//go:generate ../../../bin/stringer -type=Event -linecomment

// Event names what a line is about.
type Event int

// The events.
const (
	ProcessStarted       Event = iota // process_started
	ProcessDraining                   // process_draining
	ProcessDrained                    // process_drained
	ProcessFailed                     // process_failed
	SettingsReloaded                  // settings_reloaded
	SettingsRejected                  // settings_rejected
	RouterBusy                        // router_busy
	RouterCalm                        // router_calm
	LoadUnknown                       // load_unknown
	StoreLost                         // store_lost
	StoreRegained                     // store_regained
	StoreEraBegan                     // store_era_began
	StoreEraRestored                  // store_era_restored
	StoreEraSettled                   // store_era_settled
	StoreEraUnsettled                 // store_era_unsettled
	PeerFound                         // peer_found
	PeerSuspected                     // peer_suspected
	PeerLost                          // peer_lost
	PeerLeaving                       // peer_leaving
	PeerConnectionFailed              // peer_connection_failed
	PlanInForce                       // plan_in_force
	PlanUnreadable                    // plan_unreadable
	TargetAnnounced                   // target_announced
	TargetGone                        // target_gone
	TargetUnreadable                  // target_unreadable
	TargetEjected                     // target_ejected
	TargetReadmitted                  // target_readmitted
	TargetLeaving                     // target_leaving
	TargetPaused                      // target_paused
	ServicePace                       // service_pace
	JournalOpened                     // journal_opened
	JournalFailed                     // journal_failed
	JournalRegained                   // journal_regained
	JournalReplaced                   // journal_replaced
	MirrorLost                        // mirror_lost
	MirrorRegained                    // mirror_regained
	MirrorSilent                      // mirror_silent
	ClockUnknown                      // clock_unknown
	TokensDrawn                       // tokens_drawn
	DrawFailed                        // draw_failed
	StoreEmpty                        // store_empty
	FormerHoldingClosed               // former_holding_closed
	GiftGiven                         // gift_given
	GiftTaken                         // gift_taken
	HoldingReturned                   // holding_returned
	HoldingPassedOn                   // holding_passed_on
	TokensMayBeLost                   // tokens_may_be_lost
	InvitationLost                    // invitation_lost
	TokensKept                        // tokens_kept
	RestoreFailed                     // restore_failed
	RequestUnreadable                 // request_unreadable
	ConnectionFailed                  // connection_failed
	RequestRefused                    // request_refused
	RequestAnswered                   // request_answered
	RequestAbandoned                  // request_abandoned
	AnswerBroken                      // answer_broken
	AttemptSent                       // attempt_sent
	AttemptEnded                      // attempt_ended
	RequestRepeated                   // request_repeated
	RepeatDenied                      // repeat_denied
	TokensDenied                      // tokens_denied
	eventCount                        // event_count
)

//go:generate ../../../bin/stringer -type=Component -linecomment

// Component is the part of the process that an event comes from.
type Component int

// The components.
const (
	Process  Component = iota // process
	Store                     // store
	Peers                     // peers
	Plan                      // plan
	Targets                   // targets
	Tokens                    // tokens
	Requests                  // requests
)

// spec describes an event.
type spec struct {
	component Component
	// ordinary events give way to others when the budget is tight.
	ordinary bool
	// failure events are logged as warnings.
	failure bool
	doc     string
	fields  string
}

const requestFields = "request_id, route, service, workspace, plan_version, attempt, took_ms"

var specs = [eventCount]spec{
	ProcessStarted:       {component: Process, doc: "the process has begun", fields: "life, listen, pid"},
	ProcessDraining:      {component: Process, doc: "the process was told to stop; callers are sent elsewhere", fields: "life"},
	ProcessDrained:       {component: Process, doc: "the process ends; err tells what was cut off", fields: "life, took_ms, err"},
	ProcessFailed:        {component: Process, failure: true, doc: "a part of the process has failed; the process ends", fields: "life, err"},
	SettingsReloaded:     {component: Process, doc: "the settings were read again", fields: "cause, seeds"},
	SettingsRejected:     {component: Process, failure: true, doc: "changed settings are wrong; the former ones stay", fields: "cause, err"},
	RouterBusy:           {component: Process, failure: true, doc: "the router has more than it can carry and leaves the directory", fields: "processor_percent, link_percent"},
	RouterCalm:           {component: Process, doc: "the router is back in the directory", fields: "processor_percent, link_percent"},
	LoadUnknown:          {component: Process, failure: true, doc: "the used processor time can not be read; the router counts as before", fields: "err"},
	StoreLost:            {component: Store, failure: true, doc: "the store does not answer the poll of a table", fields: "table, age_ms, err"},
	StoreRegained:        {component: Store, doc: "the store answers again", fields: "table, away_ms"},
	StoreEraBegan:        {component: Store, failure: true, doc: "the store has come back from an older copy; what was written since that is gone", fields: "era, version, last_era, last_version"},
	StoreEraRestored:     {component: Store, doc: "this router has written what it holds into the store's new era; corrected_tokens tells how far the older copy was off", fields: "era, workspaces, corrected_tokens, awaited"},
	StoreEraSettled:      {component: Store, doc: "all routers have brought their tokens into the store's era; tokens are drawn", fields: "era, took_ms, routers"},
	StoreEraUnsettled:    {component: Store, failure: true, doc: "no tokens are drawn, since routers that may have drawn some before the store came back have not told; err names their lives", fields: "era, for_ms, routers, err"},
	PeerFound:            {component: Peers, doc: "another router is believed to live", fields: "peer, id, failure_domain"},
	PeerSuspected:        {component: Peers, failure: true, doc: "another router does not answer", fields: "peer, id"},
	PeerLost:             {component: Peers, failure: true, doc: "another router is believed to be gone", fields: "peer, id"},
	PeerLeaving:          {component: Peers, doc: "another router takes no new callers", fields: "peer, id"},
	PeerConnectionFailed: {component: Peers, ordinary: true, failure: true, doc: "a connection to another router ended with an error", fields: "err"},
	PlanInForce:          {component: Plan, doc: "requests are decided by a new routing plan from now on", fields: "plan_version, row_version, routes, workspaces, from_peers"},
	PlanUnreadable:       {component: Plan, failure: true, doc: "a configuration can not be read; the former one stays", fields: "row_version, err"},
	TargetAnnounced:      {component: Targets, doc: "an instance has announced itself or changed", fields: "instance, addr, service, draining, row_version"},
	TargetGone:           {component: Targets, doc: "an instance's announcement has vanished", fields: "instance, row_version"},
	TargetUnreadable:     {component: Targets, failure: true, doc: "an announcement describes no instance", fields: "instance, row_version, err"},
	TargetEjected:        {component: Targets, failure: true, doc: "an instance gets no new requests for a time", fields: "instance, addr, failing_percent, until_ms"},
	TargetReadmitted:     {component: Targets, doc: "an ejected instance has served a request", fields: "instance, addr"},
	TargetLeaving:        {component: Targets, doc: "an instance has said in an answer that it ends; it gets no new requests", fields: "instance, addr, running"},
	TargetPaused:         {component: Targets, failure: true, doc: "an instance that was too busy gets nothing from this router for a time", fields: "instance, addr, running, pause_ms"},
	ServicePace:          {component: Targets, doc: "answers show that a service's engines are faster or slower than was known", fields: "service, tokens_per_ms, base_ms, step_us, stay_ms, samples"},
	JournalOpened:        {component: Tokens, doc: "this life may spend tokens"},
	JournalFailed:        {component: Tokens, failure: true, doc: "the journal can not be written from now on; spending goes on within its bounds", fields: "err"},
	JournalRegained:      {component: Tokens, doc: "the journal is written again", fields: "away_ms"},
	JournalReplaced:      {component: Tokens, failure: true, doc: "another life of this VM has the journal; this one spends no more", fields: "err"},
	MirrorLost:           {component: Tokens, failure: true, doc: "the router with the copy of the journal can not be told more; spending goes on within its bounds", fields: "err"},
	MirrorRegained:       {component: Tokens, doc: "a router keeps a copy of the journal again"},
	MirrorSilent:         {component: Tokens, failure: true, doc: "the mirror of an ended life does not answer; its holdings are closed by its journal", fields: "err"},
	ClockUnknown:         {component: Tokens, failure: true, doc: "the clock that counts suspends can not be read; the steady clock stands for it", fields: "err"},
	TokensDrawn:          {component: Tokens, ordinary: true, doc: "tokens came from the store", fields: "workspace, tokens, left_tokens, prepaid_tokens"},
	DrawFailed:           {component: Tokens, failure: true, doc: "no tokens can be drawn from now on", fields: "workspace, tokens, left_tokens, prepaid_tokens, err"},
	StoreEmpty:           {component: Tokens, failure: true, doc: "the store has fewer tokens left than a draw needs", fields: "workspace, tokens, left_tokens, prepaid_tokens"},
	FormerHoldingClosed:  {component: Tokens, doc: "the holding of an ended life was closed; tokens came back", fields: "workspace, tokens"},
	GiftGiven:            {component: Tokens, ordinary: true, doc: "tokens went to another router", fields: "workspace, tokens"},
	GiftTaken:            {component: Tokens, ordinary: true, doc: "tokens came from other routers", fields: "workspace, tokens"},
	HoldingReturned:      {component: Tokens, doc: "free tokens of a holding went back to the store", fields: "workspace, tokens"},
	HoldingPassedOn:      {component: Tokens, doc: "another router has taken this life's tokens, since the store is away", fields: "workspace, tokens"},
	TokensMayBeLost:      {component: Tokens, failure: true, doc: "tokens went to another router, which did not answer", fields: "workspace, tokens, peer, err"},
	InvitationLost:       {component: Tokens, ordinary: true, failure: true, doc: "another router could not be told that a workspace is in demand; it draws later", fields: "workspace, peer, err"},
	TokensKept:           {component: Tokens, failure: true, doc: "a router that ends could not return the tokens that it does not need any more; its next life will", fields: "err"},
	RestoreFailed:        {component: Tokens, failure: true, doc: "this router's tokens could not be brought into the store's era; it tries again", fields: "era, err"},
	RequestUnreadable:    {component: Requests, ordinary: true, failure: true, doc: "a request could not be read and was refused", fields: "status, err"},
	ConnectionFailed:     {component: Requests, ordinary: true, failure: true, doc: "a caller's connection ended with an error", fields: "err"},
	RequestRefused:       {component: Requests, failure: true, doc: "a request got an answer of the router's own", fields: requestFields + ", run, status, code, retry_after_ms, err"},
	RequestAnswered:      {component: Requests, ordinary: true, doc: "a request got a target's whole answer", fields: requestFields + ", run, status, events, first_event_ms, used_tokens"},
	RequestAbandoned:     {component: Requests, doc: "the caller left before the end", fields: requestFields + ", run, status, events, used_tokens"},
	AnswerBroken:         {component: Requests, failure: true, doc: "an answer was cut off in its middle", fields: requestFields + ", run, status, events, used_tokens, err"},
	AttemptSent:          {component: Requests, ordinary: true, doc: "a request goes to an instance, chosen by what is told here", fields: requestFields + ", instance, addr, reserved_tokens, running, reading_tokens, missing_tokens, failing_percent, report_age_ms, store_age_ms"},
	AttemptEnded:         {component: Requests, failure: true, doc: "an attempt came to another end than a whole answer", fields: requestFields + ", instance, addr, outcome, run, status, events, err"},
	RequestRepeated:      {component: Requests, doc: "a request is sent again, or its stream goes on elsewhere", fields: requestFields + ", run, events, err"},
	RepeatDenied:         {component: Requests, failure: true, doc: "the retry budget allows no other attempt", fields: requestFields + ", run, err"},
	TokensDenied:         {component: Requests, failure: true, doc: "tokens could not be reserved; err tells why", fields: requestFields + ", wanted_tokens, store_age_ms, err"},
}
