package log

import "postjunction/internal/apierror"

const maxNameBytes = 128

// CheckName returns apierror.Malformed for what can't be a key or a sender's name.
func CheckName(field, name string) error {
	ok := name != "" && len(name) <= maxNameBytes
	for i := range len(name) {
		ok = ok && name[i] > ' ' && name[i] <= '~'
	}
	if !ok {
		return apierror.New(
			apierror.Malformed, "%s must be 1 to %d printable bytes without spaces", field,
			maxNameBytes,
		)
	}
	return nil
}
