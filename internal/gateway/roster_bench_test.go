package gateway

import (
	"fmt"
	"testing"

	"jayford.example/jayford/internal/catalog"
	"jayford.example/jayford/internal/follow"
	"jayford.example/jayford/internal/platform"
)

// listDecoder decodes every object as a decode server.
type listDecoder struct{ Decoder }

func (listDecoder) Server(o platform.Object) (catalog.Server, error) {
	return catalog.Server{ID: o.Name, Address: "10.0.0.1:80", AvailabilityZone: "a", Service: modelService, Stage: catalog.Decode}, nil
}

// BenchmarkTakeServers applies the full list of servers, as at startup.
func BenchmarkTakeServers(b *testing.B) {
	var objects []platform.Object
	for i := range fleetSize {
		objects = append(objects, platform.Object{Name: fmt.Sprintf("i-%012d", i), Version: uint64(i + 1)})
	}
	b.ReportAllocs()
	for b.Loop() {
		r := &roster{g: fleetGateway(b), decoder: listDecoder{}, entries: map[string]entry{}}
		r.apply(follow.Update{Objects: objects, Full: true})
	}
}
