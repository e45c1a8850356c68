package settings

import "net/netip"

// Validate checks the settings of an entry and returns *Error for the first invalid
// field. file is the name of the settings file in the error.
func (e *Entry) Validate(file string) error {
	if err := e.checkCommon(file); err != nil {
		return err
	}
	if err := CheckAddress(file, "listen", e.Listen); err != nil {
		return err
	}
	if err := CheckAddress(file, "peer_listen", e.PeerListen); err != nil {
		return err
	}
	if err := e.checkPeerAddresses(file); err != nil {
		return err
	}
	if e.OperatorToken == "" {
		return &Error{File: file, Field: "operator_token", Reason: "is required"}
	}
	switch e.Policies["admission"] {
	case "", "fair", "fifo":
		return nil
	}
	return &Error{File: file, Field: "policies", Reason: "admission is not one of fair, fifo"}
}

func (e *Entry) checkPeerAddresses(file string) error {
	if e.PeerAdvertise != "" {
		if err := CheckAddress(file, "peer_advertise", e.PeerAdvertise); err != nil {
			return err
		}
	}
	if addr, err := netip.ParseAddrPort(e.PeerListen); e.PeerAdvertise == "" && err == nil && addr.Addr().IsUnspecified() {
		return &Error{File: file, Field: "peer_advertise", Reason: "is required when peer_listen is an unspecified address such as 0.0.0.0"}
	}
	if len(e.Stores) == 0 {
		return &Error{File: file, Field: "stores", Reason: "is empty"}
	}
	for _, addr := range e.Stores {
		if err := CheckAddress(file, "stores", addr); err != nil {
			return err
		}
	}
	for _, addr := range e.Peers {
		if err := CheckAddress(file, "peers", addr); err != nil {
			return err
		}
	}
	if _, ok := e.Ledgers[e.DataCentre]; !ok {
		return &Error{File: file, Field: "ledgers", Reason: "has no ledger for the entry's own data centre"}
	}
	for name, addr := range e.Ledgers {
		if err := CheckAddress(file, "ledgers."+name, addr); err != nil {
			return err
		}
	}
	return nil
}
