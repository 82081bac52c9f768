package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"sequoiaspread.example/sequoia/parser"
)

// codeModelMissing is the OpenAI error code for a model that the engine does not serve.
const codeModelMissing = "model_not_found"

// readModels reads the models that an engine currently serves, because orders of the controllers load and unload them.
func (g *gateway) readModels(ctx context.Context, u *upstream) {
	text, status, err := g.httpGet(ctx, u.client.shared, u.address, "/v1/models", "")
	if err != nil || status != http.StatusOK {
		return
	}
	var list modelList
	if json.Unmarshal(text, &list) != nil {
		return
	}
	names := make([]string, 0, len(list.Data))
	for _, item := range list.Data {
		names = append(names, item.ID)
	}
	slices.Sort(names)
	if u.setModels(names) {
		g.scheduler.updateUpstream(u)
	}
}

// setModels stores the models that an upstream serves and reports whether they changed.
func (u *upstream) setModels(names []string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := u.models == nil || !slices.Equal(u.models, names)
	u.models = names
	return changed
}

// servedModels returns the models of the pool that the upstream serves, or all of them until it has been queried.
func (u *upstream) servedModels(pool parser.Pool) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	models := routingModels(pool)
	if u.models == nil || pool.Kind == parser.PoolPlain {
		return models
	}
	return slices.DeleteFunc(slices.Clone(models), func(name string) bool { return !slices.Contains(u.models, name) })
}

// updateUpstream passes the models that an upstream now serves to the router.
func (s *scheduler) updateUpstream(u *upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addUpstream(u)
}

// reportsModelMissing reports whether an error response says that the engine does not serve the model.
func reportsModelMissing(text []byte) bool {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	return json.Unmarshal(text, &body) == nil && body.Error.Code == codeModelMissing
}

// hasModels reports whether the upstream served any model at the last query. One without models is queried more often,
// because it may be loading.
func (u *upstream) hasModels() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.models) > 0
}
