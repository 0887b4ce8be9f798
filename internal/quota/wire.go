package quota

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/policy/priority"
	policy "jayford.example/jayford/internal/policy/quota"
)

// unitsPerToken is how many units a token is on the wire. Fractions are rounded down, so
// that no tokens appear on their way.
const unitsPerToken = 1000

// maxUnits bounds an amount on the wire.
const maxUnits = 1 << 62

// units returns a number of units for the wire, within 0 to maxUnits.
func units(x float64) uint64 { return uint64(min(max(0, x), maxUnits)) }

func encode(m policy.Message) ([]byte, error) {
	out := &pb.QuotaMessage{Id: m.ID, Answer: m.Answer, Collect: m.Collect}
	for _, p := range m.Parts {
		x := &pb.QuotaPart{
			Account: p.Account, Need: units(math.Ceil(p.Need * unitsPerToken)), Want: units(p.Want * unitsPerToken),
			WaitMs: uint32(min(p.Wait.Milliseconds(), math.MaxUint32)), Rank: uint32(p.Rank),
		}
		for _, l := range p.Lots {
			x.Lots = append(x.Lots, &pb.QuotaLot{Tokens: units(l.Tokens * unitsPerToken), LifeUs: uint64(max(0, l.Life.Microseconds()))})
		}
		out.Parts = append(out.Parts, x)
	}
	return proto.Marshal(out)
}

func decode(text []byte) (policy.Message, error) {
	var w pb.QuotaMessage
	if err := proto.Unmarshal(text, &w); err != nil {
		return policy.Message{}, eris.Wrap(err, "quota: message can't be decoded")
	}
	out := policy.Message{ID: w.Id, Answer: w.Answer, Collect: w.Collect}
	for _, p := range w.Parts {
		if p.Rank > priority.Last {
			return policy.Message{}, eris.Errorf("quota: rank %d is out of range", p.Rank)
		}
		x := policy.Part{
			Account: p.Account, Need: float64(p.Need) / unitsPerToken, Want: float64(p.Want) / unitsPerToken,
			Wait: time.Duration(p.WaitMs) * time.Millisecond, Rank: int(p.Rank),
		}
		for _, l := range p.Lots {
			life := time.Duration(min(l.LifeUs, math.MaxInt64/uint64(time.Microsecond))) * time.Microsecond
			x.Lots = append(x.Lots, policy.Lot{Tokens: float64(l.Tokens) / unitsPerToken, Life: life})
		}
		out.Parts = append(out.Parts, x)
	}
	return out, nil
}
