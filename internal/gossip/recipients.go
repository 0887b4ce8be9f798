package gossip

import (
	"math/rand/v2"
	"slices"

	"jayford.example/jayford/internal/policy/place"
)

const (
	// broadcastBytesPerSecond is the traffic to all peers together, in bytes per second, up to
	// which a gateway sends to each of them. Above it only a subset gets updates, because a
	// fleet's traffic grows with the square of its size.
	broadcastBytesPerSecond = 15_000
	// broadcastResumeFraction of broadcastBytesPerSecond is the threshold below which a
	// gateway sends to all peers again.
	broadcastResumeFraction = 0.7
	// costSmoothing is the weight of one second in the moving average of the cost. Bursts
	// of a few seconds don't change the recipients, as that is when updates matter most.
	costSmoothing = 1.0 / 60
	// maxNearPeers and maxFarPeers bound the recipients in the same availability zone and in
	// others when a gateway can't send to all peers.
	maxNearPeers = 20
	maxFarPeers  = 4
	// fullUpdatesPerSecond is how many peers of the rotation get a full update each second. Up
	// to this number of peers, a gateway always sends to all.
	fullUpdatesPerSecond = 24
)

// recipients selects the peers that get updates. It does no I/O and reads no clock.
type recipients struct {
	// selected are the peers that get changes: every peer if all is set.
	selected []string
	all      bool
	// cost is the moving average of the bytes sent to one recipient per second, and spent
	// the bytes sent to it in the current second.
	cost, spent float64
	// rotation are the recipients in the order of their next full update, and pendingFull
	// those of them that get one in the next second, out of turn.
	rotation    []string
	pendingFull map[string]bool
}

func newRecipients() *recipients { return &recipients{all: true, pendingFull: map[string]bool{}} }

// update sets the peers that are known now.
//
// The near peers in a subset stay the same, because they accumulate the changes that they
// receive. Far peers are drawn at random each time, so that a loss report reaches the whole
// fleet.
func (r *recipients) update(self string, near, far []string) {
	listed := slices.Concat(near, far)
	r.all = r.canBroadcast(len(listed))
	r.selected = listed
	if !r.all {
		r.selected = slices.Concat(place.Subset(self, near, maxNearPeers), sample(far, maxFarPeers))
	}
	r.updateRotation()
}

func (r *recipients) canBroadcast(peers int) bool {
	limit := float64(broadcastBytesPerSecond)
	if !r.all {
		limit *= broadcastResumeFraction
	}
	return float64(peers)*r.cost <= limit || peers <= fullUpdatesPerSecond
}

// updateRotation removes the peers that are no longer selected, and marks new ones for a
// full update.
func (r *recipients) updateRotation() {
	now := make(map[string]bool, len(r.selected))
	for _, p := range r.selected {
		now[p] = true
	}
	r.rotation = slices.DeleteFunc(r.rotation, func(p string) bool { return !now[p] })
	before := make(map[string]bool, len(r.rotation))
	for _, p := range r.rotation {
		before[p] = true
	}
	for p := range r.pendingFull {
		if !now[p] {
			delete(r.pendingFull, p)
		}
	}
	for _, p := range r.selected {
		if !before[p] {
			r.rotation = append(r.rotation, p)
			r.pendingFull[p] = true
		}
	}
}

// requestFull schedules a full update for a recipient that lost its state.
func (r *recipients) requestFull(peer string) {
	if slices.Contains(r.rotation, peer) {
		r.pendingFull[peer] = true
	}
}

// nextFull ends a second and returns the peers that get a full update now: the next ones
// in the rotation and those in pendingFull.
func (r *recipients) nextFull() []string {
	r.cost += costSmoothing * (r.spent - r.cost)
	r.spent = 0
	next := min(fullUpdatesPerSecond, len(r.rotation))
	out := slices.Clone(r.rotation[:next])
	r.rotation = slices.Concat(r.rotation[next:], out)
	for _, p := range out {
		delete(r.pendingFull, p)
	}
	for p := range r.pendingFull {
		out = append(out, p)
	}
	clear(r.pendingFull)
	return out
}

// recordSent adds a datagram that was sent to some of the recipients to the cost.
func (r *recipients) recordSent(bytes, peers int) {
	if len(r.selected) > 0 {
		r.spent += float64(bytes) * float64(peers) / float64(len(r.selected))
	}
}

// rotationSeconds returns how many seconds it takes until each peer has got a full update.
func rotationSeconds(peers int) int {
	return max(1, (peers+fullUpdatesPerSecond-1)/fullUpdatesPerSecond)
}

// sample returns n random elements of the list, or all of a shorter one.
func sample(list []string, n int) []string {
	out := slices.Clone(list)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}
