package fighollow

import (
	"context"
	"encoding/json"
)

// Kind names a class of objects in the platform's object API.
type Kind string

// Kinds of objects. The comment after each names its writer and what its name is.
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
	KindEntry        Kind = "entry"        // each entry its own; name of the entry
)

// InForceName is the name of the only object of KindInForce.
const InForceName = "current"

// RoutingName is the name of the only object of KindRouting.
const RoutingName = "main"

// RoleLeaseName is the name of the only object of KindRoleLease.
const RoleLeaseName = "roles"

// MaxValueBytes is the largest value that the object API stores.
const MaxValueBytes = 1 << 20

// Object is one versioned value of the object API.
//
// Versions grow with every write across all objects, deletions included, so that two versions of any two objects
// can be ordered. A deleted object keeps its key and version and has no value.
type Object struct {
	Kind    Kind            `json:"kind" msgpack:"kind"`
	Name    string          `json:"name" msgpack:"name"`
	Version uint64          `json:"version" msgpack:"version"`
	Deleted bool            `json:"deleted,omitempty" msgpack:"deleted,omitempty"`
	Value   json.RawMessage `json:"value,omitempty" msgpack:"value,omitempty"`
}

// ObjectStore is the platform's object API. Implementations are safe for concurrent use.
//
// Each method returns ErrUnavailable when the API did not take the call. Put and Delete return ErrUnknownOutcome
// when the call may or may not have taken effect; the caller then reads the object back.
type ObjectStore interface {
	// Get returns one object, or ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)

	// List returns all objects of a kind (all kinds when it is empty) that are not deleted, and the version of the
	// newest write that the list includes, from which a Watch can follow without a gap.
	List(ctx context.Context, kind Kind) ([]Object, uint64, error)

	// Put writes o.Value if the object's present version is expected (0: the object must not exist) and returns the
	// new version. Otherwise it returns ErrConflict and changes nothing.
	Put(ctx context.Context, o Object, expected uint64) (uint64, error)

	// Delete removes an object under the same condition as Put.
	Delete(ctx context.Context, kind Kind, name string, expected uint64) (uint64, error)

	// Watch waits for writes to objects of a kind (all kinds when it is empty, where the API offers that) with a version
	// above after and returns them in order, with the version to pass to the
	// next call. It returns no objects when nothing changed within the server's waiting time. It returns
	// ErrWatchExpired when the history after that version is gone; the caller then starts again with List.
	Watch(ctx context.Context, kind Kind, after uint64) ([]Object, uint64, error)
}

// StaleReader is an ObjectStore that can also read cheaply.
type StaleReader interface {
	// GetStale returns an object as it was at some time in the last seconds, at a lower price than Get.
	GetStale(ctx context.Context, kind Kind, name string) (Object, error)
	// ListStale returns all objects of a kind as they were at some time in the last seconds, at a lower price than List.
	ListStale(ctx context.Context, kind Kind) ([]Object, error)
}

// GetStale reads an object cheaply where the store offers that, and as Get does elsewhere.
func GetStale(ctx context.Context, s ObjectStore, kind Kind, name string) (Object, error) {
	if r, ok := s.(StaleReader); ok {
		return r.GetStale(ctx, kind, name)
	}
	return s.Get(ctx, kind, name)
}

// ListStale lists a kind cheaply where the store offers that, and as List does elsewhere.
func ListStale(ctx context.Context, s ObjectStore, kind Kind) ([]Object, error) {
	if r, ok := s.(StaleReader); ok {
		return r.ListStale(ctx, kind)
	}
	objects, _, err := s.List(ctx, kind)
	return objects, err
}
