package event

import "github.com/rs/zerolog"

// Events of the gateway: the entry on the users' platform.
var (
	AttemptPlaced    = Event{8001, "attemptPlaced", zerolog.InfoLevel, "an upstream was chosen for an attempt; the line has what the choice was based on"}
	AttemptEnded     = Event{8002, "attemptEnded", zerolog.InfoLevel, "an attempt ended; result says how, and took for how long it lasted"}
	RequestEnded     = Event{8003, "requestEnded", zerolog.InfoLevel, "the final answer to a request, or why there was none"}
	RequestRetried   = Event{8004, "requestRetried", zerolog.InfoLevel, "whether another attempt is made after a failed one, and why not"}
	StreamResumed    = Event{8005, "streamResumed", zerolog.InfoLevel, "a stream broke off and goes on at another engine after the last whole event"}
	CacheReleased    = Event{8006, "cacheReleased", zerolog.DebugLevel, "the KV cache of a prompt that no engine imports was freed"}
	RoutingApplied   = Event{8010, "routingApplied", zerolog.InfoLevel, "a version of the routing configuration is in force in this process"}
	RoutingInvalid   = Event{8011, "routingInvalid", zerolog.ErrorLevel, "the routing configuration could not be decoded; the former one stays in force"}
	UpstreamChanged  = Event{8012, "upstreamChanged", zerolog.InfoLevel, "the entry of an upstream appeared, changed or went"}
	UpstreamInvalid  = Event{8013, "upstreamInvalid", zerolog.WarnLevel, "the entry of an upstream could not be decoded; it is not used"}
	StoreLost        = Event{8014, "storeLost", zerolog.WarnLevel, "the metadata store does not answer; what is known stays in force"}
	StoreRegained    = Event{8015, "storeRegained", zerolog.InfoLevel, "the metadata store answers again after downMs"}
	ReadinessChanged = Event{8016, "readinessChanged", zerolog.InfoLevel, "this process tells the balancer that it takes connections, or that it does not"}
	UpstreamRests    = Event{8017, "upstreamRests", zerolog.InfoLevel, "an upstream gets no further work for restMs because of how an attempt ended"}
	CachesWatched    = Event{8018, "cachesWatched", zerolog.InfoLevel, "of so many engines this process watches the prefix caches; those of larger services are known from its own requests only"}
	CacheForgotten   = Event{8019, "cacheForgotten", zerolog.InfoLevel, "what was known of an engine's prefix cache is forgotten: the engine started anew, or some of its changes are missing"}
	RoleLeaseTaken   = Event{8020, "roleLeaseTaken", zerolog.InfoLevel, "this process orders the engines' roles from here on; term is its fencing token"}
	RoleLeaseLost    = Event{8021, "roleLeaseLost", zerolog.WarnLevel, "this process no longer orders roles: another one took the lease, or the outcome of a renewal is not known"}
	RoleLeaseUnread  = Event{8025, "roleLeaseUnread", zerolog.InfoLevel, "the lease for orders could not be read, decoded or renewed; it is tried again in the next round"}
	CacheUnread      = Event{8026, "cacheUnread", zerolog.DebugLevel, "an engine did not say what its prefix cache holds; after some seconds only this process's own requests tell"}
	PolicyApplied    = Event{8027, "policyApplied", zerolog.InfoLevel, "the holder of the lease decides by the policy of a preset that an operator put in force"}
	PolicyUnread     = Event{8028, "policyUnread", zerolog.InfoLevel, "the choice of a preset could not be read or decoded; the former policy stays in force"}
	EntriesCounted   = Event{8030, "entriesCounted", zerolog.InfoLevel, "so many entries share the platform's bounds, this one included"}
	EntryLapsed      = Event{8031, "entryLapsed", zerolog.InfoLevel, "an entry has not renewed its object for long; the object is removed"}
	EntryLeft        = Event{8032, "entryLeft", zerolog.InfoLevel, "this process stops and has removed its object"}
	RosterUnread     = Event{8033, "rosterUnread", zerolog.InfoLevel, "the objects of the entries could not be read, or the own one not be written; the last count stays in force"}
	RoleOrdered      = Event{8022, "roleOrdered", zerolog.InfoLevel, "an engine is to change its role; the line has the reason and the load that decided"}
	RoleOrderEnded   = Event{8023, "roleOrderEnded", zerolog.InfoLevel, "how the engine answered an order; without an answer it may still carry it out, and gets no other for some time"}
	ReportMissing    = Event{8024, "reportMissing", zerolog.DebugLevel, "an engine did not report; it is left out of the plan"}
)

var gatewayEvents = []Event{
	AttemptPlaced, AttemptEnded, RequestEnded, RequestRetried, StreamResumed, CacheReleased, RoutingApplied, RoutingInvalid,
	UpstreamChanged, UpstreamInvalid, StoreLost, StoreRegained, ReadinessChanged, UpstreamRests, CachesWatched, CacheForgotten,
	RoleLeaseTaken, RoleLeaseLost, RoleOrdered, RoleOrderEnded, ReportMissing, RoleLeaseUnread, CacheUnread,
	PolicyApplied, PolicyUnread,
	EntriesCounted, EntryLapsed, EntryLeft, RosterUnread,
}
