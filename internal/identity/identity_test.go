package identity

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	pb "jayford.example/jayford/api/jayfordv1"
)

// authority is a directory with a certificate authority.
type authority struct {
	t   *testing.T
	dir string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	assert.NilError(t, NewAuthority(a.dir, time.Hour))
	return a
}

func (a *authority) identity(role, id string) Identity {
	assert.NilError(a.t, Issue(a.dir, role, id, time.Hour))
	i, err := Load(Files(a.dir, id), role, id)
	assert.NilError(a.t, err)
	return i
}

type agentStub struct{ pb.UnimplementedAgentServer }

func (agentStub) Renew(context.Context, *pb.RenewRequest) (*pb.RenewReply, error) {
	return &pb.RenewReply{Incarnation: 1}, nil
}

func serveAgent(t *testing.T, i Identity) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := grpc.NewServer(i.ServerOptions("entry")...)
	pb.RegisterAgentServer(s, agentStub{})
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

func renew(t *testing.T, address string, o grpc.DialOption) error {
	cc, err := grpc.NewClient("passthrough:///"+address, o)
	assert.NilError(t, err)
	defer cc.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err = pb.NewAgentClient(cc).Renew(ctx, &pb.RenewRequest{})
	return err
}

// Clients other than entries call an agent: another agent with a valid
// certificate, an entry with one of a foreign authority, and a plaintext client.
// Each must be rejected; otherwise it could cancel work that callers wait for.
func TestOnlyEntriesMayCallAgents(t *testing.T) {
	a := newAuthority(t)
	address := serveAgent(t, a.identity("agent", "agent-1"))
	assert.NilError(t, renew(t, address, a.identity("entry", "entry-1").DialOption("agent")))
	err := renew(t, address, a.identity("agent", "agent-2").DialOption("agent"))
	assert.Equal(t, status.Code(err), codes.PermissionDenied)
	foreign := newAuthority(t).identity("entry", "entry-1")
	foreign.authority = a.identity("entry", "entry-2").authority
	assert.Assert(t, renew(t, address, foreign.DialOption("agent")) != nil)
	assert.Assert(t, renew(t, address, Identity{}.DialOption("agent")) != nil)
}

// An entry dials an address that the platform's outdated list still assigns to an
// agent, but a process of another role now listens there. The connection must fail.
func TestPeerRoleIsVerified(t *testing.T) {
	a := newAuthority(t)
	address := serveAgent(t, a.identity("entry", "entry-2"))
	err := renew(t, address, a.identity("entry", "entry-1").DialOption("agent"))
	assert.ErrorContains(t, err, "not agent")
}

func TestCertificateOfAnotherProcessIsRejected(t *testing.T) {
	a := newAuthority(t)
	a.identity("agent", "agent-1")
	_, err := Load(Files(a.dir, "agent-1"), "entry", "agent-1")
	assert.ErrorContains(t, err, "this process is entry")
}

// An operator runs the command that creates the authority a second time. The
// existing key must be kept, as every process's certificate depends on it.
func TestAuthorityIsNotOverwritten(t *testing.T) {
	a := newAuthority(t)
	assert.ErrorContains(t, NewAuthority(a.dir, time.Hour), "exists")
}
