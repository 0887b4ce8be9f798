package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jayford.example/jayford/internal/identity"
	"jayford.example/jayford/internal/object"
	"jayford.example/jayford/internal/operator"
	"jayford.example/jayford/internal/platform"
	"jayford.example/jayford/internal/settings"
	enginestandin "jayford.example/jayford/internal/standin/engine"
	platformstandin "jayford.example/jayford/internal/standin/platform"
	servicestandin "jayford.example/jayford/internal/standin/service"
)

const testModel = "model-a"

// topology describes the processes of a test cluster.
type topology struct {
	entries, prefill, decode, services int
	engine                             enginestandin.Options
	service                            servicestandin.Options
	platform                           platformstandin.Options
	entry                              func(*settings.Entry)
	agent                              func(*settings.Agent)
	// engineOf adjusts the options of one engine.
	engineOf func(id string, o *enginestandin.Options)
	// links places an interruptible link in front of each agent, each engine, each
	// entry's peer listener and the platform.
	links bool
	// tls enables TLS between the daemons.
	tls bool
	// far reports whether a zone is in a different region from the platform; nil if
	// none is.
	far func(zone string) bool
}

// node is a daemon with its settings and its backend server, if any.
type node struct {
	*process
	id       string
	peer     string
	operator string
	// listen is the address at which an entry serves callers.
	listen string
	// backend is the stand-in of an agent's backend server, at backendAddress.
	backend        *process
	backendAddress string
	// agentLink (for an entry: in front of its peer listener) and backendLink are
	// set if the topology has links.
	agentLink   *link
	backendLink *link
	role        string
	zone        string
	// leaving and unlisted determine what publishInstances reports of the node.
	leaving  bool
	unlisted bool
}

// cluster is a running system under test.
type cluster struct {
	t               *testing.T
	dir             string
	topology        topology
	platform        *process
	platformAddress string
	platformLink    *link
	// farPlatform is the link between the far region and the platform.
	farPlatform *link
	entries     []*node
	prefill     []*node
	decode      []*node
	services    []*node
	store       *platform.HTTP
}

// newCluster starts a system and waits until it is ready.
func newCluster(t *testing.T, s topology) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), topology: s}
	t.Cleanup(c.stop)
	c.platformAddress = freeAddress(t)
	c.platform = c.standin("platform", "platform", c.platformAddress, s.platform)
	c.store = platform.NewHTTP(c.platformAddress, 2*time.Second)
	eventually(t, 5*time.Second, "platform", func() error {
		_, err := c.store.List(context.Background(), object.KindPool)
		return err
	})
	if s.links {
		c.platformLink = newLink(t, c.platformAddress)
		c.farPlatform = newLink(t, c.platformAddress)
	}
	for i := range s.entries {
		c.entries = append(c.entries, c.newNode(fmt.Sprintf("entry-%d", i), "entry", i))
	}
	for i := range s.prefill {
		c.prefill = append(c.prefill, c.newEngine(fmt.Sprintf("prefill-%d", i), object.RolePrefill, i))
	}
	for i := range s.decode {
		c.decode = append(c.decode, c.newEngine(fmt.Sprintf("decode-%d", i), object.RoleDecode, i))
	}
	for i := range s.services {
		c.services = append(c.services, c.newService(fmt.Sprintf("service-%d", i), i))
	}
	for _, n := range c.entries {
		c.makeEntry(n)
	}
	c.publishInstances()
	c.putConfiguration()
	for _, n := range c.nodes() {
		n.start()
	}
	for _, e := range c.entries {
		c.waitReady(e)
	}
	return c
}

func (c *cluster) agents() []*node {
	var out []*node
	out = append(out, c.prefill...)
	out = append(out, c.decode...)
	return append(out, c.services...)
}

func (c *cluster) engines() []*node {
	return append(append([]*node(nil), c.prefill...), c.decode...)
}

func (c *cluster) nodes() []*node { return append(c.agents(), c.entries...) }

func (c *cluster) stop() {
	var all []*process
	for _, n := range c.nodes() {
		all = append(all, n.process)
		if n.backend != nil {
			all = append(all, n.backend)
		}
	}
	all = append(all, c.platform)
	for _, p := range all {
		if p != nil && p.cmd != nil {
			p.kill()
		}
	}
	dumpLogs(c.t, all)
}

// standin starts a stand-in in a process of its own.
func (c *cluster) standin(name, kind, address string, options any) *process {
	text, err := json.Marshal(options)
	assert.NilError(c.t, err)
	p := &process{t: c.t, name: name, path: os.Args[0], env: []string{
		envStandin + "=" + kind, envAddress + "=" + address, envOptions + "=" + string(text),
	}}
	p.start()
	return p
}

// settingsFile writes settings to a file and returns its path.
func (c *cluster) settingsFile(id string, s any) string {
	text, err := json.Marshal(s)
	assert.NilError(c.t, err)
	path := filepath.Join(c.dir, id+".json")
	assert.NilError(c.t, os.WriteFile(path, text, 0o600))
	return path
}

func (c *cluster) isFar(zone string) bool { return c.topology.far != nil && c.topology.far(zone) }

func (c *cluster) region(zone string) string {
	if c.isFar(zone) {
		return "far-region"
	}
	return "region"
}

func zoneOf(i int) string { return string(rune('a'+i%3)) + "-zone" }

func (c *cluster) process(p *settings.Process, n *node) {
	p.ID, p.Region, p.AvailabilityZone = n.id, c.region(n.zone), n.zone
	p.Peer, p.Operator = n.peer, n.operator
	p.Platform = c.platformAddress
	if c.topology.tls {
		p.TLS = c.certificate(n)
	}
	if c.platformLink != nil {
		p.Platform = c.platformLink.address
	}
	if c.isFar(n.zone) {
		p.Platform = c.farPlatform.address
	}
	for _, e := range c.entries {
		if e != n {
			p.Seeds = append(p.Seeds, e.peerAddress())
		}
	}
}

// certificate issues a node's certificate, and creates the authority first if there
// is none.
func (c *cluster) certificate(n *node) settings.TLS {
	files := identity.Files(c.dir, n.id)
	if _, err := os.Stat(files.Authority); err != nil {
		assert.NilError(c.t, identity.NewAuthority(c.dir, time.Hour))
	}
	if _, err := os.Stat(files.Certificate); err != nil {
		assert.NilError(c.t, identity.Issue(c.dir, n.role, n.id, time.Hour))
	}
	return files
}

func (c *cluster) newNode(id, role string, i int) *node {
	n := &node{id: id, role: role, zone: zoneOf(i), peer: freeAddress(c.t), operator: freeAddress(c.t)}
	if c.topology.links {
		n.agentLink = newLink(c.t, n.peer)
	}
	return n
}

// peerAddress is the address at which other processes reach the node's peer
// listener.
func (n *node) peerAddress() string {
	if n.agentLink != nil {
		return n.agentLink.address
	}
	return n.peer
}

func (c *cluster) newEngine(id, role string, i int) *node {
	n := c.newNode(id, "agent", i)
	o := c.topology.engine
	o.Model, o.Role = testModel, role
	o.RecordFile = filepath.Join(c.dir, id+".account")
	if c.topology.engineOf != nil {
		c.topology.engineOf(id, &o)
	}
	return c.newAgent(n, "engine", o, settings.BackendEngine, map[string]string{
		object.LabelModel: testModel, object.LabelRole: role,
	})
}

func (c *cluster) newService(id string, i int) *node {
	n := c.newNode(id, "agent", i)
	o := c.topology.service
	o.Name = id
	return c.newAgent(n, "service", o, settings.BackendService, map[string]string{object.LabelRole: object.RoleService})
}

func (c *cluster) newAgent(n *node, standin string, options any, kind string, labels map[string]string) *node {
	n.backendAddress = freeAddress(c.t)
	n.backend = c.standin("backend-"+n.id, standin, n.backendAddress, options)
	a := settings.DefaultAgent()
	c.process(&a.Process, n)
	a.Backend, a.BackendKind = n.backendAddress, kind
	if c.topology.links {
		n.backendLink = newLink(c.t, n.backendAddress)
		a.Backend = n.backendLink.address
	}
	if c.topology.agent != nil {
		c.topology.agent(&a)
	}
	n.process = &process{t: c.t, name: n.id, path: filepath.Join(binaries, "jayfordd"), args: []string{"agent", "--settings", c.settingsFile(n.id, a)}}
	c.put(object.KindServer, n.id, object.Server{Format: object.Format, Labels: labels})
	return n
}

// makeEntry writes the settings of an entry and creates its process.
func (c *cluster) makeEntry(n *node) {
	id := n.id
	n.listen = freeAddress(c.t)
	e := settings.DefaultEntry()
	c.process(&e.Process, n)
	e.Listen = n.listen
	if c.topology.entry != nil {
		c.topology.entry(&e)
	}
	n.process = &process{t: c.t, name: id, path: filepath.Join(binaries, "jayfordd"), args: []string{"entry", "--settings", c.settingsFile(n.id, e)}}
}

// put stores an object, replacing any stored version.
func (c *cluster) put(kind, name string, spec any) {
	c.t.Helper()
	text, err := json.Marshal(spec)
	assert.NilError(c.t, err)
	ctx := context.Background()
	have, _ := c.store.Get(ctx, kind, name)
	_, err = c.store.Put(ctx, platform.Object{
		Kind: kind, Name: name, Version: have.Version, Spec: text, Operation: platform.NewOperation(),
	})
	assert.NilError(c.t, err)
}

func (c *cluster) putConfiguration() {
	labels := func(role string) map[string]string {
		return map[string]string{object.LabelModel: testModel, object.LabelRole: role}
	}
	if c.topology.decode > 0 {
		c.put(object.KindPool, "model", object.Pool{
			Format: object.Format, Model: testModel, Prefill: labels(object.RolePrefill), Decode: labels(object.RoleDecode),
		})
		c.put(object.KindSelector, "model", object.Selector{
			Format: object.Format, Order: 10, Match: object.Match{Models: []string{testModel}},
			Targets: []object.Target{{Pool: "model", Weight: 1}},
		})
	}
	if c.topology.services > 0 {
		c.put(object.KindPool, "service", object.Pool{
			Format: object.Format, Service: map[string]string{object.LabelRole: object.RoleService},
		})
		c.put(object.KindSelector, "service", object.Selector{
			Format: object.Format, Order: 20, Match: object.Match{PathPrefixes: []string{"/"}},
			Targets: []object.Target{{Pool: "service", Weight: 1}},
		})
	}
}

// publishInstances sets the platform's instance list: which nodes are live and which
// are leaving.
func (c *cluster) publishInstances() {
	c.t.Helper()
	list := []platform.Instance{}
	for _, n := range c.nodes() {
		if n.unlisted {
			continue
		}
		in := platform.Instance{
			ID: n.id, Address: n.peerAddress(), Role: n.role, AvailabilityZone: n.zone, Region: c.region(n.zone), State: platform.Live,
		}
		if n.leaving {
			in.State = platform.Leaving
		}
		list = append(list, in)
	}
	post(c.t, c.platformAddress, "/instances", list)
}

// control injects a fault into the node's stand-in.
func (n *node) control(v any) { post(n.t, n.backendAddress, "/v1/control", v) }

func (c *cluster) platformControl(v platformstandin.Control) {
	post(c.t, c.platformAddress, "/control", v)
}

func post(t *testing.T, address, path string, v any) {
	t.Helper()
	assert.NilError(t, tryPost(address, path, v))
}

// tryPost is post to a process that may be down; it returns the error.
func tryPost(address, path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode >= http.StatusBadRequest {
		return errorf("%s: %s", path, body)
	}
	return nil
}

// getJSON fetches and decodes a JSON page.
func getJSON(address, path string, v any) error {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorf("%s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// record returns the record of the engine beside a node.
func (n *node) record() enginestandin.Record {
	n.t.Helper()
	var r enginestandin.Record
	assert.NilError(n.t, getJSON(n.backendAddress, "/v1/record", &r))
	return r
}

// calls returns the record of the plain service beside a node.
func (n *node) calls() []servicestandin.Call {
	n.t.Helper()
	var r []servicestandin.Call
	// A crashed service restarts after its RestartAfter.
	eventually(n.t, 5*time.Second, n.id+"'s record", func() error {
		return getJSON(n.backendAddress, "/v1/record", &r)
	})
	return r
}

// waitReady waits until an entry is ready, all nodes have a configuration and all
// backend servers are up.
func (c *cluster) waitReady(e *node) {
	c.t.Helper()
	eventually(c.t, 10*time.Second, e.id+" ready", func() error {
		resp, err := http.Get("http://" + e.listen + "/readyz")
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errorf("status %d", resp.StatusCode)
		}
		return nil
	})
	for _, n := range c.nodes() {
		eventually(c.t, 10*time.Second, n.id+" configured", func() error {
			var st operator.Status
			if err := getJSON(n.operator, operator.PathStatus, &st); err != nil {
				return err
			}
			if st.Revision == 0 {
				return errorf("no configuration")
			}
			return n.backendUp()
		})
	}
}

// backendUp returns an error while an agent reports its backend server as down.
func (n *node) backendUp() error {
	if n.role != "agent" {
		return nil
	}
	var state struct {
		Agent struct {
			Load struct{ Down bool }
		} `json:"agent"`
	}
	if err := getJSON(n.operator, operator.PathState, &state); err != nil {
		return err
	}
	if state.Agent.Load.Down {
		return errorf("the backend server is down")
	}
	return nil
}
