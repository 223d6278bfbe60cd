// Package token makes and reads the unguessable word that an attachment gives.
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

// Token names a visitor, the generation of the attachment, and its secret.
type Token struct {
	Client     string
	Generation uint64
	Secret     string
}

const (
	prefix      = "pj1."
	secretBytes = 24
	bearer      = "Bearer "
)

// NewSecret makes a new secret.
func NewSecret() string {
	var b [secretBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Digest is what the ledger keeps of a secret.
func Digest(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

// Encode writes a token.
func (t Token) Encode() string {
	return prefix + base64.RawURLEncoding.EncodeToString([]byte(t.Client+"|"+strconv.FormatUint(t.Generation, 10)+"|"+t.Secret))
}

// Decode reads a token.
func Decode(s string) (Token, error) {
	foreign := apierror.New(apierror.TokenForeign, "the token is none of this service's")
	w, ok := strings.CutPrefix(s, prefix)
	b, err := base64.RawURLEncoding.DecodeString(w)
	if !ok || err != nil {
		return Token{}, foreign
	}
	p := strings.Split(string(b), "|")
	if len(p) != 3 {
		return Token{}, foreign
	}
	g, err := strconv.ParseUint(p[1], 10, 64)
	if err != nil {
		return Token{}, foreign
	}
	return Token{p[0], g, p[2]}, nil
}

// ParseBearer reads the token of an Authorization header.
func ParseBearer(h string) (Token, error) {
	if h == "" {
		return Token{}, apierror.New(apierror.TokenMissing, "the call has no Authorization header")
	}
	s, ok := strings.CutPrefix(h, bearer)
	if !ok {
		return Token{}, apierror.New(apierror.TokenMissing, "the Authorization header is no bearer token")
	}
	return Decode(s)
}

// Matches compares a token with the digest kept.
func (t Token) Matches(digest string) bool {
	return subtle.ConstantTimeCompare([]byte(Digest(t.Secret)), []byte(digest)) == 1
}
