package identity

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"jayford.example/jayford/internal/settings"
)

const (
	authorityName  = "authority"
	certificateExt = ".pem"
	privateKeyExt  = ".key"
	serialBits     = 120
	// clockSkewTolerance backdates certificates so that they are valid on
	// instances whose clocks are behind.
	clockSkewTolerance = 5 * time.Minute
	keyMode            = 0o600
	certMode           = 0o644
)

// NewAuthority creates a certificate authority and writes authority.pem and
// authority.key into dir. It returns an error if they exist, as the certificates
// of all processes depend on the key.
func NewAuthority(dir string, validity time.Duration) error {
	key, err := newKey()
	if err != nil {
		return err
	}
	c := template(pkix.Name{CommonName: "jayford authority"}, validity)
	c.IsCA = true
	c.BasicConstraintsValid = true
	c.KeyUsage = x509.KeyUsageCertSign
	return write(dir, authorityName, c, c, key, key)
}

// Issue creates a certificate for a process of the given role, signed by the
// authority in dir, and writes ID.pem and ID.key into dir.
func Issue(dir, role, id string, validity time.Duration) error {
	files := Files(dir, id)
	pair, err := tls.LoadX509KeyPair(files.Authority, filepath.Join(dir, authorityName+privateKeyExt))
	if err != nil {
		return eris.Wrap(err, "identity: authority")
	}
	parent, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return eris.Wrap(err, "identity: authority")
	}
	signer, ok := pair.PrivateKey.(crypto.Signer)
	if !ok {
		return eris.New("identity: the authority's key can't be used for signing")
	}
	key, err := newKey()
	if err != nil {
		return err
	}
	c := template(pkix.Name{CommonName: id, OrganizationalUnit: []string{role}}, validity)
	c.KeyUsage = x509.KeyUsageDigitalSignature
	c.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	return write(dir, id, c, parent, key, signer)
}

// Files returns the paths of the files that Issue and NewAuthority write into dir.
func Files(dir, id string) settings.TLS {
	return settings.TLS{
		Certificate: filepath.Join(dir, id+certificateExt),
		Key:         filepath.Join(dir, id+privateKeyExt),
		Authority:   filepath.Join(dir, authorityName+certificateExt),
	}
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, eris.Wrap(err, "identity: key")
}

func template(subject pkix.Name, validity time.Duration) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{Subject: subject, NotBefore: now.Add(-clockSkewTolerance), NotAfter: now.Add(validity)}
}

// write signs c and writes it with its key.
func write(dir, name string, c, parent *x509.Certificate, key *ecdsa.PrivateKey, signer crypto.Signer) error {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return eris.Wrap(err, "identity: serial number")
	}
	c.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, c, parent, &key.PublicKey, signer)
	if err != nil {
		return eris.Wrap(err, "identity: sign")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return eris.Wrap(err, "identity: key")
	}
	if err := writePEM(filepath.Join(dir, name+privateKeyExt), "PRIVATE KEY", keyDER, keyMode); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, name+certificateExt), "CERTIFICATE", der, certMode)
}

func writePEM(path, kind string, der []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return eris.Wrap(err, "identity: write")
	}
	if err := pem.Encode(f, &pem.Block{Type: kind, Bytes: der}); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "identity: write")
	}
	return eris.Wrap(f.Close(), "identity: write")
}
