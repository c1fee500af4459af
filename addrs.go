package egret

import (
	"net/netip"
	"strings"

	"github.com/juju/errors"
)

// AddressMap translates addresses before they are dialled, for networks with address translation.
//
// The zero AddressMap translates none. An AddressMap must not change once it is shared.
type AddressMap struct {
	// Rules has at most one rule for each From address.
	Rules []AddressRule
}

// AddressRule translates one address.
type AddressRule struct {
	// From is the address that the tables or the peers report.
	From netip.AddrPort

	// To is the address to dial instead.
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

// ParseAddressRule parses a rule of the form FROM=TO, where each side is an IP address and a port.
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
