package store

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against goroutines that outlive their store. The metrics library runs one
// goroutine for all meters of the process that never ends.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
}
