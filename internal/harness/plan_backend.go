package harness

import (
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// backendGrace is the time for which a stopping backend server continues to serve.
// It exceeds the 3 s after which no entry sends it new calls.
const backendGrace = 3500 * time.Millisecond

func (f *Fleet) planBackends() error {
	for i, b := range f.opts.Backends {
		p, err := newProcess(f.opts.Bin, f.opts.Dir, KindBackend, b.Name, b.DataCentre)
		if err != nil {
			return err
		}
		if p.Address, err = f.address(b.DataCentre, backendHost+i%30); err != nil {
			return err
		}
		p.args = f.backendArgs(p, b, i)
		f.Backends = append(f.Backends, p)
	}
	return nil
}

func (f *Fleet) backendArgs(p *Process, b Backend, seed int) []string {
	return []string{
		"-instance", b.Name,
		"-service", b.Service,
		"-listen", p.Address,
		"-entries", strings.Join(f.entryAddresses(b.DataCentre), ","),
		"-slots", strconv.Itoa(b.Slots),
		"-connections", strconv.Itoa(b.Connections),
		"-mean", (time.Duration(b.ServiceTimeMS) * time.Millisecond).String(),
		"-seed", strconv.Itoa(seed + 1),
		"-grace", backendGrace.String(),
		"-history", filepath.Join(p.Folder, "history.jsonl"),
	}
}
