package event

import "github.com/rs/zerolog"

// Events of the gateway: the entry on the users' platform.
var (
	AttemptPlaced          = Event{8001, "attemptPlaced", zerolog.InfoLevel, "an upstream was chosen for an attempt; the line has the data that the choice was based on. For a stream that goes on, after is the last event that its caller has, and begunBy the request that brought the first one if the caller takes it up"}
	AttemptEnded           = Event{8002, "attemptEnded", zerolog.InfoLevel, "an attempt ended; result is its outcome and tookMs its duration. For an answer, framing is how its end is marked, bytes its length, lastEvent the last event that was relayed; insideEvent means that its bytes end within an event. For a failure, parts are those of the prompt, the last one the request's own and at most 32 of the last (partsLeftOut counts the others), fingerprints identify the request whenever it comes again, and began tells whether its stream had begun: if not, the request may have crashed the engine"}
	RequestEnded           = Event{8003, "requestEnded", zerolog.InfoLevel, "a request ended; the line has the final answer or the reason why there was none. If its key was refused, key is the reason and keyFingerprint tells keys apart while this process runs"}
	RequestRetried         = Event{8004, "requestRetried", zerolog.InfoLevel, "an attempt failed; the line has whether the request is retried, and the reason"}
	StreamResumed          = Event{8005, "streamResumed", zerolog.InfoLevel, "a stream broke off and is resumed at another engine after the last complete event"}
	CacheReleased          = Event{8006, "cacheReleased", zerolog.DebugLevel, "the KV cache of a prompt was released because no engine imports it"}
	RoutingApplied         = Event{8010, "routingApplied", zerolog.InfoLevel, "this process applied a version of the routing configuration"}
	RoutingInvalid         = Event{8011, "routingInvalid", zerolog.ErrorLevel, "the routing configuration could not be decoded; the previous one stays in force"}
	UpstreamChanged        = Event{8012, "upstreamChanged", zerolog.InfoLevel, "an upstream's object was added, changed or removed"}
	UpstreamInvalid        = Event{8013, "upstreamInvalid", zerolog.WarnLevel, "an upstream's object could not be decoded; the upstream is not used"}
	StoreLost              = Event{8014, "storeLost", zerolog.WarnLevel, "the metadata store does not answer; the last known configuration stays in force"}
	StoreRegained          = Event{8015, "storeRegained", zerolog.InfoLevel, "the metadata store answers again after downMs"}
	ReadinessChanged       = Event{8016, "readinessChanged", zerolog.InfoLevel, "this process changed the readiness that it reports to the load balancer"}
	UpstreamRests          = Event{8017, "upstreamRests", zerolog.InfoLevel, "an upstream is in back-off for restMs because of an attempt's outcome and gets no new work"}
	CachesWatched          = Event{8018, "cachesWatched", zerolog.InfoLevel, "the number of engines whose prefix caches this process watches; for services with too many engines it estimates the caches from its own requests only"}
	CacheForgotten         = Event{8019, "cacheForgotten", zerolog.InfoLevel, "this process discarded its view of an engine's prefix cache because the engine restarted or changes were missed"}
	RoleLeaseTaken         = Event{8020, "roleLeaseTaken", zerolog.InfoLevel, "this process acquired the role lease and orders the engines' roles; term is its fencing token"}
	RoleLeaseLost          = Event{8021, "roleLeaseLost", zerolog.WarnLevel, "this process no longer orders roles: another process acquired the lease, or the outcome of a renewal is unknown"}
	RoleLeaseUnread        = Event{8025, "roleLeaseUnread", zerolog.InfoLevel, "the role lease could not be read, decoded or renewed; this process tries again in the next round"}
	CacheUnread            = Event{8026, "cacheUnread", zerolog.DebugLevel, "an engine's prefix cache could not be read; after some seconds this process estimates it from its own requests only"}
	PolicyApplied          = Event{8027, "policyApplied", zerolog.InfoLevel, "the holder of the role lease applies the policy of the preset that an operator put in force"}
	PolicyUnread           = Event{8028, "policyUnread", zerolog.InfoLevel, "the preset in force could not be read or decoded; the previous policy stays in force"}
	EntriesCounted         = Event{8030, "entriesCounted", zerolog.InfoLevel, "the number of entries, including this one, that share the platform's limits"}
	EntryLapsed            = Event{8031, "entryLapsed", zerolog.InfoLevel, "an entry's registration expired without renewal and is removed"}
	EntryLeft              = Event{8032, "entryLeft", zerolog.InfoLevel, "this process is stopping and removes its registration"}
	RosterUnread           = Event{8033, "rosterUnread", zerolog.InfoLevel, "the entries' registrations could not be read, or this entry's could not be written; the last count stays in force"}
	StoreEraBegan          = Event{8034, "storeEraBegan", zerolog.WarnLevel, "the metadata store came back from an older copy: everything is read again, and what this process wrote since the copy is written again; oldRevision is the newest one seen before"}
	StoreEraInvalid        = Event{8035, "storeEraInvalid", zerolog.WarnLevel, "an answer of the metadata store names no era, or one before the newest; it is not used, and a write is of unknown outcome"}
	UpstreamsSettled       = Event{8036, "upstreamsSettled", zerolog.InfoLevel, "some time after the store's return its list of upstreams is in force in full; the line has how many known ones are missing in it, which now are gone"}
	PresetLost             = Event{8037, "presetLost", zerolog.ErrorLevel, "the store came back from an older copy without the preset in force, or with an older choice; the known one stays in force in this process until an operator chooses again"}
	LimitChanged           = Event{8038, "limitChanged", zerolog.InfoLevel, "an upstream named the requests a second that it takes from all entries together, or took that limit back; the line has the limit"}
	LimitMalformed         = Event{8039, "limitMalformed", zerolog.WarnLevel, "an upstream named a request limit that cannot be read; what was known of it stays in force"}
	RegistrationInvalid    = Event{8040, "registrationInvalid", zerolog.WarnLevel, "an entry's registration could not be decoded; the entry is counted and has no claim to upstreams' request limits"}
	LimitReported          = Event{8041, "limitReported", zerolog.InfoLevel, "another entry reports the request limit that an upstream named to it, or that there is none any more; this entry goes by it unless the upstream has answered it lately"}
	StreamWaits            = Event{8042, "streamWaits", zerolog.InfoLevel, "a stream broke off and waits for waitMs to be resumed, because upstreams' request limits are used up or they have asked for a pause"}
	CallerTimedOut         = Event{8043, "callerTimedOut", zerolog.InfoLevel, "a caller's connection was closed because it sent no complete header in time, or stayed idle for too long; the line has the caller's address, which requestEnded names too if its caller left"}
	PartQuarantined        = Event{8044, "partQuarantined", zerolog.WarnLevel, "a part of prompts, or the request with a fingerprint, crashes the service's engines: requests with it are refused. source is what this entry knows it from: attempts that broke off here and at other entries, or the store"}
	PartReleased           = Event{8045, "partReleased", zerolog.InfoLevel, "a part of prompts, or a request, is no longer in quarantine: an answer to it was completed, or its entry did not renew it"}
	QuarantineUnwritten    = Event{8046, "quarantineUnwritten", zerolog.InfoLevel, "the store did not accept a change of the quarantine, or another entry was faster; it is tried again if it is still due"}
	QuarantineInvalid      = Event{8047, "quarantineInvalid", zerolog.WarnLevel, "an object of the quarantine could not be decoded and is ignored"}
	StreamsUnwritten       = Event{8048, "streamsUnwritten", zerolog.InfoLevel, "the store did not accept the streams that this entry has begun while several software versions serve; they are written again. Streams that were begun since can be taken up only where one of the entries that were told of them is asked"}
	StreamsInvalid         = Event{8049, "streamsInvalid", zerolog.WarnLevel, "an entry's object of begun streams could not be decoded; these can be taken up only where one of the entries that were told of them is asked"}
	LeavingAnnounced       = Event{8050, "leavingAnnounced", zerolog.InfoLevel, "an upstream has announced in an answer that it leaves; this entry sends it no new work until it has started again"}
	PauseAsked             = Event{8051, "pauseAsked", zerolog.InfoLevel, "an upstream that turned a request away asks for a pause; until untilMs this entry sends it nothing. pauseMs is less than what was asked for if that exceeds the bound"}
	PauseMalformed         = Event{8052, "pauseMalformed", zerolog.WarnLevel, "an upstream asks for a pause that cannot be read; it changes nothing"}
	ObserverChanged        = Event{8053, "observerChanged", zerolog.InfoLevel, "this entry begins or ceases to follow what all entries report of crashes, because of which entries there are"}
	VersionsRecorded       = Event{8054, "versionsRecorded", zerolog.InfoLevel, "this entry has written the software versions of a service at which streams may begin, because upstreams of a new one were registered or one has not been seen for some time"}
	VersionsUnwritten      = Event{8055, "versionsUnwritten", zerolog.InfoLevel, "the software versions of a service could not be read or written; it is tried again. Until then, answers begin at engines of a new version only if there are no others, and not in the first 2 s"}
	StreamTakenUp          = Event{8056, "streamTakenUp", zerolog.InfoLevel, "a caller takes up a stream that broke off; software is the version at which it must go on, and source where this entry has found it. Without it the request is refused"}
	PeerUntold             = Event{8057, "peerUntold", zerolog.DebugLevel, "a message to another entry was not sent; streams of this entry have one copy less, or a question one answer less"}
	PeerUnread             = Event{8058, "peerUnread", zerolog.InfoLevel, "a message of another entry could not be received or decoded; it is ignored"}
	RoutingProblem         = Event{8059, "routingProblem", zerolog.ErrorLevel, "a part of the routing configuration is not usable and is ignored, the rest is in force. problem is the reason: a key that several workspaces have belongs to none of them; index is that of the workspace in the list, and key that of the key in the workspace's list"}
	KeysUnconfirmed        = Event{8060, "keysUnconfirmed", zerolog.WarnLevel, "strict revocation is set and the store has not confirmed the configuration in time; requests that need a key are refused until it does"}
	KeysConfirmed          = Event{8061, "keysConfirmed", zerolog.InfoLevel, "the store has confirmed the configuration again; requests with keys are served"}
	RoleLeaseReleased      = Event{8064, "roleLeaseReleased", zerolog.InfoLevel, "this process stops and released the role lease after its last act, so that another one can acquire it at once; with an error, the others wait until it has expired"}
	UsageFrozen            = Event{8065, "usageFrozen", zerolog.InfoLevel, "the report of a window's usage was written to the store; its counts no longer change, and it is sent next"}
	UsageAccepted          = Event{8066, "usageAccepted", zerolog.InfoLevel, "the platform accepted the report of a window's usage; ageMs is the time since the end of the window"}
	UsageRepeated          = Event{8067, "usageRepeated", zerolog.InfoLevel, "the report of a window's usage is sent again without a change, because the last call failed (lastError) or another process may have sent it"}
	UsageGivenUp           = Event{8068, "usageGivenUp", zerolog.ErrorLevel, "the usage of the windows from first to last is not reported: it was refused for good, it is too old, or other counts may have been reported that the store has lost"}
	UsageUnstored          = Event{8069, "usageUnstored", zerolog.WarnLevel, "the usage reports could not be read from the store, decoded or written; it is tried again, and until then no further window is reported"}
	UsageRead              = Event{8070, "usageRead", zerolog.InfoLevel, "the holder of the role lease has read which windows were reported, and the reports that it has to repeat"}
	DutyUnsupported        = Event{8071, "dutyUnsupported", zerolog.ErrorLevel, "the platform requires a duty that this process does not perform; the line has the reason"}
	UsageClockCorrected    = Event{8072, "usageClockCorrected", zerolog.InfoLevel, "this process changed its estimate of true time, by which usage is counted, by changeMs: the median of what it and its peers measured at their starts"}
	UsageMessageIgnored    = Event{8073, "usageMessageIgnored", zerolog.DebugLevel, "a message of another entry about usage is malformed or absurd, or exceeds what is kept; what cannot be used of it is ignored"}
	UsageCountersLost      = Event{8074, "usageCountersLost", zerolog.WarnLevel, "counts of usage were not kept because of too many processes, workspaces or counters, a name that is too long or a window that was dropped; reports may be too low. The line has how many since the last such line"}
	UsageCountersAsked     = Event{8075, "usageCountersAsked", zerolog.InfoLevel, "this process asked the collecting entries for their counts of usage; missing are those that have not answered completely"}
	WorkUnread             = Event{8078, "workUnread", zerolog.InfoLevel, "a message of another entry about the prompts that it placed could not be decoded and is ignored; engines' backlogs are underestimated by these. Logged at most every 10 s"}
	WorkShared             = Event{8079, "workShared", zerolog.InfoLevel, "the entries of the deployment begin or cease to tell each other which prompts they place, because of their number"}
	WorkDistrusted         = Event{8080, "workDistrusted", zerolog.WarnLevel, "another entry reports more work than it can have placed; its reports are ignored for 30 s. Logged at most every 10 s; check the log and the clock of that entry"}
	ScarcityBegan          = Event{8082, "scarcityBegan", zerolog.InfoLevel, "requests for a service are refused as too late, or far beyond their target: its engine time is divided among workspaces. The line has the fair rate in milliseconds of engine time a second, how many workspaces offer more, the least share that is admitted of what they offer, and the entry by whose rates it is divided"}
	ScarcityEnded          = Event{8083, "scarcityEnded", zerolog.InfoLevel, "engine time of a service is no longer divided among workspaces; the line has how long that lasted and how many requests this entry refused meanwhile"}
	SharesRefused          = Event{8084, "sharesRefused", zerolog.InfoLevel, "a service is still scarce; the line has how many requests this entry has refused since that began, and the figures of scarcityBegan as they are now"}
	ShareMessageIgnored    = Event{8085, "shareMessageIgnored", zerolog.DebugLevel, "a message of another entry about shares is malformed or absurd; it is ignored"}
	HeldBytesFull          = Event{8090, "heldBytesFull", zerolog.WarnLevel, "the bytes of requests, of parsed headers, or of answers that this process holds have reached their bound: further long requests and headers are refused, or long answers and events are relayed in parts, so that they cannot be resumed elsewhere. The line has the bytes of that kind, how many callers do not read, and how many requests, answers and headers met the bound since the start. Logged at most every 10 s"}
	CallersFull            = Event{8091, "callersFull", zerolog.WarnLevel, "a listener has as many connections as its bound: the one that has waited for its caller for longest is closed for each new one, or the new one if all callers wait for answers. The line has how many have an unfinished request or are idle now, and how many were closed and refused since the start. Logged at most every 10 s"}
	StoreCallFailed        = Event{8092, "storeCallFailed", zerolog.InfoLevel, "a call of the metadata store got no whole answer; the error says how far the call had come, of which size the answer was, and after which time"}
	ShortageReported       = Event{8093, "shortageReported", zerolog.InfoLevel, "streams of a software version wait for a decode engine of it, as this process reaches none: it reports that to the holder of the role lease. Logged once for each shortage"}
	ShortageForecast       = Event{8094, "shortageForecast", zerolog.InfoLevel, "the holder of the role lease has answered a report of a shortage: state is serving, changing if an engine becomes a decode engine, or none if there is none that can; sinceMs is the time since the first report"}
	ShortageSeen           = Event{8095, "shortageSeen", zerolog.InfoLevel, "this process holds the role lease and has read the reports of the engines of a software version for which entries report a shortage; the line has the state that it answers, and for changing the time until the engine is ready"}
	StreamHeld             = Event{8096, "streamHeld", zerolog.InfoLevel, "a stream waited for a decode engine of its software version for heldMs; goesOn is false if it is refused, or cut off so that its caller takes it up again, because the engine would come too late. leftMs is the time until the request's deadline"}
	ShortageMessageIgnored = Event{8097, "shortageMessageIgnored", zerolog.DebugLevel, "a message of another entry about a shortage is malformed or absurd; it is ignored"}
	RoleOrdered            = Event{8022, "roleOrdered", zerolog.InfoLevel, "an engine is ordered to change its role; the line has the reason and the load that the decision was based on"}
	RoleOrderEnded         = Event{8023, "roleOrderEnded", zerolog.InfoLevel, "the engine accepted or refused an order for a role change, or its answer was lost; in the last case it may still carry out the order, and gets no other for some time"}
	ReportMissing          = Event{8024, "reportMissing", zerolog.DebugLevel, "an engine did not report; it is left out of the plan"}
)

var gatewayEvents = []Event{
	AttemptPlaced, AttemptEnded, RequestEnded, RequestRetried, StreamResumed, CacheReleased, RoutingApplied, RoutingInvalid,
	UpstreamChanged, UpstreamInvalid, StoreLost, StoreRegained, ReadinessChanged, UpstreamRests, CachesWatched, CacheForgotten,
	RoleLeaseTaken, RoleLeaseLost, RoleOrdered, RoleOrderEnded, ReportMissing, RoleLeaseUnread, CacheUnread,
	PolicyApplied, PolicyUnread,
	EntriesCounted, EntryLapsed, EntryLeft, RosterUnread,
	StoreEraBegan, StoreEraInvalid, UpstreamsSettled, PresetLost, LimitChanged, LimitMalformed, RegistrationInvalid, LimitReported, StreamWaits, CallerTimedOut,
	PartQuarantined, PartReleased, QuarantineUnwritten, QuarantineInvalid, StreamsUnwritten, StreamsInvalid, LeavingAnnounced, PauseAsked, PauseMalformed, ObserverChanged, VersionsRecorded, VersionsUnwritten, StreamTakenUp, PeerUntold, PeerUnread,
	RoutingProblem, KeysUnconfirmed, KeysConfirmed,
	RoleLeaseReleased, UsageFrozen, UsageAccepted, UsageRepeated, UsageGivenUp, UsageUnstored, UsageRead, DutyUnsupported,
	UsageClockCorrected, UsageMessageIgnored, UsageCountersLost, UsageCountersAsked,
	WorkUnread, WorkShared, WorkDistrusted,
	ScarcityBegan, ScarcityEnded, SharesRefused, ShareMessageIgnored,
	HeldBytesFull, CallersFull, StoreCallFailed,
	ShortageReported, ShortageForecast, ShortageSeen, StreamHeld, ShortageMessageIgnored,
}
