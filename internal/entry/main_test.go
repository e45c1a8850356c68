package entry

import (
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive the entry that started them.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	// go-metrics keeps one goroutine for all meters of a process.
	library := goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick")
	if err := goleak.Find(library); code == 0 && err != nil {
		_, _ = os.Stderr.WriteString(err.Error() + "\n")
		code = 1
	}
	os.Exit(code)
}
