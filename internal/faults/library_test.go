package faults_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/platform/standin"
)

// libraryRequests are requests that Go's HTTP server answers before the product's handler, or passes on in an unusual form, with the status
// that each port gives: callers without keys, callers where keys are required and none is sent, readiness checks, metrics. The library refuses what it
// cannot read, and closes the connection. What it can read gets 404 if no route has the host and the path as they are sent; a key is
// asked for after that, as the route says whether one is needed.
var libraryRequests = []struct {
	name, request string
	statuses      [4]int
}{
	{"ordinary", "GET /once/plain/x HTTP/1.1\r\nHost: %s\r\n%s\r\n", [4]int{200, 401, 404, 404}},
	{"optionsForTheServer", "OPTIONS * HTTP/1.1\r\nHost: %s\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"methodForTheServer", "GET * HTTP/1.1\r\nHost: %s\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"optionsWithoutRoute", "OPTIONS /nowhere HTTP/1.1\r\nHost: %s\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"trace", "TRACE /nowhere HTTP/1.1\r\nHost: %s\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"authorityForm", "CONNECT %s:443 HTTP/1.1\r\nHost: h\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"absoluteForm", "GET http://%s/nowhere HTTP/1.1\r\nHost: h\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"absoluteFormOfARoute", "GET http://%s/once/plain/x HTTP/1.1\r\nHost: h\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"hostWithPort", "GET /once/plain/x HTTP/1.1\r\nHost: %s:80\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"hostInUpperCase", "GET /once/plain/x HTTP/1.1\r\nHost: " + strings.ToUpper(playHost) + "%.0s\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"noHost", "GET /once/plain/x HTTP/1.1\r\nA: %s\r\n%s\r\n", [4]int{400, 400, 400, 400}},
	{"twoHosts", "GET /once/plain/x HTTP/1.1\r\nHost: %s\r\nHost: h\r\n%s\r\n", [4]int{400, 400, 400, 400}},
	{"malformedLine", "GET\r\nHost: %s\r\n%s\r\n", [4]int{400, 400, 400, 400}},
	{"malformedField", "GET /once/plain/x HTTP/1.1\r\nHost: %s\r\n a b\r\n%s\r\n", [4]int{400, 400, 400, 400}},
	{"malformedMethod", "G@T /once/plain/x HTTP/1.1\r\nHost: %s\r\n%s\r\n", [4]int{400, 400, 400, 400}},
	{"malformedTarget", "GET /once/plain/%%zz HTTP/1.1\r\nHost: %s\r\n%s\r\n", [4]int{400, 400, 400, 400}},
	{"malformedLength", "POST /once/plain/x HTTP/1.1\r\nHost: %s\r\nContent-Length: -1\r\n%s\r\n", [4]int{400, 400, 400, 400}},
	{"twoLengths", "POST /once/plain/x HTTP/1.1\r\nHost: %s\r\nContent-Length: 1\r\nContent-Length: 2\r\n%s\r\n", [4]int{400, 400, 400, 400}},
	{"unknownEncoding", "POST /once/plain/x HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: gzip\r\n%s\r\n", [4]int{501, 501, 501, 501}},
	{"unknownExpectation", "POST /once/plain/x HTTP/1.1\r\nHost: %s\r\nExpect: more\r\nContent-Length: 1\r\n%s\r\n", [4]int{417, 417, 417, 417}},
	{"longHeader", "GET /once/plain/x HTTP/1.1\r\nHost: %s\r\nLong: " + strings.Repeat("x", 40<<10) + "\r\n%s\r\n", [4]int{431, 431, 431, 431}},
	{"version09", "GET /once/plain/%s%.0s\r\n\r\n", [4]int{400, 400, 400, 400}},
	{"version20", "GET /once/plain/x HTTP/2.0\r\nHost: %s\r\n%s\r\n", [4]int{505, 505, 505, 505}},
	{"preface20", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n%.0s%.0s", [4]int{404, 404, 413, 413}},
	{"upgrade", "GET /nowhere HTTP/1.1\r\nHost: %s\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n%s\r\n", [4]int{404, 404, 404, 404}},
	{"tls", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n%.0s%.0s", [4]int{400, 400, 400, 400}},
}

// Guards against a success that no upstream gave: answers of the HTTP library itself, and requests in forms that few callers use.
func TestAnswersOfTheHTTPLibraryAreRefusals(t *testing.T) {
	var plays [2]*entryPlay
	var engines [2]*standin.Engine
	for i := range plays {
		plays[i] = newEntryPlay(t)
		engines[i] = plays[i].addUpstream("s-plain", "", "plain", 0, standin.EngineFaults{})
	}
	plays[0].configure([]string{"plain"}, nil)
	plays[1].configure([]string{"plain"}, nil, standin.Workspace{Name: "w", Keys: []string{"k"}})
	for i := range plays {
		plays[i].start()
	}
	for _, c := range libraryRequests {
		var got [4]int
		for i, address := range []string{plays[0].cfg.Ingress, plays[1].cfg.Ingress, plays[0].cfg.Readiness, plays[0].metrics} {
			got[i] = statusOf(t, address, fmt.Sprintf(c.request, playHost, standin.RequestFields(plays[0].nextID(), time.Second)))
		}
		qt.Check(t, got, qt.Equals, c.statuses, qt.Commentf(c.name))
	}
	qt.Check(t, engines[0].Arrivals(), qt.HasLen, 1) // the ordinary one
	qt.Check(t, engines[1].Arrivals(), qt.HasLen, 0)
}

// statusOf returns the status of the answer to a request as it is sent, or 0 if the connection ends without one.
func statusOf(t *testing.T, address, request string) int {
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // fails only if the connection has ended
	_, _ = io.WriteString(c, request)                  // the server may have closed the connection
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
