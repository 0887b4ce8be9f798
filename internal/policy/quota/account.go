package quota

import (
	"slices"
	"time"
)

// Limit is an organisation's quota over all gateways, in tokens.
type Limit struct {
	PerSecond, Burst float64
	// Spare is how many tokens beyond Burst may exist at once: what is held where it
	// isn't needed, or is under way between gateways, is missing where it is needed.
	Spare float64
}

// Capacity is the most tokens that all gateways together hold.
func (l Limit) Capacity() float64 { return l.Burst + l.Spare }

// lifetime is how long a token may be spent after its creation: creating at the whole
// rate, it takes that long to create the capacity.
func (l Limit) lifetime() time.Duration {
	return min(maxLifetime, time.Duration(l.Capacity()/l.PerSecond*float64(time.Second)))
}

const (
	// maxLifetime keeps durations in range for tiny rates.
	maxLifetime = 24 * time.Hour
	// grains is how many lots a lifetime is divided into. Tokens of one lot expire with
	// the oldest of them.
	grains = 32
	// createdLots is how many lots the tokens of an idle account become that were created
	// in a lifetime. Collections carry each lot: with 32 they sent 49 KB/s of a gateway among
	// 370 with 220 organisations.
	createdLots = 4
	// oldestPart is the part of a lifetime in the lot of the tokens that expire next: it is
	// lost at once, as its oldest token has expired.
	oldestPart = 16
)

// lot is a number of tokens that expire together.
type lot struct {
	tokens  float64
	expires time.Duration
}

// Account holds the tokens of one organisation at one gateway.
type Account struct {
	limit Limit
	// lots are sorted by their expiry.
	lots []lot
	// created is the time up to which tokens have been created, fraction the fraction of
	// the rate since then.
	created  time.Duration
	fraction float64
}

// NewAccount returns an empty account.
func NewAccount(l Limit, now time.Duration) *Account { return &Account{limit: l, created: now} }

// Create creates the tokens since the last call, at the given fraction of the rate. If
// the fraction has changed since, the lower one applies.
func (a *Account) Create(now time.Duration, fraction float64) {
	rate := min(a.fraction, fraction) * a.limit.PerSecond
	a.fraction = fraction
	life := a.limit.lifetime()
	since := max(a.created, now-life)
	a.created = max(a.created, now)
	a.expire(now)
	if rate <= 0 {
		return
	}
	// A lot expires with its oldest token. One lot for a whole lifetime would expire at once.
	for since < now {
		part := max(1, life/createdLots)
		if since+life-now < life/oldestPart {
			part = max(1, life/oldestPart)
		}
		a.insert(lot{tokens: rate * min(part, now-since).Seconds(), expires: since + life})
		since += part
	}
}

func (a *Account) expire(now time.Duration) {
	n := 0
	for n < len(a.lots) && a.lots[n].expires <= now {
		n++
	}
	a.lots = slices.Delete(a.lots, 0, n)
}

// insert adds a lot. One that expires less than a grain after another joins it.
func (a *Account) insert(x lot) {
	grain := a.limit.lifetime() / grains
	at, _ := slices.BinarySearchFunc(a.lots, x.expires, func(l lot, t time.Duration) int { return int(l.expires - t) })
	if at > 0 && x.expires-a.lots[at-1].expires < grain {
		a.lots[at-1].tokens += x.tokens
		return
	}
	a.lots = slices.Insert(a.lots, at, x)
}

// Balance returns the tokens that can be spent now.
func (a *Account) Balance(now time.Duration) float64 {
	a.expire(now)
	sum := 0.0
	for _, l := range a.lots {
		sum += l.tokens
	}
	return sum
}

// Taken are tokens that were taken for a request.
type Taken struct {
	Tokens float64
	// expires is when the oldest of them would have expired.
	expires time.Duration
	// account is the key of the account (KeyOf) if the Machine took them.
	account uint64
	// rank is that of the request.
	rank int
}

// Take takes the tokens that expire first, and reports false if there are too few.
func (a *Account) Take(now time.Duration, tokens float64) (Taken, bool) {
	if a.Balance(now) < tokens {
		return Taken{}, false
	}
	lots := a.withdraw(tokens)
	t := Taken{Tokens: tokens, expires: now}
	if len(lots) > 0 {
		t.expires = lots[0].expires
	}
	return t, true
}

// Return gives back what was taken for a request that hasn't run.
func (a *Account) Return(now time.Duration, t Taken) {
	if t.expires > now && t.Tokens > 0 {
		a.insert(lot{tokens: t.Tokens, expires: t.expires})
	}
}

// withdraw removes up to so many tokens, those that expire first.
func (a *Account) withdraw(tokens float64) []lot {
	var out []lot
	for tokens > 0 && len(a.lots) > 0 {
		l := &a.lots[0]
		n := min(tokens, l.tokens)
		out = append(out, lot{tokens: n, expires: l.expires})
		tokens -= n
		l.tokens -= n
		if l.tokens <= 0 {
			a.lots = slices.Delete(a.lots, 0, 1)
		}
	}
	return out
}

// minTransferLife is the least life of tokens that are passed on: they have to arrive and
// to be spent in it.
const minTransferLife = 60 * time.Millisecond

// transferable returns the tokens that can be given to another gateway.
func (a *Account) transferable(now time.Duration) float64 {
	sum := a.Balance(now)
	for _, l := range a.lots {
		if l.expires-now >= minTransferLife {
			break
		}
		sum -= l.tokens
	}
	return sum
}

// Lot is a number of tokens on their way to another gateway. Life is how much longer they
// may be spent.
type Lot struct {
	Tokens float64
	Life   time.Duration
}

// Give removes up to so many transferable tokens, so that another gateway can have them.
func (a *Account) Give(now time.Duration, tokens float64) []Lot {
	a.expire(now)
	short := 0
	for short < len(a.lots) && a.lots[short].expires-now < minTransferLife {
		short++
	}
	kept := slices.Clone(a.lots[:short])
	a.lots = a.lots[short:]
	var out []Lot
	for _, l := range a.withdraw(tokens) {
		out = append(out, Lot{Tokens: l.tokens, Life: l.expires - now})
	}
	a.lots = slices.Concat(kept, a.lots)
	return out
}

// Receive adds tokens of another gateway that were asked for at a time.
func (a *Account) Receive(now, asked time.Duration, lots []Lot) {
	for _, l := range lots {
		expires := min(asked+l.Life, now+a.limit.lifetime())
		if l.Tokens > 0 && expires > now {
			a.insert(lot{tokens: l.Tokens, expires: expires})
		}
	}
}

// Adopt takes over what another account holds after a change of the limit. Held tokens
// shrink with the capacity, so that all gateways together hold no more than it.
func (a *Account) Adopt(now time.Duration, from *Account) {
	from.expire(now)
	part := min(1, a.limit.Capacity()/from.limit.Capacity())
	for _, l := range from.lots {
		a.insert(lot{tokens: part * l.tokens, expires: min(l.expires, now+a.limit.lifetime())})
	}
	a.fraction = from.fraction
}
