package harness

import (
	"fmt"
	"path/filepath"
	"strconv"

	"github.com/samphirefork/samphirefork/internal/faultproxy"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/simworker"
)

// assignPeerAddresses assigns a process its peer address and the address of the
// proxy in front of it, and adds the link between both to the proxy.
func (f *Fleet) assignPeerAddresses(p *Process, host int) error {
	var err error
	if p.Peer, err = f.address(p.DataCentre, host); err != nil {
		return err
	}
	if p.Advertised, err = f.address(p.DataCentre, host+proxyHostOffset); err != nil {
		return err
	}
	f.links = append(f.links, faultproxy.Link{Listen: p.Advertised, Target: p.Peer})
	return nil
}

func (f *Fleet) commonSettings(p *Process) settings.Common {
	return settings.Common{Instance: p.Name, DataCentre: p.DataCentre, SharedSecret: sharedSecret, LogLevel: "info"}
}

func (f *Fleet) planStores() error {
	id := uint64(0)
	for i, dc := range f.opts.DataCentres {
		for n := range f.opts.Stores[i] {
			id++
			p, err := newProcess(f.opts.Bin, f.opts.Dir, KindStore, fmt.Sprintf("%s-s%d", dc, n+1), dc)
			if err != nil {
				return err
			}
			if err := f.assignPeerAddresses(p, storeHost+n); err != nil {
				return err
			}
			p.Address = p.Peer
			f.Stores = append(f.Stores, p)
			f.members = append(f.members, settings.Member{ID: id, Instance: p.Name, DataCentre: dc, Address: p.Advertised})
		}
	}
	for i, p := range f.Stores {
		if err := p.Configure(f.StoreSettings(p, uint64(i+1), false)); err != nil {
			return err
		}
	}
	return nil
}

// StoreSettings returns the settings of a store with the given member identifier,
// which has its own data folder. With join, the store waits until it is added as a
// learner, instead of starting a new log.
func (f *Fleet) StoreSettings(p *Process, id uint64, join bool) settings.Store {
	return settings.Store{
		Common:          f.commonSettings(p),
		ID:              id,
		Listen:          p.Peer,
		Advertise:       p.Advertised,
		DataFolder:      filepath.Join(p.Folder, "data-"+strconv.FormatUint(id, 10)),
		Members:         f.members,
		Join:            join,
		SnapshotEntries: f.opts.SnapshotEntries,
		Policies:        f.opts.Policies,
	}
}

func (f *Fleet) planEntries() error {
	for _, dc := range f.opts.DataCentres {
		for n := range f.opts.EntriesPerDC {
			p, err := newProcess(f.opts.Bin, f.opts.Dir, KindEntry, fmt.Sprintf("%s-e%d", dc, n+1), dc)
			if err != nil {
				return err
			}
			if err := f.assignPeerAddresses(p, entryHost+n); err != nil {
				return err
			}
			if p.Address, err = f.address(dc, entryHost+n); err != nil {
				return err
			}
			f.Entries = append(f.Entries, p)
		}
	}
	for _, p := range f.Entries {
		if err := p.Configure(f.entrySettings(p)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) entrySettings(p *Process) settings.Entry {
	s := settings.Entry{
		Common:        f.commonSettings(p),
		Listen:        p.Address,
		PeerListen:    p.Peer,
		PeerAdvertise: p.Advertised,
		Ledgers:       map[string]string{},
		OperatorToken: OperatorToken,
		Policies:      f.opts.Policies,
	}
	for _, store := range f.Stores {
		s.Stores = append(s.Stores, store.Advertised)
		if _, ok := s.Ledgers[store.DataCentre]; !ok {
			s.Ledgers[store.DataCentre] = store.Advertised
		}
	}
	for _, other := range f.Entries {
		if other != p {
			s.Peers = append(s.Peers, other.Advertised)
		}
	}
	return s
}

func (f *Fleet) entryAddresses(dataCentre string) []string {
	var out []string
	for _, e := range f.EntriesOf(dataCentre) {
		out = append(out, e.Address)
	}
	return out
}

func (f *Fleet) planWorkers() error {
	for i, w := range f.opts.Workers {
		p, err := newProcess(f.opts.Bin, f.opts.Dir, KindWorker, w.Name, w.DataCentre)
		if err != nil {
			return err
		}
		if p.Address, err = f.address(w.DataCentre, workerHost+i%30); err != nil {
			return err
		}
		cfg := simworker.Config{
			Instance:   w.Name,
			DataCentre: w.DataCentre,
			Rack:       w.Rack,
			Listen:     p.Address,
			Entries:    f.entryAddresses(w.DataCentre),
			Capacity:   w.Capacity,
			History:    filepath.Join(p.Folder, "history.jsonl"),
			FailAll:    w.FailAll,
			RebootTime: settings.Duration(rebootTime),
			UsageLag:   settings.Duration(usageLag),
		}
		if err := p.Configure(cfg); err != nil {
			return err
		}
		f.Workers = append(f.Workers, p)
	}
	return nil
}

func (f *Fleet) planProxy() error {
	p, err := newProcess(f.opts.Bin, f.opts.Dir, KindProxy, "network", "")
	if err != nil {
		return err
	}
	if f.proxyControl, err = f.address("", 1); err != nil {
		return err
	}
	zones := map[string]string{}
	for _, dc := range f.opts.DataCentres {
		zones[dc] = fmt.Sprintf("127.0.%d.0/24", f.dcIndex(dc))
	}
	f.proxy = p
	return p.Configure(faultproxy.Config{Control: f.proxyControl, Links: f.links, Zones: zones, Rules: f.baseRules()})
}
