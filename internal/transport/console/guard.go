package console

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
)

const (
	sessionCookie   = "wigeon_session"
	sessionLifetime = 8 * time.Hour
	maxSessions     = 256
	// maxBodyBytes allows for two documents of policy.MaxDocumentBytes, the input
	// and the document that it is based on. Form encoding triples the size of some
	// characters.
	maxBodyBytes = 2 << 20
	loginPath    = "/login"
	stylePath    = "/console.css"
	// readyPath needs no token, because load balancers and supervisors have none.
	readyPath = "/ready"
)

// GuardOptions configures a Guard.
type GuardOptions struct {
	// Token is the operator token. If it is empty, requests need no token.
	Token string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Guard is the access control of the operator listener. It refuses cross-site POST
// requests, untrusted Host headers and requests without the operator token, and it
// limits the size of request bodies.
type Guard struct {
	token    [sha256.Size]byte
	required bool
	now      func() time.Time

	mu sync.Mutex
	// sessions maps the hash of a session id to its expiry time.
	sessions map[[sha256.Size]byte]time.Time
}

// NewGuard returns a Guard without sessions.
func NewGuard(o GuardOptions) *Guard {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Guard{
		token: sha256.Sum256([]byte(o.Token)), required: o.Token != "", now: o.Now,
		sessions: map[[sha256.Size]byte]time.Time{},
	}
}

// Wrap returns a handler that passes admitted requests to next.
func (g *Guard) Wrap(next http.Handler) http.Handler {
	admit := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		public := r.URL.Path == readyPath
		if !public && !isTrustedHost(r.Host) {
			refuse(w, r, http.StatusMisdirectedRequest, twirp.PermissionDenied, "the Host header must be an IP address or localhost")
			return
		}
		if r.URL.Path == loginPath || r.URL.Path == stylePath {
			public = true
		}
		if !public && g.required && !g.hasBearerToken(r) && !g.hasSession(r) {
			if r.Method == http.MethodGet && strings.Contains(r.Header.Get("Accept"), "text/html") {
				http.Redirect(w, r, loginPath, http.StatusSeeOther)
				return
			}
			w.Header().Set("WWW-Authenticate", "Bearer")
			refuse(w, r, http.StatusUnauthorized, twirp.Unauthenticated, "missing or wrong operator token")
			return
		}
		// A copy, because net/http checks the type of r.Body to find out whether the
		// connection can be used again.
		limited := *r
		limited.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, &limited)
	})
	return http.NewCrossOriginProtection().Handler(admit)
}

// refuse sends an error response. RPCs get a twirp error, so that wigeonctl can
// show the reason.
func refuse(w http.ResponseWriter, r *http.Request, status int, code twirp.ErrorCode, reason string) {
	if strings.HasPrefix(r.URL.Path, "/twirp/") {
		// An error means that the connection is broken and cannot be reported.
		_ = twirp.WriteError(w, twirp.NewError(code, reason))
		return
	}
	http.Error(w, reason, status)
}

// isTrustedHost reports whether the Host header is an IP address or localhost.
// Other names are refused against DNS rebinding: an attacker could make a host name
// resolve to this address, and the attacker's pages under that name would then be
// same-origin with the console.
func isTrustedHost(host string) bool {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if host == "localhost" {
		return true
	}
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil
}

// checkToken compares the hashes of the tokens in constant time, so that the
// response time reveals neither the length nor a prefix of the token.
func (g *Guard) checkToken(token string) bool {
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], g.token[:]) == 1
}

func (g *Guard) hasBearerToken(r *http.Request) bool {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	return ok && strings.EqualFold(scheme, "Bearer") && g.checkToken(token)
}

func (g *Guard) hasSession(r *http.Request) bool {
	c, err := r.Cookie(sessionCookie)
	if err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	expiry, ok := g.sessions[sha256.Sum256([]byte(c.Value))]
	return ok && g.now().Before(expiry)
}

// login starts a session if the token is correct. The session that expires first
// is removed if there are too many.
func (g *Guard) login(w http.ResponseWriter, token string) bool {
	if !g.required || !g.checkToken(token) {
		return false
	}
	id, now := rand.Text(), g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var oldest [sha256.Size]byte
	var oldestExpiry time.Time
	for k, expiry := range g.sessions {
		if !now.Before(expiry) {
			delete(g.sessions, k)
		} else if oldestExpiry.IsZero() || expiry.Before(oldestExpiry) {
			oldest, oldestExpiry = k, expiry
		}
	}
	if len(g.sessions) >= maxSessions {
		delete(g.sessions, oldest)
	}
	g.sessions[sha256.Sum256([]byte(id))] = now.Add(sessionLifetime)
	setCookie(w, id, int(sessionLifetime/time.Second))
	return true
}

func (g *Guard) logout(w http.ResponseWriter, r *http.Request) {
	if c, err := r.Cookie(sessionCookie); err == nil {
		g.mu.Lock()
		delete(g.sessions, sha256.Sum256([]byte(c.Value)))
		g.mu.Unlock()
	}
	setCookie(w, "", -1)
}

func setCookie(w http.ResponseWriter, value string, maxAge int) {
	http.SetCookie(w, &http.Cookie{
		Name: sessionCookie, Value: value, Path: "/", MaxAge: maxAge, HttpOnly: true, SameSite: http.SameSiteStrictMode,
	})
}
