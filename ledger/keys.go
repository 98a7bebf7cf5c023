package ledger

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// issuedPrefix starts each issued key and distinguishes it from a caller's own key.
const issuedPrefix = "jdk1."

// KeyLifetime is how long an issued key can be used. Its issuing VM keeps the
// answer for as long.
const KeyLifetime = 10 * time.Minute

// IssuedKey is the content of an idempotency key issued by the system. VM is the
// issuing VM.
type IssuedKey struct {
	Workspace   jdaw.WorkspaceID `json:"w"`
	VM          jdaw.VMID        `json:"vm"`
	Incarnation jdaw.Incarnation `json:"inc"`
	Nonce       string           `json:"n"`
	Expires     time.Time        `json:"exp"`
}

// IsIssuedKey reports whether the key has the form of an issued one. It
// does not check the signature; see VerifyKey.
func IsIssuedKey(key string) bool { return strings.HasPrefix(key, issuedPrefix) }

// IssueKey returns a new idempotency key issued by this VM.
func (l *Ledger) IssueKey(w jdaw.WorkspaceID) (string, error) {
	keys, err := l.signingKeys()
	if err != nil {
		return "", err
	}
	payload, err := json.Marshal(IssuedKey{
		Workspace:   w,
		VM:          l.cfg.VM,
		Incarnation: l.Incarnation(),
		Nonce:       config.RandomHex(8),
		Expires:     l.cfg.Clock.Now().Add(KeyLifetime).UTC(),
	})
	if err != nil {
		return "", errors.Wrap(err, "encode issued key")
	}
	signed := issuedPrefix + base64.RawURLEncoding.EncodeToString(payload) + "." + keys[0].ID
	return signed + "." + signKey(keys[0], signed), nil
}

// VerifyKey returns the content of an issued key of the workspace. It fails
// with CodeKeyUnknown if the key is invalid.
func (l *Ledger) VerifyKey(w jdaw.WorkspaceID, key string) (IssuedKey, error) {
	keys, err := l.signingKeys()
	if err != nil {
		return IssuedKey{}, err
	}
	unknown := jdaw.Fail(jdaw.CodeKeyUnknown, "the idempotency key was not issued by this system for this workspace")
	parts := strings.Split(key, ".")
	if !IsIssuedKey(key) || len(parts) != 4 {
		return IssuedKey{}, unknown
	}
	if !isSignedBy(keys, parts) {
		return IssuedKey{}, unknown
	}
	payload, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return IssuedKey{}, unknown
	}
	var k IssuedKey
	if err := json.Unmarshal(payload, &k); err != nil || k.Workspace != w {
		return IssuedKey{}, unknown
	}
	return k, nil
}

// IsHome reports whether this process issued the key.
func (l *Ledger) IsHome(k IssuedKey) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own[k.Incarnation]
}

func (l *Ledger) signingKeys() ([]config.SessionKey, error) {
	if l.cfg.Config != nil {
		if s := l.cfg.Config.Snapshot(); s != nil && len(s.Doc.SessionKeys) > 0 {
			return s.Doc.SessionKeys, nil
		}
	}
	return nil, jdaw.Fail(jdaw.CodeNoConfiguration, "the configuration has no signing key")
}

func isSignedBy(keys []config.SessionKey, parts []string) bool {
	signed := strings.Join(parts[:3], ".")
	for _, k := range keys {
		if k.ID == parts[2] && hmac.Equal([]byte(signKey(k, signed)), []byte(parts[3])) {
			return true
		}
	}
	return false
}

// signKey signs with a distinct prefix so that a session token is never valid as
// an idempotency key.
func signKey(k config.SessionKey, text string) string {
	mac := hmac.New(sha256.New, []byte(k.Secret))
	mac.Write([]byte("idempotency-key:" + text))
	return hex.EncodeToString(mac.Sum(nil))
}
