package configcheck

import (
	"strings"

	"jayford.example/jayford/internal/catalog"
)

// checkServices checks the services, and whether a route leads to each.
func (c *checker) checkServices() {
	c.checkNames(Service, "service", names(c.Services, func(s catalog.Service) string { return s.Name }))
	for i, s := range c.Services {
		place := func(f Field) Place { return Place{Part: Service, Index: i, Field: f} }
		if s.MaxConnections < 0 {
			c.add(place(MaxConnections), Error, BadSize, "service %q: the number of connections is negative", s.Name)
		}
		if s.HealthPath != "" && (!strings.HasPrefix(s.HealthPath, "/") || strings.ContainsFunc(s.HealthPath, isOutsidePath)) {
			c.add(place(HealthPath), Error, BadHealthPath, "service %q: the health path %q isn't a path", s.Name, s.HealthPath)
		}
		if e := s.Engine; e != nil && e.Slots < 1 {
			c.add(place(Slots), Error, BadSize, "service %q: an engine has %d slots, expected at least 1", s.Name, e.Slots)
		}
		if e := s.Engine; e != nil && e.KVTokens < 1 {
			c.add(place(KVTokens), Error, BadSize, "service %q: an engine's KV cache has %d tokens, expected at least 1", s.Name, e.KVTokens)
		}
	}
	c.checkUnusedServices()
}

// checkUnusedServices reports services that no route leads to. Without all targets that
// can't be told.
func (c *checker) checkUnusedServices() {
	if c.Places.Faulty(Place{Field: Routes}) {
		return
	}
	used := map[string]bool{}
	for i, r := range c.Config.Routes {
		if c.Places.Faulty(Place{Part: Route, Index: i, Field: Targets, Item: AllItems}) {
			return
		}
		for _, t := range r.Targets {
			used[t.Service] = true
		}
	}
	for i, s := range c.Services {
		if s.Name != "" && !used[s.Name] {
			c.add(Place{Part: Service, Index: i, Field: Name}, Warning, UnusedService, "service %q: no route leads to it", s.Name)
		}
	}
}

// checkLimits checks the limits on requests, also against those of the gateways' settings,
// which apply first. The limits on headers and bodies don't bear on each other, so a body
// limit below the header limit is no contradiction.
func (c *checker) checkLimits() {
	l := c.Config.Limits
	c.checkSize(HeaderBytes, "header", l.HeaderBytes, c.bounds.HeaderBytes)
	c.checkSize(BodyBytes, "body", l.BodyBytes, c.bounds.BodyBytes)
	if l.IdleTimeout < 0 {
		c.add(Place{Part: Limits, Field: IdleTimeout}, Error, BadTime, "the idle timeout is negative")
	}
}

func (c *checker) checkSize(f Field, what string, size, bound int) {
	place := Place{Part: Limits, Field: f}
	switch {
	case size < 0:
		c.add(place, Error, BadSize, "the %s limit is negative", what)
	case bound > 0 && size > bound:
		c.add(place, Warning, AboveGateway, "the %s limit of %d bytes is above the %d that the gateways' settings allow", what, size, bound)
	}
}
