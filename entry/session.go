package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"strings"

	"jackdawbarrow"
	"jackdawbarrow/config"
)

// Headers between callers and the router.
const (
	headerOutlet     = "X-Jackdaw-Outlet"
	headerSession    = "X-Jackdaw-Session"
	headerNewSession = "X-Jackdaw-New-Session"
	headerTask       = "X-Jackdaw-Task"
	headerRequestID  = "X-Jackdaw-Request-Id"
	headerModel      = "X-Jackdaw-Model"
	headerKey        = "Idempotency-Key"
)

const (
	tokenPrefix   = "jds1"
	maxNameLength = 256 // of session ids, idempotency keys and tasks
)

// session is the signed content of a session token.
type session struct {
	Workspace jdaw.WorkspaceID `json:"w"`
	Session   string           `json:"s"`
	Model     string           `json:"m"`
	Version   string           `json:"v"`
}

func (s session) modelVersion() jdaw.ModelVersion {
	return jdaw.ModelVersion{Model: s.Model, Version: s.Version}
}

// signSession returns "jds1.<payload>.<key id>.<signature>".
func signSession(keys []config.SessionKey, s session) (string, error) {
	if len(keys) == 0 {
		return "", jdaw.Fail(jdaw.CodeNoConfiguration, "the configuration has no key to sign sessions with")
	}
	signed := tokenPrefix + "." + base64.RawURLEncoding.EncodeToString(mustJSON(s)) + "." + keys[0].ID
	return signed + "." + sign(keys[0], signed), nil
}

// openSession verifies a token against the keys and returns its content.
func openSession(keys []config.SessionKey, w jdaw.WorkspaceID, token string) (session, error) {
	bad := jdaw.Fail(jdaw.CodeBadSession, "the session token is malformed or not of this workspace")
	parts := strings.Split(token, ".")
	if len(parts) != 4 || parts[0] != tokenPrefix {
		return session{}, bad
	}
	signed := strings.Join(parts[:3], ".")
	genuine := false
	for _, k := range keys {
		if k.ID == parts[2] && hmac.Equal([]byte(sign(k, signed)), []byte(parts[3])) {
			genuine = true
		}
	}
	if !genuine {
		return session{}, bad
	}
	payload, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return session{}, bad
	}
	var s session
	if json.Unmarshal(payload, &s) != nil || s.Workspace != w {
		return session{}, bad
	}
	return s, nil
}

func sign(k config.SessionKey, text string) string {
	secret, err := hex.DecodeString(k.Secret)
	if err != nil {
		secret = []byte(k.Secret)
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(text))
	return hex.EncodeToString(mac.Sum(nil))
}
