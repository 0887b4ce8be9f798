package feed

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/platform"
)

// statusStore holds one status object and counts the calls for it.
type statusStore struct {
	platform.Store
	stored     platform.Object
	gets, puts int
	// lost is set if the next write takes effect but its reply is lost.
	lost bool
}

func (s *statusStore) Get(context.Context, string, string) (platform.Object, error) {
	s.gets++
	if s.stored.Version == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return s.stored, nil
}

func (s *statusStore) Put(_ context.Context, o platform.Object) (uint64, error) {
	s.puts++
	if o.Version != s.stored.Version {
		return 0, platform.ErrConflict
	}
	o.Version += 10
	s.stored = o
	if s.lost {
		s.lost = false
		return 0, platform.ErrOutcomeUnknown
	}
	return o.Version, nil
}

// version returns the version of the configuration in the stored status.
func (s *statusStore) version(t *testing.T) uint64 {
	var st object.Status
	assert.NilError(t, json.Unmarshal(s.stored.Spec, &st))
	assert.Equal(t, st.Processes[0].Revision>>32, st.Processes[0].Digest)
	return st.Processes[0].Digest
}

// statusServer is the status writer of a zone with one reporting process.
type statusServer struct {
	*Server
	t      *testing.T
	now    time.Time
	uptime uint64
	writes uint64
}

func newStatusServer(t *testing.T, store *statusStore) *statusServer {
	return &statusServer{Server: NewServer(ServerOptions{
		Identity: Identity{ID: "e1", AvailabilityZone: "z0"}, Platform: store, WritesStatus: func() bool { return true },
	}), t: t, now: time.Now()}
}

// step reports the version and runs the next check of the status. The store's
// revision rises in between, as if by other writes.
func (s *statusServer) step(version uint64) {
	s.uptime += 5
	s.writes++
	_, err := s.Report(s.t.Context(), &pb.ReportRequest{Reports: []*pb.StatusReport{{
		Id: "a1", Revision: version<<32 + s.writes, Digest: version, UptimeS: s.uptime,
	}}})
	assert.NilError(s.t, err)
	s.now = s.now.Add(statusInterval)
	s.updateStatus(s.t.Context(), s.now)
}

// Guards against needless writes: without changes the status is written every 30 s
// and its version is read once, although the store's revision keeps rising.
func TestIdleStatusIsWrittenRarely(t *testing.T) {
	store := &statusStore{}
	s := newStatusServer(t, store)
	for range 60 {
		s.step(1)
	}
	assert.Equal(t, store.puts, 10)
	assert.Equal(t, store.gets, 1)
}

// A new version in force is written at the next check, however recent the last
// write was.
func TestNewVersionIsWrittenAtNextCheck(t *testing.T) {
	store := &statusStore{}
	s := newStatusServer(t, store)
	for v := uint64(1); v < 5; v++ {
		s.step(v)
		assert.Equal(t, store.version(t), v)
	}
	assert.Equal(t, store.gets, 1)
}

// Guards against a status that is never written again because the remembered
// version is wrong: the reply to a write was lost after it took effect, or another
// entry was the writer for a while. A later check must read the version and write
// again.
func TestStatusRecoversFromLostReplyAndOtherWriter(t *testing.T) {
	store := &statusStore{}
	s := newStatusServer(t, store)
	s.step(1)
	store.lost = true
	s.step(2)
	s.step(3)
	assert.Equal(t, store.version(t), uint64(3))
	assert.Equal(t, store.gets, 2)

	store.stored.Version += 5
	s.step(4)
	s.step(4)
	assert.Equal(t, store.version(t), uint64(4))
	assert.Equal(t, store.gets, 3)
}
