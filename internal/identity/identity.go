// Package identity secures the connections between jayford's own processes with
// mutual TLS, and checks the role of the process at the other end.
//
// A process's certificate names its role as the organisational unit of the
// subject ("entry" or "agent") and its instance id as the common name. Both ends
// must show a certificate of the same authority. Without TLS settings the
// connections are plain, and the listeners must not be reachable by others.
package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"jayford.example/jayford/internal/settings"
)

// Identity is a process's own certificate and whom it trusts. The zero value
// stands for plain connections.
type Identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	secure      bool
}

// Load reads the files that the settings name. The role and id of the process
// must be those of its certificate, so that a mixed-up file is found at start.
func Load(s settings.TLS, role, id string) (Identity, error) {
	if s == (settings.TLS{}) {
		return Identity{}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return Identity{}, eris.Wrap(err, "identity: certificate and key")
	}
	leaf, err := x509.ParseCertificate(cert.Certificate[0])
	if err != nil {
		return Identity{}, eris.Wrap(err, "identity: certificate")
	}
	if !hasRole(leaf, role) || leaf.Subject.CommonName != id {
		return Identity{}, eris.Errorf("identity: the certificate is for %s %q, this process is %s %q",
			leaf.Subject.OrganizationalUnit, leaf.Subject.CommonName, role, id)
	}
	text, err := os.ReadFile(s.Authority)
	if err != nil {
		return Identity{}, eris.Wrap(err, "identity: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return Identity{}, eris.Errorf("identity: no certificate in %s", s.Authority)
	}
	return Identity{certificate: cert, authority: pool, secure: true}, nil
}

func hasRole(c *x509.Certificate, role string) bool {
	return slices.Contains(c.Subject.OrganizationalUnit, role)
}

// DialOption returns the transport credentials towards processes of a role.
func (i Identity) DialOption(role string) grpc.DialOption {
	if !i.secure {
		return grpc.WithTransportCredentials(insecure.NewCredentials())
	}
	return grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		// Peers are known by address only, from the platform's list, so the
		// name is checked against the role instead of a host name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain and the role
		VerifyConnection:   func(cs tls.ConnectionState) error { return i.verify(cs, role) },
	}))
}

// verify checks the chain of a server's certificate and its role.
func (i Identity) verify(cs tls.ConnectionState, role string) error {
	leaf := cs.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: i.authority, Intermediates: x509.NewCertPool()}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return eris.Wrap(err, "identity: the other end's certificate")
	}
	if !hasRole(leaf, role) {
		return eris.Errorf("identity: the other end is %s, not %s", leaf.Subject.OrganizationalUnit, role)
	}
	return nil
}

// ServerOptions returns the options of a gRPC server that serves only processes
// of the given roles. An agent takes its orders from entries alone: whoever else
// could reach its port could cancel work or hold its slots.
func (i Identity) ServerOptions(roles ...string) []grpc.ServerOption {
	if !i.secure {
		return nil
	}
	creds := credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.authority,
	})
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if err := admit(ctx, roles); err != nil {
				return nil, err
			}
			return next(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := admit(ss.Context(), roles); err != nil {
				return err
			}
			return next(srv, ss)
		}),
	}
}

func admit(ctx context.Context, roles []string) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return status.Error(codes.Unauthenticated, "no peer")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return status.Error(codes.Unauthenticated, "no certificate")
	}
	for _, r := range roles {
		if hasRole(info.State.PeerCertificates[0], r) {
			return nil
		}
	}
	return status.Errorf(codes.PermissionDenied, "only %v may call this", roles)
}
