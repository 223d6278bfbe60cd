package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"

	"postjunction/internal/apierror"
)

// Read reads a settings file over o. The error is apierror.SettingsInvalid.
func (o *Options) Read(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return apierror.Wrap(apierror.SettingsInvalid, err, "settings file %s can't be read", path)
	}
	return o.Parse(path, b)
}

// Parse reads the text of a settings file over o: one JSON object, no unknown or double fields,
// nothing after it. The error is apierror.SettingsInvalid, and names path.
func (o *Options) Parse(path string, b []byte) error {
	if name, err := doubledField(b); err == nil && name != "" {
		return apierror.New(apierror.SettingsInvalid, "%s: field %q: stands twice", path, name)
	}
	decoder := json.NewDecoder(bytes.NewReader(b))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(o); err != nil {
		return apierror.New(apierror.SettingsInvalid, "%s: %s", path, withoutPrefixes(err))
	}
	if _, err := decoder.Token(); err != io.EOF {
		return apierror.New(apierror.SettingsInvalid, "%s: something follows the settings object", path)
	}
	return nil
}

// withoutPrefixes returns the text of a decoding error without the names of the packages that made
// it.
func withoutPrefixes(err error) string {
	text := strings.TrimPrefix(err.Error(), "json: ")
	return strings.TrimPrefix(text, string(apierror.SettingsInvalid)+": ")
}

// doubledField returns the name of a field that stands twice in an object, empty when none does.
func doubledField(b []byte) (string, error) {
	decoder := json.NewDecoder(bytes.NewReader(b))
	if _, err := decoder.Token(); err != nil {
		return "", err
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return "", err
		}
		name, _ := token.(string)
		if seen[name] {
			return name, nil
		}
		seen[name] = true
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return "", err
		}
	}
	return "", nil
}
