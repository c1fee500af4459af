package vmlist

import (
	"encoding/json"
	"net/netip"

	"github.com/juju/errors"

	"egretlane.example/egret"
)

// form is a VM as the list writes it.
type form struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Region  string         `json:"region"`
	Domain  string         `json:"failure-domain"`
	Leaving bool           `json:"leaving"`
}

// Decode reads a list. Keys that it doesn't know are passed over, since the platform may add some.
func Decode(data []byte) ([]egret.VM, error) {
	forms := []form{}
	err := json.Unmarshal(data, &forms)
	if err != nil {
		return nil, errors.Annotate(err, "decoding the list")
	}
	vms := make([]egret.VM, 0, len(forms))
	for _, f := range forms {
		if f.Name == "" {
			return nil, errors.NotValidf("a VM without a name")
		}
		vms = append(vms, egret.VM(f))
	}
	return vms, nil
}

// Encode writes a list.
func Encode(vms []egret.VM) ([]byte, error) {
	forms := make([]form, 0, len(vms))
	for _, v := range vms {
		forms = append(forms, form(v))
	}
	data, err := json.Marshal(forms)
	return data, errors.Annotate(err, "encoding the list")
}
