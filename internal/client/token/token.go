// Package token creates and parses the bearer tokens that clients get when they attach. It has no
// state.
package token

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strconv"
	"strings"

	"postjunction/internal/apierror"
)

// Token names a client, the generation of its attachment, and the attachment's secret.
type Token struct {
	Client     string
	Generation uint64
	Secret     string
}

const (
	prefix      = "pj1."
	secretBytes = 24
	separator   = "|"
	bearer      = "Bearer "
)

// NewSecret returns a random secret.
func NewSecret() string {
	var secret [secretBytes]byte
	_, _ = rand.Read(secret[:])
	return hex.EncodeToString(secret[:])
}

// Digest returns what the partition log stores of a secret.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Encode returns the token as a string.
func (t Token) Encode() string {
	fields := []string{t.Client, strconv.FormatUint(t.Generation, 10), t.Secret}
	return prefix + base64.RawURLEncoding.EncodeToString([]byte(strings.Join(fields, separator)))
}

// Decode parses a token. Its error has the code TokenForeign.
func Decode(text string) (Token, error) {
	foreign := apierror.New(apierror.TokenForeign, "the token is none of this service's")
	encoded, ok := strings.CutPrefix(text, prefix)
	decoded, err := base64.RawURLEncoding.DecodeString(encoded)
	if !ok || err != nil {
		return Token{}, foreign
	}
	fields := strings.Split(string(decoded), separator)
	if len(fields) != 3 {
		return Token{}, foreign
	}
	generation, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return Token{}, foreign
	}
	return Token{fields[0], generation, fields[2]}, nil
}

// ParseBearer parses the token of an Authorization header. Its errors have the codes TokenMissing
// and TokenForeign.
func ParseBearer(header string) (Token, error) {
	if header == "" {
		return Token{}, apierror.New(apierror.TokenMissing, "the call has no Authorization header")
	}
	text, ok := strings.CutPrefix(header, bearer)
	if !ok {
		return Token{}, apierror.New(apierror.TokenMissing, "the Authorization header is not a bearer token")
	}
	return Decode(text)
}

// Matches reports, in constant time, whether digest is the digest of the token's secret.
func (t Token) Matches(digest string) bool {
	return subtle.ConstantTimeCompare([]byte(Digest(t.Secret)), []byte(digest)) == 1
}
