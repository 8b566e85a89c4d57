package eventlog

//go:generate ../../../bin/stringer -type=Event -linecomment

// Event identifies what happened; its text is the message of the log line.
type Event int

// The events, grouped by component.
const (
	ProcessStarted       Event = iota // process_started
	ProcessDraining                   // process_draining
	ProcessDrained                    // process_drained
	ProcessFailed                     // process_failed
	StopRepeated                      // stop_repeated
	SettingsReloaded                  // settings_reloaded
	SettingsRejected                  // settings_rejected
	RouterBusy                        // router_busy
	RouterNotBusy                     // router_calm
	RouterWithdrawn                   // router_withdrawn
	RouterReturned                    // router_returned
	LoadReadFailed                    // load_unknown
	DirectoryChanged                  // directory_changed
	StoreLost                         // store_lost
	StoreRecovered                    // store_regained
	TableReadBroken                   // table_read_broken
	TableReadSlow                     // table_read_slow
	StoreRolledBack                   // store_era_began
	StoreEraRestored                  // store_era_restored
	StoreEraSettled                   // store_era_settled
	StoreEraUnsettled                 // store_era_unsettled
	PeerFound                         // peer_found
	PeerSuspected                     // peer_suspected
	PeerLost                          // peer_lost
	PeerLeaving                       // peer_leaving
	PeerConnectionFailed              // peer_connection_failed
	PlanAnnounced                     // plan_announced
	PlanInForce                       // plan_in_force
	PlanOutdated                      // plan_outdated
	PlanUnreadable                    // plan_unreadable
	EvacuationBegan                   // evacuation_began
	EvacuationChanged                 // evacuation_changed
	EvacuationEnded                   // evacuation_ended
	EvacuationUnreadable              // evacuation_unreadable
	TargetAnnounced                   // target_announced
	TargetGone                        // target_gone
	TargetUnreadable                  // target_unreadable
	TargetEjected                     // target_ejected
	TargetReadmitted                  // target_readmitted
	TargetLeaving                     // target_leaving
	TargetPaused                      // target_paused
	TargetCrashed                     // target_crashed
	TargetCold                        // target_cold
	TargetWarm                        // target_warm
	TargetWarmthUnknown               // target_warmth_unknown
	EngineSpeedChanged                // service_pace
	PromptBlocked                     // prompt_blocked
	BlockLearned                      // block_learnt
	BlockNarrowed                     // block_narrowed
	BlockEnded                        // block_ended
	BlockTrialSent                    // block_trial
	BlockUnwritten                    // block_unwritten
	BlockUnreadable                   // block_unreadable
	BlockNewsLost                     // block_news_lost
	JournalOpened                     // journal_opened
	JournalFailed                     // journal_failed
	JournalRecovered                  // journal_regained
	JournalReplaced                   // journal_replaced
	MirrorLost                        // mirror_lost
	MirrorRecovered                   // mirror_regained
	MirrorUnresponsive                // mirror_silent
	ClockReadFailed                   // clock_unknown
	TokensDrawn                       // tokens_drawn
	DrawFailed                        // draw_failed
	StoreEmpty                        // store_empty
	FormerHoldingClosed               // former_holding_closed
	TransferSent                      // gift_given
	TransferReceived                  // gift_taken
	HoldingReturned                   // holding_returned
	HoldingTransferred                // holding_passed_on
	TokensMayBeLost                   // tokens_may_be_lost
	DrawHintLost                      // invitation_lost
	ReturnFailed                      // tokens_kept
	RestoreFailed                     // restore_failed
	JournalReclaimed                  // journal_reclaimed
	HoldingReclaimed                  // holding_reclaimed
	ReclaimFailed                     // reclaim_failed
	DeferralFailed                    // deferral_failed
	FinalUsageLost                    // final_usage_lost
	TransferRefused                   // gift_refused
	RequestUnreadable                 // request_unreadable
	ConnectionFailed                  // connection_failed
	SocketOptionDenied                // socket_option_denied
	RequestRefused                    // request_refused
	RequestAnswered                   // request_answered
	RequestAbandoned                  // request_abandoned
	AnswerBroken                      // answer_broken
	RequestCutOff                     // request_cut_off
	AttemptSent                       // attempt_sent
	AttemptEnded                      // attempt_ended
	RequestRetried                    // request_repeated
	RetryDenied                       // repeat_denied
	TokensDenied                      // tokens_denied
	eventCount                        // event_count
)

//go:generate ../../../bin/stringer -type=Component -linecomment

// Component is the part of the process that emits an event.
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

// spec describes how an event is logged and documented.
type spec struct {
	component Component
	// lowPriority events may use only a part of the rate limit, so that they are dropped first.
	lowPriority bool
	// warning events are logged at level warn, all others at level info.
	warning bool
	// doc is the description on the reference page.
	doc string
	// fields lists the keys of the event's fields on the reference page.
	fields string
}

// requestFields are the keys that all events about a routed request have.
const requestFields = "request_id, route, service, workspace, plan_version, attempt, took_ms"

// specs describes each event; WriteReference publishes doc and fields.
var specs = [eventCount]spec{
	ProcessStarted:       {component: Process, doc: "the process has started", fields: "life, listen, pid"},
	ProcessDraining:      {component: Process, doc: "the process was asked to stop and directs callers to other routers", fields: "life"},
	ProcessDrained:       {component: Process, doc: "the process exits; err lists the work that was cut off", fields: "life, took_ms, err"},
	ProcessFailed:        {component: Process, warning: true, doc: "a component of the process failed; the process exits", fields: "life, err"},
	StopRepeated:         {component: Process, doc: "the process was asked again to stop; the stop goes on as it began", fields: "life, signal"},
	SettingsReloaded:     {component: Process, doc: "the settings were reloaded", fields: "cause, seeds"},
	SettingsRejected:     {component: Process, warning: true, doc: "the changed settings are invalid; the previous ones stay in effect", fields: "cause, err"},
	RouterBusy:           {component: Process, warning: true, doc: "the router is overloaded and leaves the directory", fields: "processor_percent, link_percent"},
	RouterNotBusy:        {component: Process, doc: "the router is no longer overloaded and is listed in the directory again", fields: "processor_percent, link_percent"},
	RouterWithdrawn:      {component: Process, warning: true, doc: "the router refuses requests since it is overloaded, and its readiness check fails from now on, so that callers leave that stay with its address", fields: "queueing_ms"},
	RouterReturned:       {component: Process, doc: "the router has not been overloaded for `[edge] withdraw_for`, and its readiness check succeeds again"},
	LoadReadFailed:       {component: Process, warning: true, doc: "the used processor time cannot be read; the router keeps its previous load state", fields: "err"},
	DirectoryChanged:     {component: Process, doc: "the number of routers that this router names to callers of its own failure domain has changed, or whether it is among them; alive, suspected, ready and busy count the routers of its view", fields: "named, names_self, alive, suspected, ready, busy"},
	StoreLost:            {component: Store, warning: true, doc: "the store does not answer polls of a table", fields: "table, age_ms, err"},
	StoreRecovered:       {component: Store, doc: "the store answers polls of the table again", fields: "table, away_ms"},
	TableReadBroken:      {component: Store, warning: true, doc: "an answer with rows of the table broke off after bytes of it had arrived, which are lost; wait_ms is the time until it began, read_ms the time since", fields: "table, bytes, wait_ms, read_ms, err"},
	TableReadSlow:        {component: Store, doc: "an answer with rows of the table has been arriving for a while and goes on; logged once", fields: "table, bytes, wait_ms, read_ms"},
	StoreRolledBack:      {component: Store, warning: true, doc: "the store was restored from an older copy, which starts a new era; writes made after that copy are lost", fields: "era, version, last_era, last_version"},
	StoreEraRestored:     {component: Store, doc: "this router has written its token holdings into the store's new era; corrected_tokens is the difference from the restored copy", fields: "era, workspaces, corrected_tokens, awaited"},
	StoreEraSettled:      {component: Store, doc: "all routers have written their token holdings into the store's era; tokens can be drawn again", fields: "era, took_ms, routers"},
	StoreEraUnsettled:    {component: Store, warning: true, doc: "only tokens that nobody can have drawn before are drawn, because routers that may have drawn tokens before the store was restored have not reported their holdings; err lists their process lives", fields: "era, for_ms, routers, err"},
	PeerFound:            {component: Peers, doc: "another router is considered alive", fields: "peer, id, failure_domain"},
	PeerSuspected:        {component: Peers, warning: true, doc: "another router does not respond", fields: "peer, id"},
	PeerLost:             {component: Peers, warning: true, doc: "another router has left the fleet or is considered dead", fields: "peer, id"},
	PeerLeaving:          {component: Peers, doc: "another router is draining and accepts no new callers", fields: "peer, id"},
	PeerConnectionFailed: {component: Peers, lowPriority: true, warning: true, doc: "a connection to another router failed", fields: "err"},
	PlanAnnounced:        {component: Plan, doc: "another router has a newer configuration, which has not arrived here yet", fields: "plan_version, in_force, peer"},
	PlanInForce:          {component: Plan, doc: "a new routing plan is in effect; it arrived from the store or from_peers, as a part of bytes in read_ms, was decoded in decode_ms and had been announced by another router announced_ms before", fields: "plan_version, row_version, routes, workspaces, from_peers, bytes, wait_ms, read_ms, decode_ms, announced_ms"},
	PlanOutdated:         {component: Plan, warning: true, doc: "requests are refused with `configuration_outdated` from now on until the configuration arrives that other routers have had for 2 s", fields: "plan_version, in_force"},
	PlanUnreadable:       {component: Plan, warning: true, doc: "a configuration cannot be decoded; the previous one stays in effect", fields: "row_version, err"},
	EvacuationBegan:      {component: Targets, warning: true, doc: "the operator has had a failure domain evacuated: nothing more is sent to its instances, of which there are as many; none of them may be known, if the domain does not exist", fields: "failure_domain, row_version, instances, from_peers"},
	EvacuationChanged:    {component: Targets, doc: "change is rewritten (the operator has written the row of an evacuation again) or missing (the store was rolled back to a copy without the row; the evacuation stays in force for 10 s, in which the operator can write it again)", fields: "failure_domain, row_version, change, from_peers"},
	EvacuationEnded:      {component: Targets, doc: "an evacuation was taken back, or its row was missing for too long; the instances of the failure domain get requests again", fields: "failure_domain, row_version, instances"},
	EvacuationUnreadable: {component: Targets, warning: true, doc: "a row of the operator about an evacuation can't be used; what was in force for that failure domain stays so", fields: "key, row_version, err"},
	TargetAnnounced:      {component: Targets, doc: "an instance announced itself or changed its announcement", fields: "instance, addr, service, draining, cold_ms, row_version"},
	TargetGone:           {component: Targets, doc: "the announcement of an instance was removed", fields: "instance, row_version"},
	TargetUnreadable:     {component: Targets, warning: true, doc: "an announcement names no instance; logged once as long as that is so", fields: "instance, row_version, err"},
	TargetEjected:        {component: Targets, warning: true, doc: "an instance failed too often and gets no new requests for until_ms", fields: "instance, addr, failing_percent, until_ms"},
	TargetReadmitted:     {component: Targets, doc: "an ejected instance served a request and gets requests again", fields: "instance, addr"},
	TargetLeaving:        {component: Targets, doc: "an instance announced in a response that it is shutting down; it gets no new requests", fields: "instance, addr, running"},
	TargetPaused:         {component: Targets, warning: true, doc: "an instance responded that it is overloaded; this router sends it no requests for pause_ms", fields: "instance, addr, running, pause_ms"},
	TargetCrashed:        {component: Targets, warning: true, doc: "an instance closed its connections and refuses new ones; parts are the shared parts of the prompts whose answers it had not begun", fields: "instance, addr, service, lost_attempts, parts"},
	TargetCold:           {component: Targets, doc: "an instance is cold for cold_ms and gets few requests; it told so (reason told), or may have restarted (reason presumed); owner: this router may send it some", fields: "instance, service, reason, cold_ms, owner"},
	TargetWarm:           {component: Targets, doc: "an instance is no longer cold; sent is the number of requests that this router sent it meanwhile", fields: "instance, service, sent"},
	TargetWarmthUnknown:  {component: Targets, warning: true, doc: "an announcement does not tell, within the range that can be meant, for how long its instance is cold; what was known before holds", fields: "instance, service, row_version"},
	EngineSpeedChanged:   {component: Targets, doc: "the measured speed of a service's engines has changed", fields: "service, tokens_per_ms, base_ms, step_us, stay_ms, samples"},
	PromptBlocked:        {component: Targets, warning: true, doc: "this router has decided that prompts with all of parts crash engines; requests with them are refused", fields: "parts, service, crashes, addrs, decided_by"},
	BlockLearned:         {component: Targets, warning: true, doc: "this router has learnt of such a decision from the store or another router", fields: "parts, service, crashes, addrs, decided_by"},
	BlockNarrowed:        {component: Targets, doc: "an engine has answered a prompt with a part of the block, so that the remaining parts are blocked", fields: "parts, service"},
	BlockEnded:           {component: Targets, doc: "prompts with the parts are sent to engines again; reason is answered (an engine answered one), not_needed (none arrived for 10 minutes), removed (from the store) or replaced (by another block)", fields: "parts, service, reason"},
	BlockTrialSent:       {component: Targets, warning: true, doc: "one request is sent in spite of the block, to find out whether that is still needed", fields: "parts, service, trials"},
	BlockUnwritten:       {component: Targets, lowPriority: true, warning: true, doc: "a change of a block could not be written to the store; it holds here, is told to other routers and written again", fields: "parts, service, err"},
	BlockUnreadable:      {component: Targets, warning: true, doc: "a row of the store is no block and is ignored; reason is its key", fields: "parts, service, reason, err"},
	BlockNewsLost:        {component: Targets, lowPriority: true, warning: true, doc: "another router could not be told about a crash or a block; it learns of blocks from the store", fields: "peer, err"},
	JournalOpened:        {component: Tokens, doc: "this process has opened the token journal and may spend tokens"},
	JournalFailed:        {component: Tokens, warning: true, doc: "the token journal cannot be written; spending continues up to the limits already written", fields: "err"},
	JournalRecovered:     {component: Tokens, doc: "the token journal can be written again", fields: "away_ms"},
	JournalReplaced:      {component: Tokens, warning: true, doc: "another process of this VM has taken over the token journal; this one stops spending", fields: "err"},
	MirrorLost:           {component: Tokens, warning: true, doc: "the router that keeps a copy of the token journal cannot be reached; spending continues up to the limits already written", fields: "err"},
	MirrorRecovered:      {component: Tokens, doc: "a router keeps a copy of the token journal again"},
	MirrorUnresponsive:   {component: Tokens, warning: true, doc: "the router that kept the journal copy of an ended process does not respond; the process's holdings are closed using its journal in the store", fields: "err"},
	ClockReadFailed:      {component: Tokens, warning: true, doc: "the clock that includes the time of suspends cannot be read; the monotonic clock is used instead", fields: "err"},
	TokensDrawn:          {component: Tokens, lowPriority: true, doc: "tokens were drawn from the store", fields: "workspace, tokens, left_tokens, prepaid_tokens"},
	DrawFailed:           {component: Tokens, warning: true, doc: "draws of a workspace's tokens have started to fail", fields: "workspace, tokens, left_tokens, prepaid_tokens, err"},
	StoreEmpty:           {component: Tokens, warning: true, doc: "the store has fewer tokens left than the draw needs", fields: "workspace, tokens, left_tokens, prepaid_tokens"},
	FormerHoldingClosed:  {component: Tokens, doc: "the holding of an ended process was closed and its unused tokens recovered", fields: "workspace, tokens"},
	TransferSent:         {component: Tokens, lowPriority: true, doc: "tokens were transferred to another router", fields: "workspace, tokens"},
	TransferReceived:     {component: Tokens, lowPriority: true, doc: "tokens were received from other routers", fields: "workspace, tokens"},
	HoldingReturned:      {component: Tokens, doc: "free tokens of a holding were returned to the store", fields: "workspace, tokens"},
	HoldingTransferred:   {component: Tokens, doc: "the free tokens of a stopping process were transferred to another router because the store is unavailable", fields: "workspace, tokens"},
	TokensMayBeLost:      {component: Tokens, warning: true, doc: "tokens were sent to another router, which did not acknowledge them", fields: "workspace, tokens, peer, err"},
	DrawHintLost:         {component: Tokens, lowPriority: true, warning: true, doc: "another router could not be notified of a workspace's demand for tokens; it draws them later", fields: "workspace, peer, err"},
	ReturnFailed:         {component: Tokens, warning: true, doc: "a stopping router could not return the tokens it no longer needs; it tries again until it ends, else the next process on this VM returns them", fields: "err"},
	RestoreFailed:        {component: Tokens, warning: true, doc: "this router's token holdings could not be written into the store's era; the write is retried", fields: "era, err"},
	JournalReclaimed:     {component: Tokens, warning: true, doc: "another router believed this VM to be lost and has taken over its token journal; this process opens it again and draws anew", fields: "err"},
	HoldingReclaimed:     {component: Tokens, doc: "what a lost VM can not have used of a holding was returned to the store", fields: "workspace, tokens"},
	ReclaimFailed:        {component: Tokens, warning: true, doc: "the tokens of a lost VM could not be reclaimed; this router tries again", fields: "err"},
	FinalUsageLost:       {component: Tokens, warning: true, doc: "another router could not be told what this VM has used of its tokens, which stops; if the store does not answer either, they stay out of reach until one that was told returns them", fields: "err"},
	DeferralFailed:       {component: Tokens, lowPriority: true, warning: true, doc: "another router has not kept a replica of this VM's bounds while the journal cannot be written; less is spent until it does", fields: "err"},
	TransferRefused:      {component: Tokens, warning: true, doc: "another router answered with a number of tokens that it cannot have transferred; they are not used", fields: "workspace, tokens, err"},
	RequestUnreadable:    {component: Requests, lowPriority: true, warning: true, doc: "a malformed request was rejected", fields: "status, err"},
	ConnectionFailed:     {component: Requests, lowPriority: true, warning: true, doc: "a connection to a caller failed", fields: "err"},
	SocketOptionDenied:   {component: Requests, doc: "the system denies the packet filter, or the minimum time to live as well, with which the router closes its listener; it closes in another way", fields: "err"},
	RequestRefused:       {component: Requests, warning: true, doc: "the router refused a request and answered it itself; ending is why, if attempts were sent", fields: requestFields + ", run, status, code, retry_after_ms, err, ending"},
	RequestAnswered:      {component: Requests, lowPriority: true, doc: "a request received a complete answer from a target", fields: requestFields + ", run, status, events, first_event_ms, used_tokens"},
	RequestAbandoned:     {component: Requests, doc: "the caller disconnected before the answer was complete", fields: requestFields + ", run, status, events, used_tokens, ending"},
	RequestCutOff:        {component: Requests, warning: true, doc: "the router stopped before a request was answered completely; conn_requests counts the requests of its connection, after_stop_ms is when it came", fields: requestFields + ", conn_requests, after_stop_ms, run, status, events, used_tokens, ending, err"},
	AnswerBroken:         {component: Requests, warning: true, doc: "an answer was cut off before its end; ending is why", fields: requestFields + ", run, status, events, used_tokens, ending, err"},
	AttemptSent:          {component: Requests, lowPriority: true, doc: "an attempt was sent to an instance; the fields are the inputs of the choice", fields: requestFields + ", instance, addr, reserved_tokens, running, reading_tokens, missing_tokens, failing_percent, relative_delay_percent, report_age_ms, store_age_ms"},
	AttemptEnded:         {component: Requests, warning: true, doc: "an attempt ended without a complete answer", fields: requestFields + ", instance, addr, outcome, run, status, events, err"},
	RequestRetried:       {component: Requests, doc: "a request is retried, or its stream is resumed at another instance", fields: requestFields + ", run, events, err"},
	RetryDenied:          {component: Requests, warning: true, doc: "the retry budget allows no further attempt", fields: requestFields + ", run, err"},
	TokensDenied:         {component: Requests, warning: true, doc: "tokens could not be reserved; err is the reason", fields: requestFields + ", wanted_tokens, store_age_ms, err"},
}
