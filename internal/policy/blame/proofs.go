package blame

import "time"

const (
	// ProvenTime is how long a run must have written events to prove the parts of its prompt:
	// one that crashes its server does so earlier.
	ProvenTime = 200 * time.Millisecond
	// proofPeriod bounds how long a proof is known without an account of its part: for one to
	// two periods.
	proofPeriod = 30 * time.Second
	// maxProofs bounds the parts with a proof in one period, maxModels the models.
	maxProofs, maxModels = 4096, 256
)

// Proof says that a run of a request whose prompt has a part has written events for ProvenTime.
type Proof struct {
	Part uint64
	// At is when the run began to write.
	At time.Time
}

// Run is a run that has written events for ProvenTime.
type Run struct {
	// Model is a hash of the model's name, Parts has those of the prompt's shared parts.
	Model uint32
	Parts []uint64
	// Began is when the run began to write.
	Began time.Time
}

// proofs has the latest proof of each part, and of any run of each model.
type proofs struct {
	latest, before map[uint64]time.Time
	since          time.Time
	models         map[uint32]time.Time
}

func newProofs() *proofs {
	return &proofs{latest: map[uint64]time.Time{}, before: map[uint64]time.Time{}, models: map[uint32]time.Time{}}
}

// record records a proof of a part.
func (p *proofs) record(part uint64, at, now time.Time) {
	if now.Sub(p.since) > proofPeriod || len(p.latest) >= maxProofs {
		p.before, p.latest, p.since = p.latest, map[uint64]time.Time{}, now
	}
	if at.After(p.at(part)) {
		p.latest[part] = at
	}
}

// at returns the latest proof of a part, zero if none is known.
func (p *proofs) at(part uint64) time.Time {
	if at, ok := p.latest[part]; ok {
		return at
	}
	return p.before[part]
}

// recordModel records that a run of a model was proven.
func (p *proofs) recordModel(model uint32, at time.Time) {
	if _, ok := p.models[model]; !ok && len(p.models) >= maxModels {
		clear(p.models)
	}
	if at.After(p.models[model]) {
		p.models[model] = at
	}
}
