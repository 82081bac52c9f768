package director

import "strings"

// Validate returns the first contradiction in a document.
func (d *Document) Validate() error {
	services := map[string]bool{}
	for _, service := range d.Services {
		if service.Name == "" || services[service.Name] {
			return invalid("service name %q is empty or occurs twice", service.Name)
		}
		services[service.Name] = true
	}
	type routeKey struct{ host, prefix string }
	routesByKey := map[routeKey]string{}
	for _, route := range d.Routes {
		if err := route.validate(services); err != nil {
			return err
		}
		key := routeKey{hostKey(route.Host), route.Prefix}
		if other, taken := routesByKey[key]; taken {
			return invalid("routes %q and %q have the same host and prefix", other, route.Name)
		}
		routesByKey[key] = route.Name
	}
	return d.validateOrganisations()
}

func (r Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return invalid("route %q has no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid("the prefix of route %q does not begin and end with a slash", r.Name)
	case r.Timeout <= 0:
		return invalid("the timeout of route %q is not positive", r.Name)
	case r.Class != ClassSafe && r.Class != ClassUnsafe && r.Class != ClassStream:
		return invalid("route %q has the unknown class %q", r.Name, r.Class)
	}
	totalWeight := 0
	for _, share := range r.Shares {
		if !services[share.Service] {
			return invalid("route %q names the unknown service %q", r.Name, share.Service)
		}
		if share.Weight < 0 {
			return invalid("route %q has a negative weight", r.Name)
		}
		totalWeight += share.Weight
	}
	if totalWeight <= 0 {
		return invalid("the weights of route %q add up to 0", r.Name)
	}
	return nil
}
