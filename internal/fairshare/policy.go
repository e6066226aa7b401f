package fairshare

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/event"
	"github.com/fighollow/fighollow/internal/peers"
	"github.com/fighollow/fighollow/internal/roster"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

const (
	// minSendInterval and sendIntervalPerEntry give the pause between two messages of an entry: the larger one of minSendInterval and
	// sendIntervalPerEntry times the entries, so that a collector gets at most 167 reports a second.
	minSendInterval      = 500 * time.Millisecond
	sendIntervalPerEntry = 6 * time.Millisecond
	// reportTime is how long after a late request an entry sends reports.
	reportTime = 5 * time.Second
	// doubtTime is how long after the last request that had to wait an entry doubts what a collector states of a scarce service, and
	// fractionHalfLife after which time a measurement of the admitted fraction counts half. Both are longer than the capacity takes to
	// settle.
	doubtTime        = 15 * time.Second
	fractionHalfLife = 10 * time.Second
	// crowdedWait is the wait, relative to the target, from which an entry sees for itself that engines are busy.
	crowdedWait = 0.1
	// refusalLogInterval is the shortest pause between two log lines about the refusals of a service.
	refusalLogInterval = 10 * time.Second
)

// Transport exchanges datagrams with the other entries; peers.Link implements it.
type Transport interface {
	Subscribe(topic peers.Topic, handle func(from string, data []byte))
	Send(topic peers.Topic, data []byte, names ...string)
	DataCentres() map[string]string // of the other entries, by name
}

var _ Transport = (*peers.Link)(nil)

// Options configures a Policy.
type Options struct {
	Self       string          // name of this entry
	DataCentre string          // of this entry
	Workspaces func() []string // of the configuration in force; nothing is refused or sent while there are none
	Services   func() []string // those of the configuration in force that have engines
	Registry   metrics.Registry
}

// Policy decides on requests by the fair shares of their workspaces. It is safe for concurrent use.
type Policy struct {
	opts      Options
	transport Transport
	log       zerolog.Logger
	rates     *recorder
	services  atomic.Pointer[map[string]*service] // replaced when a service is added
	interval  atomic.Int64                        // between messages

	refused, uncounted, sent, received, ignored metrics.Counter

	begin sync.Once     // closes used
	used  chan struct{} // closed with the first request of a workspace or message

	mu        sync.Mutex
	settled   bool // the last step found nothing to judge, and ended all divisions
	nextSend  time.Time
	nextClean time.Time
	round     uint32
	reports   map[string]*statement // by entry, this one included
	summaries map[string]*summary   // by collector, this entry included
	judges    map[string]*estimator // of services, from reports
}

// service is the state of a service.
type service struct {
	name    string
	verdict atomic.Pointer[verdict] // nil while the service is not scarce
	refused atomic.Int64            // requests since the last log line

	delayed  delayed
	observed observations

	// The following are guarded by Policy.mu.
	own        estimator // from the rates of this entry
	fraction   float64   // that is admitted of what is offered here, on average
	fractionAt time.Time
	began      time.Time // when the verdict in force began
	total      int64     // refusals since then
	loggedAt   time.Time
	gauge      metrics.GaugeFloat64
}

// delayed measures the requests of a service that are late or have to wait. It is safe for concurrent use.
type delayed struct {
	mu   sync.Mutex
	cell cell      // late ones as rank 0, the weighted work of all as rank 1
	last time.Time // late one

	lastCrowded time.Time // request that had to wait for more than crowdedWait
}

// add adds a request.
func (d *delayed) add(now time.Time, number int64, workMs float32, r fighollow.ShareRequest) {
	if !r.Late && r.Wait <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.cell.at(number)
	if r.Late {
		b.offered[0] += workMs
		d.last = now
	}
	if r.Wait > 0 {
		b.offered[1] += workMs * float32(min(r.Wait, 1))
	}
	if r.Wait > crowdedWait {
		d.lastCrowded = now
	}
}

// within reports whether a request was late within a duration.
func (d *delayed) within(now time.Time, duration time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.last.IsZero() && now.Sub(d.last) <= duration
}

// crowdedWithin reports whether a request had to wait within a duration.
func (d *delayed) crowdedWithin(now time.Time, duration time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.lastCrowded.IsZero() && now.Sub(d.lastCrowded) <= duration
}

// rates returns the rate of late requests, and the offered rate weighted by waits.
func (d *delayed) rates(at time.Duration) (late, crowded float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.cell.rates(at, crowdedBuckets)
	return r.ranks[0] * r.offered, r.ranks[1] * r.offered
}

// verdict is the division of a scarce service that is in force. It is immutable.
type verdict struct {
	allocation
}

// New returns a Policy, which receives messages at once. Run starts it.
func New(now time.Time, opts Options, transport Transport, log zerolog.Logger) *Policy {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	p := &Policy{
		opts: opts, transport: transport, log: log, rates: newRecorder(now), round: rand.Uint32(),
		used: make(chan struct{}), reports: make(map[string]*statement), summaries: make(map[string]*summary), judges: make(map[string]*estimator),
		refused:   metrics.GetOrRegisterCounter("fairshare.refused", opts.Registry),
		uncounted: metrics.GetOrRegisterCounter("fairshare.uncounted", opts.Registry),
		sent:      metrics.GetOrRegisterCounter("fairshare.datagramsSent", opts.Registry),
		received:  metrics.GetOrRegisterCounter("fairshare.datagramsReceived", opts.Registry),
		ignored:   metrics.GetOrRegisterCounter("fairshare.datagramsIgnored", opts.Registry),
	}
	p.services.Store(&map[string]*service{})
	p.interval.Store(int64(minSendInterval))
	transport.Subscribe(peers.TopicShares, func(from string, data []byte) { p.receive(time.Now(), from, data) })
	return p
}

var _ fighollow.SharePolicy = (*Policy)(nil)

// Run measures, sends and judges until ctx is done, from the first request of a workspace or the first message on. Until then it does not
// wake up, so that a deployment without workspaces pays nothing.
func (p *Policy) Run(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-p.used:
	}
	ticker := time.NewTicker(bucketTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Tick(time.Now())
		}
	}
}

// use lets Run begin.
func (p *Policy) use() { p.begin.Do(func() { close(p.used) }) }

// service returns the state of a service, or nil if there are too many.
func (p *Policy) service(name string) *service {
	if s := (*p.services.Load())[name]; s != nil {
		return s
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	all := *p.services.Load()
	if s := all[name]; s != nil || len(all) >= maxServices || len(name) > maxNameBytes {
		return s
	}
	s := &service{name: name, gauge: metrics.GetOrRegisterGaugeFloat64("fairshare.fairRateMs."+name, p.opts.Registry)}
	all = maps.Clone(all)
	all[name] = s
	p.services.Store(&all)
	return s
}

// Decide implements fighollow.SharePolicy. A request of a workspace at or below the fair rate is admitted.
func (p *Policy) Decide(now time.Time, r fighollow.ShareRequest) fighollow.ShareDecision {
	p.use()
	s := p.service(r.Service)
	if s == nil || r.Workspace == "" || len(r.Workspace) > maxNameBytes {
		p.uncounted.Inc(1)
		return fighollow.ShareDecision{Admitted: true}
	}
	shard := p.rates.shard(r.Workspace)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	c := shard.cell(cellKey{r.Service, r.Workspace})
	if c == nil {
		p.uncounted.Inc(1)
		return fighollow.ShareDecision{Admitted: true}
	}
	d, workMs := p.decide(now, s, s.verdict.Load(), c, r)
	s.delayed.add(now, p.bucketNumber(now), workMs, r)
	if !d.Admitted {
		s.refused.Add(1)
		p.refused.Inc(1)
	}
	return d
}

// bucketNumber returns the number of the bucket of a time.
func (p *Policy) bucketNumber(now time.Time) int64 { return int64(now.Sub(p.rates.start) / bucketTime) }

// decide counts a request in the cell of its workspace and decides on it by a verdict, which is nil if the service is not scarce. It also
// returns the engine time that the request counts, in milliseconds.
func (p *Policy) decide(now time.Time, s *service, v *verdict, c *cell, r fighollow.ShareRequest) (fighollow.ShareDecision, float32) {
	workMs := statedMs(r.Work)
	if c.computed.prompts(now) >= minObserved {
		all := s.observed.get()
		workMs = min(workMs*correction(now, &c.computed, &all), maxWorkMs)
	}
	rank := boundRank(r.Rank)
	b := c.at(p.bucketNumber(now))
	b.offered[rank] += float32(workMs)
	if r.Refused {
		return fighollow.ShareDecision{Admitted: true}, float32(workMs) // placement has refused it, and it is only counted
	}
	if v != nil && !v.admits(r.Workspace, c.rates(now.Sub(p.rates.start), rateBuckets), rank, drawOf(r.ID)) {
		return fighollow.ShareDecision{RetryAfter: retryAfter(drawOf(r.ID+"/retry"), time.Duration(p.interval.Load()))}, float32(workMs)
	}
	b.admitted += float32(workMs)
	return fighollow.ShareDecision{Admitted: true}, float32(workMs)
}

// statedMs returns the engine time that a request states, in milliseconds, within its bounds.
func statedMs(work time.Duration) float64 {
	return min(max(minWorkMs, float64(work)/float64(time.Millisecond)), maxWorkMs)
}

func boundRank(rank int) int { return min(max(rank, 0), maxRanks-1) }

// Computed implements fighollow.SharePolicy. What is not measured by Decide is ignored.
func (p *Policy) Computed(now time.Time, r fighollow.ShareRequest, took time.Duration) {
	s := (*p.services.Load())[r.Service]
	if s == nil || took < 0 {
		return
	}
	rank, workMs, tookMs := boundRank(r.Rank), statedMs(r.Work), float64(took)/float64(time.Millisecond)
	shard := p.rates.shard(r.Workspace)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if c := shard.cells[cellKey{r.Service, r.Workspace}]; c != nil {
		c.computed[rank].add(now, tookMs, workMs)
		s.observed.add(now, rank, tookMs, workMs)
	}
}

// admits reports whether a request of a workspace is admitted, given the rates of the workspace at this entry.
func (v *verdict) admits(workspace string, own rates, rank int, draw float64) bool {
	probability := v.fraction(workspace, own)
	if probability >= 1 {
		return true
	}
	known := v.shares[workspace]
	ranks := known.ranks
	if known.rate == 0 {
		ranks = own.ranks // what is stated is older than the workspace's demand
	}
	return ranks.position(rank, draw) < probability
}

// fraction returns the fraction of a workspace's requests that are admitted, given the rates of the workspace at this entry.
func (v *verdict) fraction(workspace string, own rates) float64 {
	return probability(max(v.shares[workspace].rate, own.offered), v.fair, v.floor)
}

// Tick judges each service by what is known at now, and sends what is due.
func (p *Policy) Tick(now time.Time) {
	if p.isIdle(now) {
		return
	}
	dataCentres := p.transport.DataCentres()
	for _, s := range p.step(now, dataCentres) {
		p.transport.Send(peers.TopicShares, s.data, s.to...)
		p.sent.Inc(int64(len(s.to)))
	}
}

// isIdle reports whether there is nothing to judge or send: no request was late lately, no message counts any more, and the last step has
// ended all divisions. It drops rates that are not used any more.
func (p *Policy) isIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.settled || len(p.reports)+len(p.summaries) > 0 || anyLate(now, *p.services.Load()) {
		p.settled = false
		return false
	}
	p.clean(now)
	return true
}

// clean drops rates that are not used any more, at most once in a rateWindow. p.mu must be held.
func (p *Policy) clean(now time.Time) {
	if now.After(p.nextClean) {
		p.nextClean = now.Add(rateWindow)
		p.rates.all(now)
	}
}

// sending is a datagram with its receivers.
type sending struct {
	data []byte
	to   []string
}

// step does the work of Tick and returns what is to be sent.
func (p *Policy) step(now time.Time, dataCentres map[string]string) []sending {
	interval := max(minSendInterval, time.Duration(len(dataCentres)+1)*sendIntervalPerEntry)
	p.interval.Store(int64(interval))
	known := configured{set(p.opts.Workspaces()), set(p.opts.Services())}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(now, dataCentres)
	services := *p.services.Load()
	var collectors []string
	involved := false
	if len(p.reports)+len(p.summaries) > 0 || anyLate(now, services) {
		collectors = p.collectors(dataCentres)
		involved = len(known.workspaces) > 0 && (anyLate(now, services) || p.hearsOfScarcity(collectors))
	}
	if !involved && len(p.reports) == 0 {
		for _, s := range services {
			s.own = estimator{}
			p.set(now, s, nil, "")
		}
		p.settled = len(p.reports)+len(p.summaries) == 0
		p.clean(now)
		return nil
	}
	measured := p.rates.all(now)
	var out []sending
	due := !now.Before(p.nextSend)
	if due {
		if p.nextSend.IsZero() || now.Sub(p.nextSend) > interval {
			p.nextSend = now // it was silent
		}
		p.nextSend = p.nextSend.Add(interval)
	}
	if due && involved {
		out = append(out, p.report(now, services, measured, collectors)...)
	}
	if due && slices.Contains(collectors, p.opts.Self) && len(known.workspaces) > 0 {
		out = append(out, p.summarise(now, known, collectors, dataCentres)...)
	}
	for _, s := range services {
		p.judge(now, s, measured[s.name], collectors)
	}
	return out
}

// configured is what the configuration in force has.
type configured struct {
	workspaces, services map[string]bool
}

// set returns names as a set.
func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

// collectors returns the names of the collecting entries, in order.
func (p *Policy) collectors(dataCentres map[string]string) []string {
	all := maps.Clone(dataCentres)
	all[p.opts.Self] = p.opts.DataCentre
	return roster.Observers(all)
}

// forget drops what is not used any more.
func (p *Policy) forget(now time.Time, dataCentres map[string]string) {
	gone := func(name string) bool {
		_, ok := dataCentres[name]
		return !ok && name != p.opts.Self
	}
	maps.DeleteFunc(p.reports, func(name string, s *statement) bool { return gone(name) || !s.fresh(now) })
	maps.DeleteFunc(p.summaries, func(name string, s *summary) bool { return gone(name) || !s.current.fresh(now) })
}

// anyLate reports whether a request of this entry was late within reportTime.
func anyLate(now time.Time, services map[string]*service) bool {
	for _, s := range services {
		if s.delayed.within(now, reportTime) {
			return true
		}
	}
	return false
}

// hearsOfScarcity reports whether a collector says that a service is scarce or that requests are late.
func (p *Policy) hearsOfScarcity(collectors []string) bool {
	for _, name := range collectors {
		s := p.summaries[name]
		if s == nil {
			continue
		}
		for _, part := range s.current.parts {
			for i := range part {
				if part[i].State == stateAsked || part[i].State == stateScarce || part[i].Late > 0 {
					return true
				}
			}
		}
	}
	return false
}

// report returns this entry's report to the collectors, and keeps it if it is one.
func (p *Policy) report(now time.Time, services map[string]*service, measured map[string]map[string]rates, collectors []string) []sending {
	var stated []serviceMessage
	for _, name := range slices.Sorted(maps.Keys(services)) {
		late, crowded := services[name].delayed.rates(now.Sub(p.rates.start))
		m := serviceMessage{Name: name, Late: tenths(late), Crowded: tenths(crowded), Workspaces: workspaceMessages(measured[name])}
		if m.Late > 0 || len(m.Workspaces) > 0 {
			stated = append(stated, m)
		}
	}
	p.round++
	var out []sending
	for _, m := range split(kindReport, p.round, stated) {
		out = append(out, sending{m.encode(), without(collectors, p.opts.Self)})
		if slices.Contains(collectors, p.opts.Self) {
			p.keepReport(now, p.opts.Self, &m)
		}
	}
	return out
}

// without returns names without one of them.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}

func (p *Policy) keepReport(now time.Time, from string, m *message) {
	s := p.reports[from]
	if s == nil {
		s = &statement{}
		p.reports[from] = s
	}
	s.add(now, m)
}

func (p *Policy) keepSummary(now time.Time, from string, m *message) {
	s := p.summaries[from]
	if s == nil {
		s = &summary{}
		p.summaries[from] = s
	}
	s.add(now, m)
}

// summarise judges each service by the reports and returns the summary, unless an earlier collector sends one.
func (p *Policy) summarise(now time.Time, known configured, collectors []string, dataCentres map[string]string) []sending {
	services, entries := aggregateReports(now, p.reports, known)
	maps.DeleteFunc(p.judges, func(name string, _ *estimator) bool { return services[name] == nil })
	var stated []serviceMessage
	for _, name := range slices.Sorted(maps.Keys(services)) {
		measured, t := services[name].sum(entries)
		e := p.judges[name]
		if e == nil {
			e = &estimator{updated: now}
			p.judges[name] = e
		}
		if float64(entries) < minCoverage*float64(len(dataCentres)+1) {
			if t.late > 0 || e.scarce {
				stated = append(stated, serviceMessage{Name: name, State: stateAsked, Late: tenths(t.late)})
			}
			continue
		}
		e.update(now, t)
		if e.scarce {
			a := allocate(measured, e.divided(), t.admitted)
			stated = append(stated, a.message(name, t.late))
		} else {
			stated = append(stated, serviceMessage{Name: name, State: stateAbundant, Late: tenths(t.late)})
		}
	}
	if len(stated) == 0 || p.liveBefore(now, collectors, p.opts.Self) {
		delete(p.summaries, p.opts.Self)
		return nil
	}
	p.round++
	var out []sending
	for _, m := range split(kindSummary, p.round, stated) {
		out = append(out, sending{m.encode(), slices.Sorted(maps.Keys(dataCentres))})
		p.keepSummary(now, p.opts.Self, &m)
	}
	return out
}

// isLive reports whether a collector sends summaries.
func (p *Policy) isLive(now time.Time, name string) bool {
	s := p.summaries[name]
	return s != nil && now.Sub(s.current.at) <= time.Duration(liveRounds*float64(p.interval.Load()))
}

// liveBefore reports whether a collector that comes before one sends summaries.
func (p *Policy) liveBefore(now time.Time, collectors []string, name string) bool {
	for _, c := range collectors {
		if c == name {
			return false
		}
		if p.isLive(now, c) {
			return true
		}
	}
	return false
}

// summary returns the summary to go by: of the first live collector, or else the newest; nil if there is none.
func (p *Policy) summary(now time.Time, collectors []string) (*summary, string) {
	var newest *summary
	from := ""
	for _, c := range collectors {
		s := p.summaries[c]
		if s == nil {
			continue
		}
		if p.isLive(now, c) {
			return s, c
		}
		if newest == nil || s.current.at.After(newest.current.at) {
			newest, from = s, c
		}
	}
	return newest, from
}

// judge decides whether a service is scarce, and by which rates it is divided.
func (p *Policy) judge(now time.Time, s *service, measured map[string]rates, collectors []string) {
	var t totals
	t.late, t.crowded = s.delayed.rates(now.Sub(p.rates.start))
	for _, name := range slices.Sorted(maps.Keys(measured)) {
		r := measured[name]
		t.offered, t.admitted = t.offered+r.offered, t.admitted+r.admitted
	}
	s.own.update(now, t)
	s.updateFraction(now, t)
	if heard, from := p.summary(now, collectors); heard != nil {
		m, a := heard.service(now, s.name)
		switch {
		case m != nil && m.State == stateScarce:
			if from != p.opts.Self {
				a.floor = max(a.floor, minFraction*s.ownFraction(now))
			}
			p.set(now, s, &verdict{a}, from)
			return
		case m != nil && m.State == stateAbundant:
			p.set(now, s, nil, from)
			return
		}
	}
	// A summary follows within two intervals where a collector can be reached.
	if s.own.scarce && now.Sub(s.own.since) > 2*time.Duration(p.interval.Load()) {
		p.set(now, s, &verdict{allocate(measured, s.own.divided(), t.admitted)}, p.opts.Self)
		return
	}
	p.set(now, s, nil, "")
}

// ownFraction returns the fraction that this entry admits over all workspaces, or 1 if none of its requests had to wait for some time: then
// what is stated of scarcity may be wrong.
func (s *service) ownFraction(now time.Time) float64 {
	if !s.delayed.crowdedWithin(now, doubtTime) {
		return 1
	}
	return s.fraction
}

// updateFraction updates the fraction that this entry admits, of which each measurement counts half after fractionHalfLife.
func (s *service) updateFraction(now time.Time, t totals) {
	if t.offered == 0 {
		return
	}
	if s.fractionAt.IsZero() {
		s.fraction, s.fractionAt = 1, now
	}
	keep := math.Exp2(-float64(now.Sub(s.fractionAt)) / float64(fractionHalfLife))
	s.fraction, s.fractionAt = keep*s.fraction+(1-keep)*t.admitted/t.offered, now
}

// set puts a verdict in force, and logs when scarcity begins and ends.
func (p *Policy) set(now time.Time, s *service, v *verdict, from string) {
	before := s.verdict.Swap(v)
	if before == nil && v == nil {
		return
	}
	refused := s.refused.Swap(0)
	s.total += refused
	switch {
	case before == nil:
		s.began, s.total, s.loggedAt = now, refused, now
		event.ScarcityBegan.Log(&p.log).Str("service", s.name).Str("by", from).Float64("fairRateMs", v.fair).Float64("floor", v.floor).
			Int("above", len(v.shares)).Send()
	case v == nil:
		s.gauge.Update(0)
		event.ScarcityEnded.Log(&p.log).Str("service", s.name).Int64("lastedMs", now.Sub(s.began).Milliseconds()).
			Int64("refused", s.total).Send()
		return
	case now.Sub(s.loggedAt) >= refusalLogInterval:
		s.loggedAt = now
		event.SharesRefused.Log(&p.log).Str("service", s.name).Str("by", from).Int64("refused", s.total).Float64("fairRateMs", v.fair).
			Float64("floor", v.floor).Int("above", len(v.shares)).Send()
	}
	s.gauge.Update(v.fair)
}

// receive handles a message that arrived at now.
func (p *Policy) receive(now time.Time, from string, data []byte) {
	p.use()
	p.received.Inc(1)
	m, err := decodeMessage(data)
	if err != nil {
		p.ignored.Inc(1)
		event.ShareMessageIgnored.Log(&p.log).Str("peer", from).Err(err).Send()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.Kind == kindReport {
		p.keepReport(now, from, m)
		return
	}
	p.keepSummary(now, from, m)
}
