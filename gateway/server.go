package main

import (
	"context"
	"errors"
	"net/http"
	"runtime/debug"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"sequoiaspread.example/sequoia/classifier"
)

const (
	chatPath     = "/v1/chat/completions"
	servicesPath = "/services/"
)

// callerRoutes returns the routes for callers, internalRoutes those for other gateways that forward requests.
func (g *gateway) callerRoutes() http.Handler {
	router := chi.NewRouter()
	router.Use(g.assignRequestID, g.recoverPanics)
	g.addRequestRoutes(router)
	router.Post("/v1/sessions", g.serveSession)
	router.Get("/v1/outcomes/{key}", g.serveOutcome)
	router.Get("/v1/directory", g.serveDirectory)
	return router
}

func (g *gateway) internalRoutes() http.Handler {
	router := chi.NewRouter()
	router.Use(markInternal, g.assignRequestID, g.recoverPanics)
	g.addRequestRoutes(router)
	return router
}

func (g *gateway) addRequestRoutes(router chi.Router) {
	router.Post(chatPath, g.serveChat)
	router.Get("/v1/models", g.serveModels)
	router.Handle(servicesPath+"{service}/*", http.HandlerFunc(g.servePlain))
	router.NotFound(g.serveProblem(classifier.CauseNotFound))
	router.MethodNotAllowed(g.serveProblem(classifier.CauseMethodNotAllowed))
}

func (g *gateway) serveProblem(cause classifier.Cause) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, newRefusal("route request", cause, ""), requestIDOf(r.Context()), classifier.KeyStatusUnkeyed)
	}
}

func markInternal(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), contextInternal, true)))
	})
}

// assignRequestID gives each request an ID. Upstreams resume streams by this ID, and another caller could guess an ID
// that a caller chose, so an ID is accepted only from a gateway.
func (g *gateway) assignRequestID(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		if forwarded := r.Header.Get(headerRequestID); isInternal(r.Context()) && forwarded != "" {
			id = forwarded
		}
		w.Header().Set(headerRequestID, id)
		g.activeCount.Add(1)
		defer g.activeCount.Add(-1)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), contextRequestID, id)))
	})
}

func (g *gateway) recoverPanics(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			reason := recover()
			if reason == nil {
				return
			}
			if err, ok := reason.(error); ok && errors.Is(err, http.ErrAbortHandler) {
				panic(reason)
			}
			g.log.WithField("request-id", requestIDOf(r.Context())).WithField("stack", string(debug.Stack())).Error("request handler panicked")
			writeProblem(w, newFailure("serve request", classifier.CauseInternal, eris.New("panic")), requestIDOf(r.Context()), classifier.KeyStatusUnchecked)
		}()
		next.ServeHTTP(w, r)
	})
}

// newServer returns an HTTP server with header limits and timeouts.
func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}
