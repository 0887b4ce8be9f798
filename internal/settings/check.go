package settings

import (
	"fmt"
	"time"

	"jayford.example/jayford/internal/strictjson"
)

// Bounds of settings. They are wide and meant to catch mistakes such as a wrong
// unit.
const (
	minSize        = 1 << 10
	maxHeaderBytes = 1 << 20
	maxBodyBytes   = 1 << 30
	maxHeldBytes   = 1 << 40
	maxConnections = 1 << 20
	maxQueue       = 1 << 20
	maxSlots       = 4096
	maxSubset      = 4096
	maxWeight      = 1000
	maxLinkRate    = 1 << 40
	minWait        = time.Millisecond
	maxWait        = time.Hour
	maxQuotaSlack  = 1e12
	maxLapse       = time.Minute
	minLapse       = 100 * time.Millisecond
	minTerm        = time.Second
	minTick        = 100 * time.Millisecond
	minMachineMB   = 80
	maxMachineMB   = 1 << 24
)

func checkEntry(d *strictjson.Document, e Entry) {
	checkProcess(d, e.Process)
	d.Listener("listen", e.Listen)
	checkLimits(d, e.Limits)
	checkPolicy(d, e.Policy)
	checkCapacity(d, e.Capacity)
}

func checkCapacity(d *strictjson.Document, c Capacity) {
	duration(d, "capacity.leaseTerm", c.LeaseTerm, minTerm, maxWait)
	duration(d, "capacity.every", c.Every, minTick, maxWait)
	duration(d, "capacity.smooth", c.Smooth, minWait, maxWait)
	duration(d, "capacity.sustain", c.Sustain, minWait, 24*time.Hour)
	duration(d, "capacity.stay", c.Stay, minWait, 24*time.Hour)
	duration(d, "capacity.settle", c.Settle, minWait, maxWait)
	duration(d, "capacity.drainWithin", c.DrainWithin, minWait, 24*time.Hour)
}

func checkProcess(d *strictjson.Document, p Process) {
	d.ID("id", p.ID)
	d.ID("region", p.Region)
	d.ID("availabilityZone", p.AvailabilityZone)
	d.Listener("peer", p.Peer)
	d.Listener("operator", p.Operator)
	d.Address("platform", p.Platform)
	for i, s := range p.Seeds {
		d.Address(fmt.Sprintf("seeds[%d]", i), s)
	}
	if t := p.TLS; t != (TLS{}) && (t.Certificate == "" || t.Key == "" || t.Authority == "") {
		d.Reject("tls", "expected certificate, key and authority, or none of them")
	}
	if p.MachineMB != 0 {
		strictjson.Range(d, "machineMB", p.MachineMB, minMachineMB, maxMachineMB)
	}
	d.OneOf("logLevel", p.LogLevel, "debug", "info", "warn", "error")
	duration(d, "stopWithin", p.StopWithin, minWait, maxWait)
}

func checkLimits(d *strictjson.Document, l Limits) {
	strictjson.Range(d, "limits.maxHeaderBytes", l.MaxHeaderBytes, minSize, maxHeaderBytes)
	strictjson.Range(d, "limits.maxBodyBytes", l.MaxBodyBytes, minSize, maxBodyBytes)
	strictjson.Range(d, "limits.maxHeldBytes", l.MaxHeldBytes, int64(l.MaxBodyBytes), maxHeldBytes)
	strictjson.Range(d, "limits.maxConnections", l.MaxConnections, 1, maxConnections)
	strictjson.Range(d, "limits.maxQueue", l.MaxQueue, 0, maxQueue)
	strictjson.Range(d, "limits.maxQueuePerOrganisation", l.MaxQueuePerOrganisation, 0, maxQueue)
	if l.MaxQueuePerOrganisation > l.MaxQueue {
		d.Reject("limits.maxQueuePerOrganisation", "expected at most limits.maxQueue (%d)", l.MaxQueue)
	}
	duration(d, "limits.writeTimeout", l.WriteTimeout, minWait, maxWait)
	duration(d, "limits.defaultDeadline", l.DefaultDeadline, minWait, maxWait)
	duration(d, "limits.maxDeadline", l.MaxDeadline, minWait, 24*time.Hour)
	if l.DefaultDeadline > l.MaxDeadline {
		d.Reject("limits.defaultDeadline", "expected at most limits.maxDeadline (%s)", l.MaxDeadline)
	}
}

func checkPolicy(d *strictjson.Document, p Policy) {
	d.OneOf("policy.placement", p.Placement, PlacementPolicy, PlacementRoundRobin, PlacementLeastLoaded)
	d.OneOf("policy.reserve", p.Reserve, ReserveEarly, ReserveLate, ReservePredicted)
	strictjson.Range(d, "policy.wastedPrefillWeight", p.WastedPrefillWeight, 0, maxWeight)
	duration(d, "policy.ttftTarget", p.TTFTTarget, minWait, maxWait)
	duration(d, "policy.tokenTarget", p.TokenTarget, minWait, maxWait)
	strictjson.Range(d, "policy.retryRatio", p.RetryRatio, 0, 1)
	strictjson.Range(d, "policy.subset", p.Subset, 1, maxSubset)
}

func checkAgent(d *strictjson.Document, a Agent) {
	checkProcess(d, a.Process)
	d.Address("backend", a.Backend)
	d.OneOf("backendKind", a.BackendKind, BackendEngine, BackendService)
	strictjson.Range(d, "slots", a.Slots, 1, maxSlots)
	strictjson.Range(d, "batchHeadroom", a.BatchHeadroom, 0, maxSlots)
	strictjson.Range(d, "prefillQueue", a.PrefillQueue, 0, maxQueue)
	duration(d, "lapseAfter", a.LapseAfter, minLapse, maxLapse)
	strictjson.Range(d, "linkBytesPerSecond", a.LinkBytesPerSecond, 0, maxLinkRate)
}

func duration(d *strictjson.Document, key string, v Duration, lo, hi time.Duration) {
	strictjson.Range(d, key, v.D(), lo, hi)
}
