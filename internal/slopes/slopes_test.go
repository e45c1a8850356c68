package slopes

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/declare"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Guards against a wrong slope or standard error; the values were computed by
// hand: residuals 0.2, -0.4, 0.2 give a variance of 0.24.
func TestFitLine(t *testing.T) {
	l, err := fitLine([]float64{0, 1, 2}, []float64{1, 2.2, 4.6})
	require.NoError(t, err)
	require.InDelta(t, 1.8, l.Slope, 1e-9)
	require.InDelta(t, 0.8, l.Intercept, 1e-9)
	require.InDelta(t, 0.346410, l.SlopeError, 1e-6)
	require.InDelta(t, 0.447214, l.InterceptError, 1e-6)
}

// Guards against a division by zero for points at a single size.
func TestFitLineNeedsSizes(t *testing.T) {
	_, err := fitLine([]float64{1, 1, 1}, []float64{1, 2, 3})
	require.ErrorIs(t, err, ErrFit)
	_, err = fitLine([]float64{1, 2}, []float64{1, 2})
	require.ErrorIs(t, err, ErrFit)
}

// Guards against fields that are counted wrongly when the command has spaces and
// parentheses, and against files that are cut short.
func TestParseProc(t *testing.T) {
	cpu, err := parseCPU([]byte("7 (a b) c) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 9\n"))
	require.NoError(t, err)
	require.Equal(t, "2s", cpu.String())
	_, err = parseCPU([]byte("7 (a) S 1"))
	require.ErrorIs(t, err, ErrProc)
	n, err := parseField([]byte("Name:\tx\nVmRSS:\t  12 kB\n"), "VmRSS")
	require.NoError(t, err)
	require.EqualValues(t, 12, n)
	_, err = parseField([]byte("VmRSS:\n"), "VmRSS")
	require.ErrorIs(t, err, ErrProc)
}

// Guards against a /proc layout of the running kernel that the parsers don't know.
func TestReadOwnSample(t *testing.T) {
	s, err := readSample(os.Getpid())
	require.NoError(t, err)
	require.Positive(t, s.RSS)
	require.Positive(t, s.Read)
}

// Guards against sizes whose declarations the state machine refuses, which would
// end a measurement halfway.
func TestDeclarationsAreAccepted(t *testing.T) {
	for _, d := range Dimensions() {
		for _, size := range d.Sizes {
			cfg := d.Spec(size).config()
			state := fleet.NewState()
			change := &fleet.ConfigChange{RequestID: "r", Operator: "o", Items: declare.Diff(state.Config, cfg)}
			res := state.Apply(1, fleet.Command{Change: change})
			require.Nil(t, res.Refusal, "%s %g", d.Name, size)
			require.Len(t, state.Config.Instances, d.Spec(size).Workers+d.Spec(size).Backends)
		}
	}
}

// Guards against a run of one dimension that drops the others from the file.
func TestKeepOtherDimensions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "capacity.json")
	old := Report{Points: []Point{{Dimension: "workers", Size: 1}, {Dimension: "calls", Size: 2}}}
	require.NoError(t, old.Save(path))
	earlier, err := Load(path)
	require.NoError(t, err)
	r := Report{Points: []Point{{Dimension: "workers", Size: 3}}}
	r.Keep(earlier)
	require.Equal(t, []Point{{Dimension: "workers", Size: 3}, {Dimension: "calls", Size: 2}}, r.Points)
}

// Guards against messages at the design size that no frame can carry, such as a
// full copy of the configuration.
func TestDesignMessagesFitAFrame(t *testing.T) {
	all, err := sizes()
	require.NoError(t, err)
	for _, s := range all {
		require.Positive(t, s.Bytes, s.Name)
		require.Less(t, s.Bytes, wire.MaxFrameBytes, s.Name)
	}
}
