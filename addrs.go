package egret

import (
	"net/netip"
	"strings"

	"github.com/juju/errors"
)

// AddressMap replaces addresses before they are dialled, for networks that translate addresses.
//
// The zero AddressMap replaces none. It is read-only once shared.
type AddressMap struct {
	// Rules holds at most one rule for each From.
	Rules []AddressRule
}

// AddressRule replaces one address.
type AddressRule struct {
	// From is the address as the tables or the peers name it.
	From netip.AddrPort

	// To is the address that is dialled.
	To netip.AddrPort
}

// Resolve returns the address to dial for a.
func (m *AddressMap) Resolve(a netip.AddrPort) netip.AddrPort {
	for _, r := range m.Rules {
		if r.From == a {
			return r.To
		}
	}
	return a
}

// ParseAddressRule reads a rule of the form FROM=TO, each an IP and a port.
func ParseAddressRule(s string) (AddressRule, error) {
	from, to, found := strings.Cut(s, "=")
	if !found {
		return AddressRule{}, errors.NotValidf("address rule %q without \"=\"", s)
	}
	f, err := netip.ParseAddrPort(from)
	if err != nil {
		return AddressRule{}, errors.Annotatef(err, "address rule %q", s)
	}
	t, err := netip.ParseAddrPort(to)
	if err != nil {
		return AddressRule{}, errors.Annotatef(err, "address rule %q", s)
	}
	return AddressRule{
		From: f,
		To:   t,
	}, nil
}
