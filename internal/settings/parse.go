package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"

	"postjunction/internal/apierror"
)

// Read reads a settings file into o; fields that it doesn't have are unchanged. The error is
// apierror.SettingsInvalid.
func (o *Options) Read(path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return apierror.Wrap(apierror.SettingsInvalid, err, "settings file %s can't be read", path)
	}
	return o.Parse(path, b)
}

// Parse reads the content of a settings file into o: one JSON object without unknown or duplicate
// fields, and nothing after it. The error is apierror.SettingsInvalid, and names path.
func (o *Options) Parse(path string, b []byte) error {
	if name, err := duplicateField(b); err == nil && name != "" {
		return apierror.New(apierror.SettingsInvalid, "%s: field %q: appears twice", path, name)
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

// withoutPrefixes returns the text of a decoding error without the prefixes that its packages add.
func withoutPrefixes(err error) string {
	text := strings.TrimPrefix(err.Error(), "json: ")
	return strings.TrimPrefix(text, string(apierror.SettingsInvalid)+": ")
}

// duplicateField returns the name of a field that is in an object twice, empty if there is none.
func duplicateField(b []byte) (string, error) {
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
