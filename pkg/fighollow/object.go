package fighollow

import (
	"context"
	"encoding/json"
)

// Kind is the type of an object in the platform's object API.
type Kind string

// Kinds of objects. Each comment gives the writer and then what an object of the kind is named after.
const (
	KindPreset       Kind = "preset"       // operator; preset name
	KindInForce      Kind = "inForce"      // operator; always InForceName
	KindPlan         Kind = "plan"         // planner; data centre
	KindDrain        Kind = "drain"        // operator; engine id
	KindPlannerLease Kind = "plannerLease" // planner; region
	KindLedger       Kind = "ledger"       // planner; region
	KindWorkspace    Kind = "workspace"    // operator; workspace name
	KindModel        Kind = "model"        // operator; model name
	KindService      Kind = "service"      // operator; plain service name
	KindInstance     Kind = "instance"     // platform; instance id
	KindRouting      Kind = "routing"      // operator; always RoutingName
	KindRoleLease    Kind = "roleLease"    // entries; always RoleLeaseName
	KindEntry        Kind = "entry"        // the entry itself; entry name
	KindQuarantine   Kind = "quarantine"   // entries; service and part of prompts, or fingerprint of a request
	KindCrashReports Kind = "crashReports" // the entry itself; entry name
	KindStreams      Kind = "streams"      // the entry itself; entry name
	KindVersions     Kind = "versions"     // entries; service
	KindUsageReports Kind = "usageReports" // entries; always UsageReportsName
)

// InForceName is the name of the only object of KindInForce.
const InForceName = "current"

// RoutingName is the name of the only object of KindRouting.
const RoutingName = "main"

// RoleLeaseName is the name of the only object of KindRoleLease.
const RoleLeaseName = "roles"

// MaxValueBytes is the size in bytes of the largest value that the object API stores.
const MaxValueBytes = 1 << 20

// Object is one versioned value of the object API.
//
// Versions grow with every write, deletions included, across all objects, so that writes to different objects are
// ordered by their versions. A deleted object keeps its kind and name, has the version of its deletion and no value.
type Object struct {
	Kind    Kind            `json:"kind" msgpack:"kind"`
	Name    string          `json:"name" msgpack:"name"`
	Version uint64          `json:"version" msgpack:"version"`
	Deleted bool            `json:"deleted,omitempty" msgpack:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty" msgpack:"value,omitempty"`
}

// ObjectStore is the platform's object API. Implementations are safe for concurrent use.
//
// Each method returns ErrUnavailable if the API did not accept the call. Put and Delete return ErrUnknownOutcome if the
// write may or may not have taken effect; the caller then reads the object back.
type ObjectStore interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)

	// List returns all objects of a kind that are not deleted, and the version of the newest write that the list is sure
	// to include, from which Watch continues without a gap. An empty kind lists all kinds, where the API supports that.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)

	// Put writes o.Value if the object's current version is expected (0: the object must not exist) and returns the
	// new version. Otherwise it returns ErrConflict and changes nothing. It ignores o.Version.
	Put(ctx context.Context, o Object, expected uint64) (uint64, error)

	// Delete removes an object under the same condition as Put and returns the version of the deletion, or 0 if the API
	// does not give it.
	Delete(ctx context.Context, kind Kind, name string, expected uint64) (uint64, error)

	// Watch waits for writes to objects of a kind with a version above after and returns them in order, with the version
	// to pass to the next call. An empty kind watches all kinds, where the API supports that. Watch returns no objects if
	// nothing changed within the server's waiting time, and ErrWatchExpired if the history after that version is no longer
	// kept; the caller then starts again with List.
	Watch(ctx context.Context, kind Kind, after uint64) ([]Object, uint64, error)
}

// StaleReader is implemented by an ObjectStore that also offers cheaper reads of slightly outdated objects.
type StaleReader interface {
	// GetStale returns an object as it was at some time in the last seconds. It costs less than Get.
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
	// ListStale returns all objects of a kind as they were at some time in the last seconds. It costs less than List.
	ListStale(ctx context.Context, kind Kind) ([]Object, error)
}

// ChangeReader is implemented by an ObjectStore that also reads changes without waiting for them.
type ChangeReader interface {
	// Changes is Watch without waiting: if it returns no objects, nothing of the kind had changed when the call was made.
	Changes(ctx context.Context, kind Kind, after uint64) ([]Object, uint64, error)
}

// GetStale calls s.GetStale if s is a StaleReader, and s.Get otherwise.
func GetStale(ctx context.Context, s ObjectStore, kind Kind, name string) (Object, error) {
	if r, ok := s.(StaleReader); ok {
		return r.GetStale(ctx, kind, name)
	}
	return s.Get(ctx, kind, name)
}

// ListStale calls s.ListStale if s is a StaleReader, and s.List otherwise.
func ListStale(ctx context.Context, s ObjectStore, kind Kind) ([]Object, error) {
	if r, ok := s.(StaleReader); ok {
		return r.ListStale(ctx, kind)
	}
	objects, _, err := s.List(ctx, kind)
	return objects, err
}
