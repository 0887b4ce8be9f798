package platform

import (
	"bytes"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"jayford.example/jayford/internal/rawjson"
)

// decodeListing decodes the response to a list or a watch into l. Objects are decoded one by one,
// and one that can't be decoded is left out: another writer may have stored it.
func decodeListing(text []byte, l *Listing) error {
	return rawjson.Members(text, func(key string, value []byte) error {
		switch key {
		case "revision":
			return json.Unmarshal(value, &l.Revision)
		case "objects":
			return l.decodeObjects(value)
		}
		return nil
	})
}

func (l *Listing) decodeObjects(text []byte) error {
	l.Objects = nil
	if string(text) == "null" {
		return nil
	}
	return rawjson.Elements(text, func(element []byte) error {
		o, err := decodeObject(element)
		if err != nil {
			logrus.WithField("object", o.Name).WithError(err).Warn("platform: object can't be decoded, skipped.")
			return nil
		}
		l.Objects = append(l.Objects, o)
		return nil
	})
}

// decodeObject decodes an object without its spec, which may be nested to any depth.
func decodeObject(text []byte) (Object, error) {
	var o Object
	err := rawjson.Members(text, func(key string, value []byte) error {
		switch key {
		case "kind":
			return json.Unmarshal(value, &o.Kind)
		case "name":
			return json.Unmarshal(value, &o.Name)
		case "version":
			return json.Unmarshal(value, &o.Version)
		case "deleted":
			return json.Unmarshal(value, &o.Deleted)
		case "operation":
			return json.Unmarshal(value, &o.Operation)
		case "spec":
			o.Spec = bytes.Clone(value)
		}
		return nil
	})
	if err == nil && o.Name == "" {
		err = eris.New("object has no name")
	}
	return o, err
}
