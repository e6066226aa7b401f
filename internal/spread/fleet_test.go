package spread_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/catalog"
	"github.com/fighollow/fighollow/internal/link"
	"github.com/fighollow/fighollow/internal/membership"
	"github.com/fighollow/fighollow/internal/objectapi"
	"github.com/fighollow/fighollow/internal/spread"
	"github.com/fighollow/fighollow/internal/standin/objects"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

// api is a stand-in for the object API, with a client for each process.
type api struct {
	*objects.Server
	hs *httptest.Server
}

func newAPI(t testing.TB, opts objects.Options) *api {
	a := &api{Server: objects.New(opts)}
	a.hs = httptest.NewServer(a.Server)
	t.Cleanup(func() {
		a.hs.CloseClientConnections()
		a.hs.Close()
	})
	return a
}

func (a *api) client(writer string) *objectapi.Client {
	return objectapi.New(objectapi.Options{
		Address: strings.TrimPrefix(a.hs.URL, "http://"), Writer: writer, Timeout: 2 * time.Second, WatchWait: 5 * time.Second,
	})
}

// put writes an object regardless of its current version and returns the new version.
func (a *api) put(t testing.TB, kind fighollow.Kind, name string, value any) uint64 {
	t.Helper()
	raw, err := json.Marshal(value)
	qt.Assert(t, err, qt.IsNil)
	c := a.client("test")
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	current, _ := c.Get(ctx, kind, name)
	v, err := c.Put(ctx, fighollow.Object{Kind: kind, Name: name, Value: raw}, current.Version)
	qt.Assert(t, err, qt.IsNil)
	return v
}

func (a *api) use(t testing.TB, preset string) uint64 {
	t.Helper()
	return a.put(t, fighollow.KindInForce, fighollow.InForceName, fighollow.InForce{Preset: fighollow.Preset{Name: preset}, WriteID: preset})
}

// switchStore is a process's object store that can be made unavailable with cut.
type switchStore struct {
	fighollow.ObjectStore
	cut atomic.Bool
}

func (s *switchStore) List(ctx context.Context, kind fighollow.Kind) ([]fighollow.Object, uint64, error) {
	if s.cut.Load() {
		return nil, 0, fighollow.ErrUnavailable
	}
	return s.ObjectStore.List(ctx, kind)
}

func (s *switchStore) Watch(ctx context.Context, kind fighollow.Kind, after uint64) ([]fighollow.Object, uint64, error) {
	if s.cut.Load() {
		return nil, after, fighollow.ErrUnavailable
	}
	objects, next, err := s.ObjectStore.Watch(ctx, kind, after)
	if s.cut.Load() {
		return nil, after, fighollow.ErrUnavailable
	}
	return objects, next, err
}

// proc is a process that runs only a spread.Node.
type proc struct {
	id, addr string
	node     *spread.Node
	cat      *catalog.Catalog
	store    *switchStore
	client   *objectapi.Client
	listener *link.Listener
	stop     context.CancelFunc
	done     chan struct{}
}

func (p *proc) ServeCall(context.Context, *link.Call, *link.ServerStream) {}
func (p *proc) ServeAsk(ctx context.Context, c *link.Conn, topic string, body []byte) (any, error) {
	return p.node.ServeAsk(ctx, c, topic, body)
}
func (p *proc) HandleTell(c *link.Conn, topic string, body []byte) { p.node.HandleTell(c, topic, body) }
func (p *proc) HandleOpen(*link.Conn)                              {}
func (p *proc) HandleClose(*link.Conn, error)                      {}

// kill stops a process without announcing it to its peers.
func (p *proc) kill() {
	p.stop()
	p.listener.Close()
	<-p.done
	p.client.Close()
}

var loopback atomic.Uint32 // number of loopback addresses allocated

// freeAddr returns an unused address with a loopback IP of its own. A port of 127.0.0.1 could be used as the source port of
// a link before the caller binds it.
func freeAddr(t testing.TB) string {
	i := loopback.Add(1)
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%200, i/250, 1+i%250))
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// start runs a process. If addr is empty, a free address is used.
func start(t testing.TB, a *api, id, dc, addr string, opts spread.Options) *proc {
	t.Helper()
	if addr == "" {
		addr = freeAddr(t)
	}
	p := &proc{id: id, addr: addr, cat: catalog.New(), client: a.client(id), done: make(chan struct{})}
	p.store = &switchStore{ObjectStore: p.client}
	self := membership.Member{
		ID: id, Incarnation: uint64(time.Now().UnixMilli()), Kind: fighollow.InstanceEntry, DataCentre: dc, Link: addr,
	}
	p.node = spread.New(opts, self, p.store, p.cat, zerolog.Nop())
	hello := link.Hello{ID: id, Incarnation: int64(self.Incarnation), Kind: self.Kind, DataCentre: dc, Link: addr}
	var err error
	p.listener, err = link.Listen(addr, hello, p, opts.Link, nil)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go func() {
		defer close(p.done)
		_ = p.node.Run(ctx)
	}()
	t.Cleanup(p.kill)
	return p
}

// startFleet runs size processes distributed evenly over the data centres. The first process of each data centre is the
// seed of the others in it.
func startFleet(t testing.TB, a *api, size int, dcs []string, opts spread.Options) []*proc {
	t.Helper()
	seeds := make(map[string]string)
	for _, dc := range dcs {
		seeds[dc] = freeAddr(t)
	}
	opts.RemotePeers = make(map[string][]string)
	for _, dc := range dcs {
		opts.RemotePeers[dc] = []string{seeds[dc]}
	}
	var procs []*proc
	for i := range size {
		dc := dcs[i%len(dcs)]
		addr := ""
		if i < len(dcs) {
			addr = seeds[dc]
		}
		opts.Peers = []string{seeds[dc]}
		procs = append(procs, start(t, a, fmt.Sprintf("%s-%03d", dc, i/len(dcs)), dc, addr, opts))
	}
	return procs
}

// eventually polls until ok returns true and fails the test if that takes longer than limit.
func eventually(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func holds(p *proc, kind fighollow.Kind, name string, version uint64) bool {
	o, ok := p.cat.Get(kind, name)
	return ok && o.Version >= version
}

func allHold(procs []*proc, kind fighollow.Kind, name string, version uint64) bool {
	for _, p := range procs {
		if !holds(p, kind, name, version) {
			return false
		}
	}
	return true
}

// allSeeAlive reports whether every process sees n members as alive.
func allSeeAlive(procs []*proc, n int) bool {
	for _, p := range procs {
		alive := 0
		for _, m := range p.node.Members() {
			if m.State == membership.Alive {
				alive++
			}
		}
		if alive != n {
			return false
		}
	}
	return true
}
