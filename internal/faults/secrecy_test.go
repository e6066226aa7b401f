package faults_test

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fighollow/fighollow/internal/roster"
	"github.com/fighollow/fighollow/platform/standin"
)

// Keys that callers send: those of two workspaces, one that is removed, and one that no workspace has.
const (
	northKey   = "cd5f81aa-north-9e0b"
	southKey   = "0417ee36-south-77d2"
	removedKey = "b96a20fc-gone-15c8"
	strangeKey = "e83b4d07-strange-6f"
)

const (
	secrecyEntries = 2
	// secrecyPeers are registered entries that only receive. With them, entries share work.
	secrecyPeers = 6
	crashingPart = "bad0c0de"
)

// secrecyFleet records what its entries send to each other, write to the store and send to upstreams.
type secrecyFleet struct {
	*gatewayFleet
	metrics []string // addresses
	engines []*standin.Engine

	// The following are guarded by gatewayFleet.mu.
	addresses [secrecyEntries]netip.AddrPort // of the entries' datagrams; zero until known
	relays    [secrecyEntries]*net.UDPConn   // the address under which the other entry knows an entry
	datagrams [][]byte
	writes    map[string][][]byte // by kind
}

// newSecrecyFleet starts a fleet whose entries log everything, share work and are the observers of all.
func newSecrecyFleet(t *testing.T) *secrecyFleet {
	f := &secrecyFleet{gatewayFleet: newGatewayFleet(t, 0), writes: make(map[string][][]byte)}
	f.configureKeys(2, removedKey)
	for _, e := range []struct{ id, role, version string }{
		{"p1", "prefill", "v1"}, {"d1", "decode", "v1"}, {"d2", "decode", "v1"}, {"d3", "decode", "v1"}, {"p2", "prefill", "v2"}, {"d4", "decode", "v2"}, {"d5", "decode", "v2"},
	} {
		engine := standin.NewEngine(e.id, e.role)
		engine.Version, engine.Events = e.version, 4
		engine.SetFaults(standin.EngineFaults{CrashPart: crashingPart, CrashAfter: 2, Delay: 5 * time.Millisecond})
		t.Cleanup(standin.NewServer(engine, f.store, "models", "a", 300*time.Millisecond, time.Second).Close)
		f.engines = append(f.engines, engine)
	}
	for i := range f.relays {
		f.relays[i] = f.receive(func(from netip.AddrPort, data []byte) { f.pass(i, from, data) })
	}
	f.addPeers()
	f.flags = func(int) []string {
		f.metrics = append(f.metrics, freeAddr(t))
		_, port, _ := strings.Cut(f.metrics[len(f.metrics)-1], ":")
		return []string{"--log", "trace", "--metrics-port", port, "--share-work"}
	}
	f.front = f.recordStore
	for i := range secrecyEntries {
		f.startEntry(i)
	}
	return f
}

// configureKeys writes a configuration in which a workspace has further keys.
func (f *secrecyFleet) configureKeys(version int, further ...string) {
	open := object{
		"name": "open", "host": gatewayHost, "pathPrefix": "/open/", "kind": "idempotent", "timeoutMs": 2500, "service": "plain", "maxAttempts": 2,
	}
	standin.SetPublic(open)
	resume := object{
		"name": "resume", "host": gatewayHost, "pathPrefix": "/resume/", "kind": "streaming", "timeoutMs": 3000, "service": "models", "maxAttempts": 2,
		"sessionAffinity": true, "resumable": true,
	}
	standin.SetTarget(resume, 1)
	configuration := object{
		"version": version,
		// The target of streams cannot be met, so that entries tell each other of scarcity.
		"routes": []object{
			{"name": "any", "host": gatewayHost, "pathPrefix": "/any/", "kind": "idempotent", "timeoutMs": 2500, "service": "plain", "maxAttempts": 2},
			open,
			resume,
		},
		"services": []object{
			{"name": "plain", "maxConnections": 200},
			{"name": "models", "maxConnections": 200, "engine": standin.EngineTraits(8, 100_000)},
		},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 100000, "headerTimeoutMs": 3000, "idleTimeoutMs": 20000},
	}
	first := 1
	standin.SetWorkspaces(configuration, []standin.Workspace{
		{Name: "north", Keys: append([]string{northKey}, further...), Priority: &first}, {Name: "south", Keys: []string{southKey}},
		{Name: "west", Keys: []string{strangeKey}},
	})
	standin.AddMalformedWorkspaces(configuration, "east", strangeKey) // mistakes, which are logged
	f.store.Put("config", "main", configuration)
}

// receive returns a socket whose datagrams are recorded and passed to f.
func (f *secrecyFleet) receive(handle func(from netip.AddrPort, data []byte)) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	go func() {
		for {
			buf := make([]byte, 1<<16)
			n, from, err := conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			f.mu.Lock()
			f.datagrams = append(f.datagrams, buf[:n])
			f.mu.Unlock()
			handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:n])
		}
	}()
	return conn
}

// pass delivers a datagram that was sent to the relay of an entry, from the relay of its sender.
func (f *secrecyFleet) pass(to int, from netip.AddrPort, data []byte) {
	f.mu.Lock()
	sender, address := slices.Index(f.addresses[:], from), f.addresses[to]
	f.mu.Unlock()
	if sender >= 0 && address.IsValid() {
		_, _ = f.relays[sender].WriteToUDPAddrPort(data, address) // may be lost
	}
}

// addPeers registers peers whose names leave the entries among the observers.
func (f *secrecyFleet) addPeers() {
	address := f.receive(func(netip.AddrPort, []byte) {}).LocalAddr().String()
	all := make(map[string]string)
	for i := range secrecyEntries {
		all[fmt.Sprintf("entry-%d@127.0.0.1", i+1)] = "a"
	}
	for n := 0; len(all) < secrecyEntries+secrecyPeers; n++ {
		name := fmt.Sprintf("peer-%d@127.0.0.1", n)
		all[name] = "a"
		if observers := roster.Observers(all); !slices.Contains(observers, "entry-1@127.0.0.1") || !slices.Contains(observers, "entry-2@127.0.0.1") {
			delete(all, name)
			continue
		}
		f.store.Put("fighollow-entries", name, object{"dataCentre": "a", "beat": 1, "address": address})
	}
}

// recordStore passes a call on to the store, records what it writes and shows each entry the relay of the other.
func (f *secrecyFleet) recordStore(i int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the entry has left
	}
	kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, standin.ObjectsPath), "/")
	f.mu.Lock()
	if r.Method != http.MethodGet {
		f.writes[kind] = append(f.writes[kind], slices.Concat([]byte(r.URL.String()+" "), body))
		for _, field := range strings.Split(string(body), `"`) {
			if a, err := netip.ParseAddrPort(field); err == nil && kind == "fighollow-entries" {
				f.addresses[i] = a
			}
		}
	}
	addresses := f.addresses
	f.mu.Unlock()
	r.Body = io.NopCloser(bytes.NewReader(body))
	if kind != "fighollow-entries" || r.Method != http.MethodGet {
		f.store.ServeHTTP(w, r)
		return
	}
	res := httptest.NewRecorder()
	f.store.ServeHTTP(res, r)
	list := res.Body.Bytes()
	for j, a := range addresses {
		if j != i && a.IsValid() {
			list = bytes.ReplaceAll(list, []byte(`"`+a.String()+`"`), []byte(`"`+f.relays[j].LocalAddr().String()+`"`))
		}
	}
	for name, values := range res.Header() {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(res.Code)
	_, _ = w.Write(list) // the entry may have left
}

// call sends a request with these header fields and returns its id.
func (f *secrecyFleet) call(entry int, target string, fields map[string][]string) (id string) {
	f.mu.Lock()
	f.requests++
	id = fmt.Sprintf("s%d", f.requests)
	f.mu.Unlock()
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.ingress[entry]+target, strings.NewReader(id))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = gatewayHost
	req.Header = http.Header{
		standin.HeaderRequest: {id}, standin.HeaderDeadline: {"2500"}, standin.HeaderModel: {"m"}, standin.HeaderTokens: {"1460,80"},
		standin.HeaderWorkspace: {"forged"},
	}
	for name, values := range fields {
		req.Header[name] = values
	}
	res, err := controlClient.Do(req)
	if err != nil {
		return id // the traffic crashes engines, and keys are searched for whatever the answer was
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return id
}

// traffic sends sound requests of both workspaces, requests that crash engines, refused ones, and streams that are taken up at the other
// entry.
func (f *secrecyFleet) traffic(n int) {
	entry, key := n%secrecyEntries, []string{northKey, southKey}[n/2%2]
	prompt := func(parts string) []string { return []string{fmt.Sprintf("%s5c1e07a2:800,%x:250", parts, 0x10000+n)} }
	begun := f.call(entry, "/resume/a", map[string][]string{standin.HeaderKey: {key}, standin.HeaderPrompt: prompt("")})
	f.call(1-entry, "/resume/a", map[string][]string{standin.HeaderKey: {key}, standin.HeaderPrompt: prompt(""), standin.HeaderResumes: {begun}, standin.HeaderLastEvent: {"2"}})
	// A stream of another workspace, which no entry knows.
	f.call(1-entry, "/resume/a", map[string][]string{standin.HeaderKey: {[]string{southKey, northKey}[n/2%2]}, standin.HeaderResumes: {begun}, standin.HeaderLastEvent: {"2"}})
	f.call(entry, "/any/a", map[string][]string{standin.HeaderKey: {key}})
	f.call(entry, "/any/a", map[string][]string{standin.HeaderKey: {removedKey}})
	for _, refused := range [][]string{{strangeKey}, {"Bearer " + key}, {key, strangeKey}, {key + "," + strangeKey}} {
		f.call(entry, "/any/a", map[string][]string{standin.HeaderKey: refused})
		f.call(entry, "/open/a", map[string][]string{standin.HeaderKey: refused})
	}
	f.call(entry, "/none/a", map[string][]string{standin.HeaderKey: {key}})
	f.call(entry, "/any/a", map[string][]string{standin.HeaderKey: {key}, "Long": {strings.Repeat("x", 20_000)}})
	f.call(entry, "/any/a", map[string][]string{standin.HeaderKey: {key}, standin.HeaderRequest: nil})
	f.call(entry, "/resume/a", map[string][]string{standin.HeaderKey: {key}, standin.HeaderPrompt: prompt(crashingPart + ":300,")})
}

// leaks returns where a key is found in data, as it is or encoded.
func leaks(where string, data []byte) (found []string) {
	for _, key := range []string{northKey, southKey, removedKey, strangeKey} {
		for _, text := range []string{key, key[:8], key[len(key)-6:], hex.EncodeToString([]byte(key)), base64.RawStdEncoding.EncodeToString([]byte(key))[:16]} {
			if at := bytes.Index(data, []byte(text)); at >= 0 {
				found = append(found, fmt.Sprintf("%s: %q in %q", where, text, data[max(0, at-100):min(len(data), at+100)]))
			}
		}
	}
	return found
}

// Guards against a key that an entry logs, names in a metric, sends to another entry, writes to the store or sends to an upstream, while
// streams are taken up, engines crash and the part that crashes them is put into quarantine.
func TestKeysStayInTheEntry(t *testing.T) {
	t.Parallel()
	f := newSecrecyFleet(t)
	wrote := func(kind string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.writes[kind]) > 0
	}
	logs := func() (all []byte) {
		for _, p := range f.entries {
			b, err := os.ReadFile(p.log)
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, b...)
		}
		return all
	}
	n := 0
	f.traffic(n)
	f.configureKeys(3)
	until(f.ctx, t, "streams, crashes, a quarantine and usage are written", func() bool {
		n++
		var wg sync.WaitGroup
		for i := range 8 {
			wg.Go(func() { f.traffic(8*n + i) })
		}
		wg.Wait()
		return n >= 8 && wrote("fighollow-streams") && wrote("fighollow-crash-reports") && wrote("fighollow-quarantine") && wrote("fighollow-usage-reports")
	})
	var found []string
	for i, address := range f.metrics {
		res, err := controlClient.Get("http://" + address + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil || !bytes.Contains(text, []byte("keys")) {
			t.Fatalf("metrics of entry %d: %v: %s", i+1, err, text)
		}
		found = append(found, leaks("metrics", text)...)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	log := logs()
	// The kind of a datagram follows the length of an array, and the topic follows it: both in two bytes.
	kinds := make(map[string]int)
	for _, d := range f.datagrams {
		if name := fmt.Sprint("kind ", d[2]); d[2] == 5 {
			kinds[fmt.Sprint("topic ", d[4])]++
		} else {
			kinds[name]++
		}
	}
	for _, want := range []string{"kind 1", "kind 2", "kind 3", "kind 4", "topic 1", "topic 2", "topic 3"} { // told, asked, known, unknown; usage, work, shares
		if kinds[want] == 0 {
			t.Errorf("no datagram of %s among %v", want, kinds)
		}
	}
	for _, want := range []string{`"key":"unknown"`, `"key":"malformed"`, `"key":"repeated"`, `"keyFingerprint":"`, `"problem":"sharedKey"`, `"source":"peer"`, `"workspace":"north"`} {
		if !bytes.Contains(log, []byte(want)) {
			t.Errorf("the log has no %s", want)
		}
	}
	found = append(found, leaks("log", log)...)
	for _, d := range f.datagrams {
		found = append(found, leaks("datagram", d)...)
	}
	var written []string
	for kind, writes := range f.writes {
		written = append(written, kind)
		for _, b := range writes {
			found = append(found, leaks("write of "+kind, b)...)
		}
	}
	runs, forged := 0, 0
	for _, e := range f.engines {
		for _, run := range e.Runs() {
			runs++
			got := run.Header[standin.HeaderWorkspace]
			if run.Header[standin.HeaderKey] != nil || len(got) != 1 || got[0] != "north" && got[0] != "south" {
				forged++
			}
			found = append(found, leaks("engine", fmt.Appendf(nil, "%v %s", run.Header, run.Target))...)
		}
	}
	for _, h := range f.arrived {
		found = append(found, leaks("service", fmt.Appendf(nil, "%v", h))...)
		if got := h[standin.HeaderWorkspace]; len(got) > 1 || len(got) == 1 && got[0] != "north" && got[0] != "south" {
			forged++
		}
	}
	if runs == 0 || len(f.arrived) == 0 || forged > 0 {
		t.Errorf("%d of %d runs at engines and %d at the service without the workspace, or with another", forged, runs, len(f.arrived))
	}
	reported := make(map[string]bool)
	for _, l := range found {
		where, _, _ := strings.Cut(l, ":")
		if !reported[where] {
			t.Error(l)
		}
		reported[where] = true
	}
	t.Logf("searched %d bytes of log, %d datagrams (%v), writes of %v, %d runs at engines, %d requests at the service", len(log), len(f.datagrams), kinds, slices.Sorted(slices.Values(written)), runs, len(f.arrived))
}
