package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/samphirefork/samphirefork/internal/api"
)

// post makes one call and reads its answer.
func post(b *testing.B, client *http.Client, target string) {
	req, err := http.NewRequest(http.MethodPost, target, strings.NewReader("hello"))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set(api.HeaderKey, testKey)
	req.Header.Set(api.HeaderIdempotent, "true")
	resp, err := client.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
}

// BenchmarkCall compares the call path with net/http/httputil.ReverseProxy in front
// of the same backend server, alternating between the two, and reports the ratio of
// the times per call.
func BenchmarkCall(b *testing.B) {
	store := newFakeStore(b)
	te := startEntry(b, store, "e1", "dc1")
	te.register(b, "b1", "plan", echoBackend)
	backends, _ := te.sched.capacitySummary()
	target, err := url.Parse("http://" + backends[0].Address)
	if err != nil {
		b.Fatal(err)
	}
	proxy := httptest.NewServer(httputil.NewSingleHostReverseProxy(target))
	defer proxy.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	defer client.CloseIdleConnections()
	post(b, client, te.url+"/v1/call/plan")
	post(b, client, proxy.URL+"/call/plan")
	var entryTime, proxyTime time.Duration
	for b.Loop() {
		started := time.Now()
		post(b, client, te.url+"/v1/call/plan")
		middle := time.Now()
		post(b, client, proxy.URL+"/call/plan")
		entryTime += middle.Sub(started)
		proxyTime += time.Since(middle)
	}
	b.ReportMetric(float64(entryTime)/float64(proxyTime), "x_reverse_proxy")
	b.ReportMetric(float64(entryTime.Microseconds())/float64(b.N), "us/call")
}
