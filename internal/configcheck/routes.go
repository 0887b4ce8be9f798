package configcheck

import (
	"math"
	"net/netip"
	"regexp"
	"strings"

	"jayford.example/jayford/internal/catalog"
)

// checkRoutes checks the routes, each by itself and against the others.
func (c *checker) checkRoutes() {
	routes := c.Config.Routes
	c.checkNames(Route, "route", names(routes, func(r catalog.Route) string { return r.Name }))
	for i := range routes {
		r := &routes[i]
		c.checkHost(i, r)
		c.checkPrefix(i, r)
		c.checkTimes(i, r)
		c.checkObjective(i, r)
		c.checkTargets(i, r)
		c.checkRepeats(i, r)
	}
	c.checkHiddenRoutes()
}

// maxHost is the length of the longest DNS name.
const maxHost = 253

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9_]([A-Za-z0-9_-]*[A-Za-z0-9_])?(\.[A-Za-z0-9_]([A-Za-z0-9_-]*[A-Za-z0-9_])?)*$`)

// isHost reports whether a request's host without its port can equal s. An IPv6 number
// keeps its brackets where the request has no port.
func isHost(s string) bool {
	number := s
	if strings.HasPrefix(s, "[") {
		number = strings.TrimSuffix(s[1:], "]")
	}
	if _, err := netip.ParseAddr(number); err == nil {
		return true
	}
	return len(s) <= maxHost && hostPattern.MatchString(s)
}

func (c *checker) checkHost(i int, r *catalog.Route) {
	if !isHost(r.Host) {
		c.add(Place{Part: Route, Index: i, Field: Host}, Error, BadHost,
			"route %q: no request has the host %q, expected a host name or IP number without a port", r.Name, r.Host)
	}
}

// checkPrefix checks a route's prefix. It is compared with the path as sent, without the
// query.
func (c *checker) checkPrefix(i int, r *catalog.Route) {
	place := Place{Part: Route, Index: i, Field: Prefix}
	switch p := r.PathPrefix; {
	case !strings.HasPrefix(p, "/"):
		c.add(place, Error, BadPrefix, "route %q: no path begins with the prefix %q, expected a slash first", r.Name, p)
	case !strings.HasSuffix(p, "/"):
		c.add(place, Error, BadPrefix, "route %q: the prefix %q also matches longer names such as %q, expected a slash last", r.Name, p, p+"x")
	case strings.ContainsFunc(p, isOutsidePath):
		c.add(place, Error, BadPrefix, "route %q: no path begins with the prefix %q, which has characters that a path can't have", r.Name, p)
	}
}

// isOutsidePath reports whether a path as sent can't contain a character.
func isOutsidePath(x rune) bool { return x <= ' ' || x > '~' || x == '?' || x == '#' }

func (c *checker) checkTimes(i int, r *catalog.Route) {
	if r.Timeout <= 0 {
		c.add(Place{Part: Route, Index: i, Field: Timeout}, Error, BadTime, "route %q: the timeout is %v, so requests are late on arrival", r.Name, r.Timeout)
	}
	if r.LatencyObjective < 0 {
		c.add(Place{Part: Route, Index: i, Field: Objective}, Error, BadTime, "route %q: the objective is negative", r.Name)
	}
	if r.MaxEventGap < 0 {
		c.add(Place{Part: Route, Index: i, Field: EventGap}, Error, BadTime, "route %q: the gap between events is negative", r.Name)
	}
}

// checkObjective checks the objective against the services and the timeout. At an engine,
// a generation without an objective counts as late on arrival.
func (c *checker) checkObjective(i int, r *catalog.Route) {
	place := Place{Part: Route, Index: i, Field: Objective}
	if r.LatencyObjective == 0 {
		if name := c.engineOf(r); name != "" {
			c.add(place, Error, NoObjective, "route %q: the objective is 0, so generations at %q count as late on arrival", r.Name, name)
		}
	}
	if r.Timeout > 0 && r.LatencyObjective > r.Timeout && !c.Places.Faulty(Place{Part: Route, Index: i, Field: Timeout}) {
		c.add(place, Warning, LateObjective, "route %q: the objective of %v is above the timeout of %v", r.Name, r.LatencyObjective, r.Timeout)
	}
}

// engineOf returns the name of the route's first service with engines, "" without one.
func (c *checker) engineOf(r *catalog.Route) string {
	for _, t := range r.Targets {
		if c.Config.Services[t.Service].Engine != nil {
			return t.Service
		}
	}
	return ""
}

func (c *checker) checkTargets(i int, r *catalog.Route) {
	sum, negative := 0.0, false
	for n, t := range r.Targets {
		place := Place{Part: Route, Index: i, Field: Targets, Item: n}
		if _, ok := c.Config.Services[t.Service]; !ok && !c.Places.Faulty(Place{Field: Services}) {
			c.add(place, Error, UnknownService, "route %q leads to service %q, which isn't declared", r.Name, t.Service)
		}
		if t.Weight < 0 {
			negative = true
			c.add(place, Error, BadWeight, "route %q: the weight of service %q is negative", r.Name, t.Service)
		}
		sum += t.Weight
	}
	switch {
	case negative:
	case sum == 0 || math.IsInf(sum, 0):
		c.add(Place{Part: Route, Index: i, Field: Targets, Item: AllItems}, Error, BadWeight, "route %q: the weights sum to %v", r.Name, sum)
	default:
		c.noteIdleTargets(i, r)
	}
}

func (c *checker) noteIdleTargets(i int, r *catalog.Route) {
	for n, t := range r.Targets {
		if t.Weight == 0 {
			c.add(Place{Part: Route, Index: i, Field: Targets, Item: n}, Note, NoTraffic,
				"route %q: service %q has the weight 0 and gets no requests", r.Name, t.Service)
		}
	}
}

// checkRepeats reports settings about repeats that a route of its kind doesn't use.
func (c *checker) checkRepeats(i int, r *catalog.Route) {
	if c.Places.Faulty(Place{Part: Route, Index: i, Field: Kind}) {
		return
	}
	if !r.Repeatable() && r.MaxAttempts > 1 {
		c.add(Place{Part: Route, Index: i, Field: MaxAttempts}, Warning, AttemptsUnused,
			"route %q allows %d attempts, but its requests (%s) run at most once", r.Name, r.MaxAttempts, describeKind(r))
	}
	if r.Resume && r.Kind != catalog.Streaming {
		c.add(Place{Part: Route, Index: i, Field: Resume}, Warning, ResumeUnused,
			"route %q resumes streams, but its requests (%s) aren't answered with any", r.Name, describeKind(r))
	}
}

func describeKind(r *catalog.Route) string {
	if r.Kind == catalog.Streaming && !r.Resume {
		return "streaming without resumption"
	}
	return r.Kind.String()
}

// checkHiddenRoutes reports routes that another one of the same host and prefix hides:
// among equal prefixes the first one matches.
func (c *checker) checkHiddenRoutes() {
	type match struct{ host, prefix string }
	first := map[match]int{}
	for i, r := range c.Config.Routes {
		if c.Places.Faulty(Place{Part: Route, Index: i, Field: Host}) || c.Places.Faulty(Place{Part: Route, Index: i, Field: Prefix}) {
			continue
		}
		m := match{strings.ToLower(r.Host), r.PathPrefix}
		n, ok := first[m]
		if !ok {
			first[m] = i
			continue
		}
		line := c.Places.Line(Place{Part: Route, Index: n, Field: Entry})
		c.add(Place{Part: Route, Index: i, Field: Prefix}, Warning, HiddenRoute,
			"route %q never matches: route %q on line %d has the same host and prefix", r.Name, c.Config.Routes[n].Name, line)
	}
}
