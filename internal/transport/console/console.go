package console

import (
	"bytes"
	"context"
	"embed"
	"html/template"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"wigeonspring.example/wigeonspring/internal/protocol/controlpb"
	"wigeonspring.example/wigeonspring/internal/state/platform"
	"wigeonspring.example/wigeonspring/internal/state/policy"
)

//go:embed templates/*.html static/console.css
var files embed.FS

var templates = template.Must(template.New("").Funcs(template.FuncMap{
	"time": func(nanos int64) string { return time.Unix(0, nanos).UTC().Format("2006-01-02 15:04:05.000") },
}).ParseFS(files, "templates/*.html"))

// requestTimeout bounds the work for one page. Applying a policy makes several
// calls to the platform.
const requestTimeout = 30 * time.Second

// Options configures a Console. All fields are required.
type Options struct {
	Control  controlpb.Control
	Platform platform.Client
	// Policies are the policies in force on this node.
	Policies *policy.Table
	Guard    *Guard
}

// Console serves the pages of the operators' console.
type Console struct{ opts Options }

// New returns a Console.
func New(o Options) *Console { return &Console{opts: o} }

// Mount adds the pages to the router of the operator listener. Guard.Wrap must
// wrap the router.
func (c *Console) Mount(r chi.Router) {
	r.Group(func(r chi.Router) {
		r.Use(pageMiddleware)
		r.Get("/", c.services)
		r.Get("/services/{service}", c.service)
		r.Get("/nodes", c.nodes)
		r.Get("/edit", c.getForm)
		r.Post("/edit", c.postForm)
		r.Get(loginPath, func(w http.ResponseWriter, _ *http.Request) {
			c.renderPage(w, http.StatusOK, "login.html", "Log in", "")
		})
		r.Post(loginPath, c.login)
		r.Post("/logout", func(w http.ResponseWriter, r *http.Request) {
			c.opts.Guard.logout(w, r)
			http.Redirect(w, r, loginPath, http.StatusSeeOther)
		})
		r.Get(stylePath, func(w http.ResponseWriter, r *http.Request) {
			http.ServeFileFS(w, r, files, "static/console.css")
		})
	})
}

// pageMiddleware sets the time limit and the security headers of a page.
func pageMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; base-uri 'none'; frame-ancestors 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		// With "no-referrer", browsers send "Origin: null" with a POST request,
		// which the cross-origin protection refuses.
		h.Set("Referrer-Policy", "same-origin")
		h.Set("Cache-Control", "no-store")
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	if !parseForm(w, r) {
		return
	}
	if !c.opts.Guard.login(w, r.PostForm.Get("token")) {
		c.renderPage(w, http.StatusUnauthorized, "login.html", "Log in", "The token is wrong.")
		return
	}
	http.Redirect(w, r, "/", http.StatusSeeOther)
}

// parseForm parses the posted form. It responds with an error and returns false if
// the body is malformed or too large.
func parseForm(w http.ResponseWriter, r *http.Request) bool {
	err := r.ParseForm()
	if err == nil {
		return true
	}
	status := http.StatusBadRequest
	if _, ok := err.(*http.MaxBytesError); ok {
		status = http.StatusRequestEntityTooLarge
	}
	http.Error(w, "cannot read the form: "+http.StatusText(status), status)
	return false
}

// renderPage renders the page into a buffer first, so that a rendering error does
// not send a partial page.
func (c *Console) renderPage(w http.ResponseWriter, status int, name, title string, data any) {
	var b bytes.Buffer
	err := templates.ExecuteTemplate(&b, name, map[string]any{"Title": title, "Data": data, "Session": c.opts.Guard.required})
	if err != nil {
		http.Error(w, "cannot render the page: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	_, _ = b.WriteTo(w)
}

func (c *Console) renderUnavailable(w http.ResponseWriter, err error) {
	c.renderPage(w, http.StatusServiceUnavailable, "error.html", "Error", err.Error())
}
