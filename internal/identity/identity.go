// Package identity secures the connections between jayford's processes with mutual
// TLS and authorizes peers by role.
//
// The subject of a process's certificate holds its role as organisational unit
// ("entry" or "agent") and its instance ID as common name. Both ends must present
// a certificate of the same authority. Without TLS settings the connections are
// plaintext, and the listeners must not be reachable by others.
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

// Identity is a process's own certificate and the authority that it trusts. The
// zero value stands for plaintext connections.
type Identity struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	tlsEnabled  bool
}

// Load reads the files that the settings name. It returns an error if the
// certificate is not for the given role and ID, so that a mixed-up file is
// detected at startup.
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
		return Identity{}, eris.Errorf("identity: certificate was issued for %s %q, but this process is %s %q",
			leaf.Subject.OrganizationalUnit, leaf.Subject.CommonName, role, id)
	}
	pemData, err := os.ReadFile(s.Authority)
	if err != nil {
		return Identity{}, eris.Wrap(err, "identity: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemData) {
		return Identity{}, eris.Errorf("identity: no valid certificate in %s", s.Authority)
	}
	return Identity{certificate: cert, authority: pool, tlsEnabled: true}, nil
}

func hasRole(c *x509.Certificate, role string) bool {
	return slices.Contains(c.Subject.OrganizationalUnit, role)
}

// DialOption returns the transport credentials for connections to processes of
// the given role.
func (i Identity) DialOption(role string) grpc.DialOption {
	if !i.tlsEnabled {
		return grpc.WithTransportCredentials(insecure.NewCredentials())
	}
	return grpc.WithTransportCredentials(credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		// The platform's list gives only the addresses of peers, so the role in
		// the certificate is verified instead of a host name.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain and the role
		VerifyConnection:   func(cs tls.ConnectionState) error { return i.verifyServer(cs, role) },
	}))
}

// verifyServer checks the chain of a server's certificate and its role.
func (i Identity) verifyServer(cs tls.ConnectionState, role string) error {
	leaf := cs.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: i.authority, Intermediates: x509.NewCertPool()}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return eris.Wrap(err, "identity: verify peer certificate")
	}
	if !hasRole(leaf, role) {
		return eris.Errorf("identity: peer has role %s, not %s", leaf.Subject.OrganizationalUnit, role)
	}
	return nil
}

// ServerOptions returns the options of a gRPC server that serves only processes
// of the given roles. Agents accept calls only from entries: any other client
// that reaches the port could cancel work or occupy slots.
func (i Identity) ServerOptions(roles ...string) []grpc.ServerOption {
	if !i.tlsEnabled {
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
			if err := authorize(ctx, roles); err != nil {
				return nil, err
			}
			return next(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := authorize(ss.Context(), roles); err != nil {
				return err
			}
			return next(srv, ss)
		}),
	}
}

func authorize(ctx context.Context, roles []string) error {
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
