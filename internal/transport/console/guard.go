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
	// maxBodyBytes leaves room for a document of policy.MaxDocumentBytes in form
	// encoding, which triples the size of some characters, and for the document
	// that the form is based on.
	maxBodyBytes = 2 << 20
	loginPath    = "/login"
	stylePath    = "/console.css"
	// readyPath is open, because load balancers and supervisors have no token.
	readyPath = "/ready"
)

// GuardOptions configures a Guard.
type GuardOptions struct {
	// Token is the secret of the operators; empty admits every request.
	Token string
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Guard admits requests to the operator listener. It refuses cross-site posts,
// unknown Host headers and requests without the token, and bounds bodies.
type Guard struct {
	token    [sha256.Size]byte
	required bool
	now      func() time.Time

	mu sync.Mutex
	// sessions maps the hash of a session id to its expiry.
	sessions map[[sha256.Size]byte]time.Time
}

// NewGuard returns a Guard.
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
		open := r.URL.Path == readyPath
		if !open && !trustedHost(r.Host) {
			refuse(w, r, http.StatusMisdirectedRequest, twirp.PermissionDenied, "the Host header must be an IP address or localhost")
			return
		}
		if r.URL.Path == loginPath || r.URL.Path == stylePath {
			open = true
		}
		if !open && g.required && !g.bearer(r) && !g.session(r) {
			if r.Method == http.MethodGet && strings.Contains(r.Header.Get("Accept"), "text/html") {
				http.Redirect(w, r, loginPath, http.StatusSeeOther)
				return
			}
			w.Header().Set("WWW-Authenticate", "Bearer")
			refuse(w, r, http.StatusUnauthorized, twirp.Unauthenticated, "missing or wrong operator token")
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
	return http.NewCrossOriginProtection().Handler(admit)
}

// refuse answers RPCs in their own format, so that wigeonctl shows the reason.
func refuse(w http.ResponseWriter, r *http.Request, status int, code twirp.ErrorCode, reason string) {
	if strings.HasPrefix(r.URL.Path, "/twirp/") {
		// The only errors are those of the connection.
		_ = twirp.WriteError(w, twirp.NewError(code, reason))
		return
	}
	http.Error(w, reason, status)
}

// trustedHost refuses host names: a DNS name that an attacker rebinds to this
// address would make the attacker's pages same-origin with the console.
func trustedHost(host string) bool {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if host == "localhost" {
		return true
	}
	_, err := netip.ParseAddr(strings.Trim(host, "[]"))
	return err == nil
}

// checkToken compares hashes, so that the time reveals neither length nor prefix.
func (g *Guard) checkToken(token string) bool {
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], g.token[:]) == 1
}

func (g *Guard) bearer(r *http.Request) bool {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	return ok && strings.EqualFold(scheme, "Bearer") && g.checkToken(token)
}

func (g *Guard) session(r *http.Request) bool {
	c, err := r.Cookie(sessionCookie)
	if err != nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	expiry, ok := g.sessions[sha256.Sum256([]byte(c.Value))]
	return ok && g.now().Before(expiry)
}

// login starts a session if the token is right.
func (g *Guard) login(w http.ResponseWriter, token string) bool {
	if !g.required || !g.checkToken(token) {
		return false
	}
	id, now := rand.Text(), g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var oldest [sha256.Size]byte
	var first time.Time
	for k, expiry := range g.sessions {
		if !now.Before(expiry) {
			delete(g.sessions, k)
		} else if first.IsZero() || expiry.Before(first) {
			oldest, first = k, expiry
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
