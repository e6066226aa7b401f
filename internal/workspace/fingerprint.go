package workspace

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// fingerprintBytes is the length of a fingerprint. It tells keys apart in a log and is too short to confirm a guess.
const fingerprintBytes = 4

// Fingerprinter makes fingerprints of keys for the log. Those of two Fingerprinters cannot be compared.
type Fingerprinter struct {
	secret [sha256.Size]byte
}

// NewFingerprinter returns a Fingerprinter with a random secret.
func NewFingerprinter() *Fingerprinter {
	f := &Fingerprinter{}
	_, _ = rand.Read(f.secret[:]) // never fails
	return f
}

// Fingerprint returns 8 hex digits that identify what a caller presented as its key, or an empty string if it presented nothing.
func (f *Fingerprinter) Fingerprint(credentials []string) string {
	if len(credentials) == 0 {
		return ""
	}
	h := hmac.New(sha256.New, f.secret[:])
	for _, c := range credentials {
		_, _ = h.Write([]byte(c + "\x00")) // never fails; no header holds a zero byte
	}
	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}
