package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/pkg/fighollow"
)

func TestLongestPrefixOfTheHost(t *testing.T) {
	tab := newRouteTable(&fighollow.Routing{Routes: []fighollow.Route{
		{Name: "short", Host: "a", PathPrefix: "/x/"}, {Name: "long", Host: "a", PathPrefix: "/x/y/"}, {Name: "other", Host: "b", PathPrefix: "/x/"},
	}})
	for target, want := range map[string]string{
		"/x/1": "short", "/x/y/1": "long", "/x/y": "short", "/x/%79/1": "short", "/x": "", "/": "", "/x/?q=/x/y/": "short", "/X/1": "",
	} {
		got := ""
		if r := tab.find("a", target); r != nil {
			got = r.Name
		}
		qt.Assert(t, got, qt.Equals, want, qt.Commentf("%s", target))
	}
	qt.Assert(t, tab.find("c", "/x/1"), qt.IsNil)
	qt.Assert(t, tab.find("b", "/x/1").Name, qt.Equals, "other")
}

func TestServicesByWeight(t *testing.T) {
	r := &fighollow.Route{Services: []fighollow.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	got := make(map[string]int)
	for seed := range uint64(1000) {
		got[pickService(r, seed)]++
	}
	qt.Assert(t, got, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
	qt.Assert(t, pickService(&fighollow.Route{}, 1), qt.Equals, "")
}

func TestLastEventID(t *testing.T) {
	for events, want := range map[string]string{
		"id: 1\ndata: x\n\n": "1", "id: 1\ndata: x\n\nid: 2\ndata: y\n\n": "2", "data: x\n\n": "", "id:7\r\ndata: x\r\n\r\n": "7",
		"data: id: 3\n\n": "", "weight-versions:2\nid: 4\ndata: x\n\n": "4",
	} {
		qt.Assert(t, lastEventID([]byte(events)), qt.Equals, want, qt.Commentf("%q", events))
	}
}
