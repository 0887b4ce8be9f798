package settings

import (
	"time"

	"jayford.example/jayford/internal/strictjson"
)

// Gateway holds the settings of the role gateway.
type Gateway struct {
	Process
	// Listen is the "ip:port" of the listener for callers, Ready that of the
	// listener for the load balancer's readiness probes.
	Listen string        `json:"listen"`
	Ready  string        `json:"ready"`
	Limits GatewayLimits `json:"limits"`
	Budget Budget        `json:"budget"`
	Stages Stages        `json:"stages"`
	Keys   Keys          `json:"keys"`
	Quota  Quota         `json:"quota"`
	// Following says which gateways follow the platform's store.
	Following Following `json:"following"`
}

// Following says which gateways follow the platform's store.
type Following struct {
	// PerZone is how many gateways of an availability zone do, and pass changes on to its
	// others; 0 for all.
	PerZone int `json:"perZone"`
	// MaxServerAge and MaxConfigAge are for how long the gateway's copies of the servers and of
	// the configuration may lack a change that the platform has acknowledged, while the gateway
	// reaches the platform.
	MaxServerAge Duration `json:"maxServerAge"`
	MaxConfigAge Duration `json:"maxConfigAge"`
}

// Quota holds the settings of organisations' quotas.
type Quota struct {
	// Listen is the "ip:port" at which gateways exchange what is left of the quotas, by
	// UDP. Without it quotas aren't enforced.
	Listen string `json:"listen,omitempty"`
	// Slack is how many tokens or requests of an organisation beyond its quota are
	// tolerated in any Window.
	Slack  float64  `json:"slack"`
	Window Duration `json:"window"`
}

// Keys holds the settings for callers' keys.
type Keys struct {
	// Expiry bounds how long after its removal a key may still be accepted, also while
	// the platform can't be reached; 0 for no bound.
	Expiry Duration `json:"expiry"`
}

// GatewayLimits bounds the memory and time that callers can take up in a
// gateway.
type GatewayLimits struct {
	MaxHeaderBytes int      `json:"maxHeaderBytes"`
	MaxBodyBytes   int      `json:"maxBodyBytes"`
	MaxHeldBytes   int64    `json:"maxHeldBytes"`
	HeaderTimeout  Duration `json:"headerTimeout"`
	BodyTimeout    Duration `json:"bodyTimeout"`
	IdleTimeout    Duration `json:"idleTimeout"`
	WriteTimeout   Duration `json:"writeTimeout"`
}

// Budget bounds the attempts after the first one of each request, summed over
// all gateways: Ratio per request, plus Slack in any Window.
type Budget struct {
	Ratio  float64  `json:"ratio"`
	Slack  float64  `json:"slack"`
	Window Duration `json:"window"`
}

// Stages holds the settings of the division of engines between prefill and
// decode.
type Stages struct {
	// PrefillShare is the fraction of the engines that run prefill; 0 leaves
	// the stages unchanged.
	PrefillShare float64 `json:"prefillShare"`
	// MinPrefillShare and MaxPrefillShare bound the fraction if it follows the work, which it
	// does if MaxPrefillShare is over PrefillShare. A MinPrefillShare of 0 stands for
	// PrefillShare.
	MinPrefillShare float64 `json:"minPrefillShare"`
	MaxPrefillShare float64 `json:"maxPrefillShare"`
	// LeaseTerm is how long a lease lasts without a renewal before another
	// gateway takes it over.
	LeaseTerm Duration `json:"leaseTerm"`
}

// DefaultGateway returns the defaults of Gateway.
func DefaultGateway() Gateway {
	g := Gateway{
		Process: DefaultProcess(),
		Limits: GatewayLimits{
			MaxHeaderBytes: 32 << 10,
			MaxBodyBytes:   4 << 20,
			MaxHeldBytes:   24 << 20,
			HeaderTimeout:  Duration(3 * time.Second),
			BodyTimeout:    Duration(10 * time.Second),
			IdleTimeout:    Duration(15 * time.Second),
			WriteTimeout:   Duration(10 * time.Second),
		},
		Budget:    Budget{Ratio: 0.2, Slack: 50, Window: Duration(10 * time.Second)},
		Stages:    Stages{LeaseTerm: Duration(4 * time.Second)},
		Quota:     Quota{Window: Duration(10 * time.Second)},
		Following: Following{MaxServerAge: Duration(2 * time.Second), MaxConfigAge: Duration(2 * time.Second)},
	}
	g.StopWithin = Duration(7500 * time.Millisecond)
	return g
}

// LoadGateway reads and validates the settings of the role gateway on top of its
// defaults. For an invalid file the error is strictjson.Problems, which lists
// all faults.
func LoadGateway(path string) (Gateway, error) {
	text, err := readFile(path)
	if err != nil {
		return Gateway{}, err
	}
	return ParseGateway(path, text)
}

// ParseGateway is like LoadGateway for text already read; file is the name used
// in problems.
func ParseGateway(file string, text []byte) (Gateway, error) {
	g := DefaultGateway()
	d := strictjson.Parse(file, text, &g)
	checkGateway(d, g)
	if err := d.Err(); err != nil {
		return Gateway{}, err
	}
	return g, nil
}

// Bounds of Following.MaxServerAge and Following.MaxConfigAge.
const (
	MinCopyAge = minTick
	MaxCopyAge = maxWait
)

// maxFollowersPerZone is far above what is of use.
const maxFollowersPerZone = 100

func checkGateway(d *strictjson.Document, g Gateway) {
	checkProcess(d, g.Process)
	d.Listener("listen", g.Listen)
	d.Listener("ready", g.Ready)
	l := g.Limits
	strictjson.Range(d, "limits.maxHeaderBytes", l.MaxHeaderBytes, minSize, maxHeaderBytes)
	strictjson.Range(d, "limits.maxBodyBytes", l.MaxBodyBytes, minSize, maxBodyBytes)
	strictjson.Range(d, "limits.maxHeldBytes", l.MaxHeldBytes, int64(l.MaxBodyBytes), maxHeldBytes)
	duration(d, "limits.headerTimeout", l.HeaderTimeout, minWait, maxWait)
	duration(d, "limits.bodyTimeout", l.BodyTimeout, minWait, maxWait)
	duration(d, "limits.idleTimeout", l.IdleTimeout, minWait, maxWait)
	duration(d, "limits.writeTimeout", l.WriteTimeout, minWait, maxWait)
	strictjson.Range(d, "budget.ratio", g.Budget.Ratio, 0, 1)
	strictjson.Range(d, "budget.slack", g.Budget.Slack, 0, maxQueue)
	duration(d, "budget.window", g.Budget.Window, minTerm, maxWait)
	strictjson.Range(d, "stages.prefillShare", g.Stages.PrefillShare, 0, 1)
	if g.Stages.MinPrefillShare != 0 {
		strictjson.Range(d, "stages.minPrefillShare", g.Stages.MinPrefillShare, 0, g.Stages.PrefillShare)
	}
	if g.Stages.MaxPrefillShare != 0 {
		strictjson.Range(d, "stages.maxPrefillShare", g.Stages.MaxPrefillShare, g.Stages.PrefillShare, 1)
	}
	duration(d, "stages.leaseTerm", g.Stages.LeaseTerm, minTerm, maxWait)
	if g.Quota.Listen != "" {
		d.Listener("quota.listen", g.Quota.Listen)
	}
	strictjson.Range(d, "quota.slack", g.Quota.Slack, 0, maxQuotaSlack)
	duration(d, "quota.window", g.Quota.Window, minTerm, maxWait)
	strictjson.Range(d, "following.perZone", g.Following.PerZone, 0, maxFollowersPerZone)
	duration(d, "following.maxServerAge", g.Following.MaxServerAge, MinCopyAge, MaxCopyAge)
	duration(d, "following.maxConfigAge", g.Following.MaxConfigAge, MinCopyAge, MaxCopyAge)
	if g.Keys.Expiry != 0 {
		duration(d, "keys.expiry", g.Keys.Expiry, minTerm, maxWait)
	}
}
