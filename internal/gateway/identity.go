package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/workspace"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// Admit checks a request whose body has not been read yet: that there are a configuration and a route, and that it has a key if keys are
// required. It sets call.Identity, which Serve uses whatever becomes of the key meanwhile, and ends call.Deadline with
// the route's timeout. It returns false if it has refused the request.
func (g *Gateway) Admit(call *fighollow.Call, out fighollow.Responder) bool {
	t := g.table.Load()
	if t != nil && !t.routing.KeysRequired {
		if route := t.find(call.Host, call.Target); route != nil {
			boundDeadline(call, route)
			return true
		}
	}
	x := g.newExchange(call, out)
	if refusal := x.identify(t, time.Now()); refusal != nil {
		x.finish(refusal)
		return false
	}
	boundDeadline(call, x.route)
	identity := x.identity // without the rest of x
	call.Identity = &identity
	return true
}

// boundDeadline sets the deadline of a call to the end of its route's timeout if that is earlier, so that it holds for the body too.
func boundDeadline(call *fighollow.Call, route *fighollow.Route) {
	if limit := call.Arrived.Add(route.Timeout); route.Timeout > 0 && limit.Before(call.Deadline) {
		call.Deadline = limit
	}
}

// identify finds the route and the workspace of the request, unless Admit has found the latter. t is nil if there is no configuration.
func (x *exchange) identify(t *routeTable, now time.Time) *fighollow.Refusal {
	return x.identifyBy(t, now, func() (string, workspace.Reason) { return t.keys.Find(x.call.Credentials) })
}

// identifyBy implements identify; find returns the workspace of the request's key.
func (x *exchange) identifyBy(t *routeTable, now time.Time, find func() (string, workspace.Reason)) *fighollow.Refusal {
	if t == nil {
		return x.notReadyRefusal("no configuration is known yet")
	}
	x.version = t.routing.Version
	if x.route = t.find(x.call.Host, x.call.Target); x.route == nil {
		return fighollow.NotRunRefusal(fighollow.CodeRouteNotFound, "no route has this host and path")
	}
	switch {
	case x.call.Identity != nil:
		x.identity = *x.call.Identity
		return nil
	case !t.routing.KeysRequired:
		return nil
	}
	x.identity.Checked = true
	if !x.route.Public && !x.g.opts.Revocation.MayUseKeys(now, x.g.confirmedAt()) {
		return x.refuseKey(workspace.ReasonUnconfirmed)
	}
	name, reason := find()
	if reason != workspace.ReasonNone && !x.route.Public {
		return x.refuseKey(reason)
	}
	x.identity.Workspace = name
	return nil
}

func (x *exchange) refuseKey(reason workspace.Reason) *fighollow.Refusal {
	x.keyReason = reason
	x.g.metrics.count("keys." + string(reason))
	if reason == workspace.ReasonUnconfirmed {
		return x.notReadyRefusal("the keys have not been confirmed by the store lately")
	}
	return fighollow.NotRunRefusal(fighollow.CodeUnauthorised, "the request needs the key of a workspace")
}

// logKey adds the workspace to the line of a request, or why its key was refused and a fingerprint of it.
func (x *exchange) logKey(line *zerolog.Event) {
	if x.identity.Workspace != "" {
		line.Str("workspace", x.identity.Workspace)
	}
	if x.keyReason == workspace.ReasonNone {
		return
	}
	line.Str("key", string(x.keyReason))
	if fingerprint := x.g.fingerprints.Fingerprint(x.call.Credentials); fingerprint != "" {
		line.Str("keyFingerprint", fingerprint)
	}
}

// logProblems logs what is wrong with the configuration and was ignored.
func (t *routeTable) logProblems(log *zerolog.Logger) {
	write := func() *zerolog.Event { return event.RoutingProblem.Log(log).Uint64("version", t.routing.Version) }
	for _, p := range t.routing.Problems {
		write().Str("problem", "undecodable").Str("part", p).Send()
	}
	for _, p := range t.problems {
		line := write().Str("problem", string(p.Kind)).Strs("workspaces", p.Workspaces)
		if p.Index >= 0 {
			line.Int("index", p.Index)
		}
		if p.Key >= 0 {
			line.Int("key", p.Key)
		}
		line.Send()
	}
}

// Confirm records that the store had no other configuration at a time than the one in force.
func (g *Gateway) Confirm(at time.Time) { g.confirmed.Store(&at) }

// confirmedAt returns when the store last confirmed the configuration; zero if it never did.
func (g *Gateway) confirmedAt() time.Time {
	if at := g.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// ConfirmRouting reads the configuration at the interval of r and confirms the one in force, until ctx is done. It does nothing unless r is
// strict: a watch is told of changes at no further cost, but does not show that there are none.
func (f *Follower) ConfirmRouting(ctx context.Context, r workspace.Revocation) {
	if !r.Strict {
		return
	}
	select {
	case <-ctx.Done():
		return
	case <-f.routingListed: // else both would read a long configuration over the same link
	}
	var version uint64
	isListed, isConfirmed := true, true
	for ctx.Err() == nil {
		version = max(version, f.routingVersion.Load())
		sent := time.Now()
		u, err := f.readRouting(ctx, version, isListed)
		if errors.Is(err, fighollow.ErrWatchExpired) && isListed {
			isListed = false
			continue
		}
		if err == nil {
			isListed, version = true, u.version
			f.applyRouting(sent, u)
			f.gateway.Confirm(sent)
		}
		if may := r.MayUseKeys(time.Now(), f.gateway.confirmedAt()); may != isConfirmed && ctx.Err() == nil {
			isConfirmed = may
			if may {
				event.KeysConfirmed.Log(&f.log).Send()
			} else {
				event.KeysUnconfirmed.Log(&f.log).Err(err).Int64("withinMs", r.Within.Milliseconds()).Send()
			}
		}
		wait(ctx, r.Interval()-time.Since(sent))
	}
}

// readRouting reads the changes of the configuration after a version, or the configuration itself, which can be long.
func (f *Follower) readRouting(ctx context.Context, after uint64, changes bool) (u update, err error) {
	if r, ok := f.store.(fighollow.ChangeReader); ok && changes {
		u.objects, u.version, err = r.Changes(ctx, fighollow.KindRouting, after)
	} else {
		u.objects, u.version, err = f.store.List(ctx, fighollow.KindRouting)
	}
	return u, err
}
