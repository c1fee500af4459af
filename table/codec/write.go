package codec

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
	"go.yaml.in/yaml/v3"

	"egretlane.example/egret"
)

// YAML returns the routes and pools, without the edits, as YAML for operators.
func YAML(t *egret.Tables) ([]byte, error) {
	d := toDocument(t)
	d.Edits = nil
	b := bytes.Buffer{}
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	err := e.Encode(d)
	if err != nil {
		return nil, errors.Annotate(err, "encoding the tables as YAML")
	}
	err = e.Close()
	return b.Bytes(), errors.Annotate(err, "encoding the tables as YAML")
}

// JSON returns the routes and pools, without the edits, as indented JSON for operators.
func JSON(t *egret.Tables) ([]byte, error) {
	d := toDocument(t)
	d.Edits = nil
	data, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return nil, errors.Annotate(err, "encoding the tables as JSON")
	}
	return append(data, '\n'), nil
}

// StoredJSON returns the tables with their edits, as they are stored. Equal tables give equal bytes.
func StoredJSON(t *egret.Tables) ([]byte, error) {
	data, err := json.Marshal(toDocument(t))
	return data, errors.Annotate(err, "encoding the tables for the store")
}
